"""The jobs of the soak, and how their runs end."""

import json
import random
import threading
import time
from dataclasses import dataclass, field
from typing import Any

from berthline.job_format import parse_job

from arbutuscleat.emulator.worker_model import StartOrder
from arbutuscleat.jobs import RunOutcome, TaskKey
from arbutuscleat.wire.gen_jobs.ttypes import StepRecord

WORKER_CPU = 16_000
WORKER_MEM_MB = 32_000
QUEUES = {"/approvals/": "karachi", "/billing/": "qasim"}
"""Path prefix and service of the queues of jobs that end."""

LASTING = "/watch/"
ROUTES = {**QUEUES, LASTING: "karachi"}
MAX_ATTEMPTS = 3
NOT_RUN_STATUSES = (400, 404, 429, 503)
"""Answers that state that a submission has not been accepted."""


@dataclass
class Job:
    """A job as its caller knows it."""

    path: str
    service: str
    body: dict[str, Any]
    poison: bool = False
    statuses: list[int] = field(default_factory=list)
    open_attempts: int = 0
    accepted_at: float | None = None
    cancel_sent_at: float | None = None
    cancelled_at: float | None = None
    ended_at: float | None = None

    def __post_init__(self):
        record = parse_job(json.dumps(self.body).encode())
        self.job_id = self.path.rpartition("/")[2]
        self.steps: list[StepRecord] = record.steps
        self.spec = record.spec
        self.lasts = self.steps[0].long_running
        occurrences = range(max(1, record.repeat_count))
        start_ms, interval_ms = record.start_at_ms, record.interval_ms
        self.due_ms = [start_ms + k * interval_ms for k in occurrences]

    def is_refused(self) -> bool:
        """Return whether its caller was told each time that it never runs."""
        answered = bool(self.statuses) and not self.open_attempts
        return answered and all(s in NOT_RUN_STATUSES for s in self.statuses)

    def keys(self, occurrence: int | None = None, step: int | None = None):
        """Return the keys of its tasks, of one occurrence and step if given."""
        return [
            TaskKey(self.job_id, k, s, i)
            for k in range(len(self.due_ms))
            for s, record in enumerate(self.steps)
            for i in range(record.count)
            if occurrence in (None, k) and step in (None, s)
        ]

    def keys_before(self, key: TaskKey) -> list[TaskKey]:
        """Return the keys of the tasks that must have ended before another starts."""
        steps = self.steps[key.step].after or ()
        return [found for step in steps for found in self.keys(key.occurrence, step)]


class Workload:
    """Creates the jobs of a seed, and decides how long their runs take."""

    def __init__(self, seed: int):
        self._seed = seed
        self._lock = threading.Lock()
        self._rng = random.Random(f"{seed} workload")
        self.jobs: dict[str, Job] = {}

    def lasting_job(self, tasks: int) -> Job:
        """Create a job whose tasks run until it is cancelled, on different workers."""
        step = {"count": tasks, "cpu": 1_000, "mem-mb": 500, "anti-affinity": 1}
        step |= {"long-running": True, "may-miss": 1}
        with self._lock:
            return self._add(LASTING, [step])

    def short_job(self, path: str) -> Job:
        """Create a job that ends: some have several steps, due times, or never work."""
        with self._lock:
            rng, extra = self._rng, {}
            steps = [self._short_step(n) for n in range(rng.choice([1, 1, 2, 3]))]
            if rng.random() < 0.08:
                start_ms = int(time.time() * 1000) + 1_500
                extra = {"repeat-count": 3, "interval-ms": 1_500}
                extra["start-at-ms"] = start_ms
            return self._add(path, steps, rng.random() < 0.04, **extra)

    def step(self, key: TaskKey) -> StepRecord | None:
        """Return the step of a task, or None if no caller sent it."""
        job = self.jobs.get(key.job_id)
        return job.steps[key.step] if job and key.step < len(job.steps) else None

    def run(self, order: StartOrder) -> tuple[float | None, RunOutcome]:
        """Return the duration and the outcome of a run."""
        rng = random.Random(f"{self._seed} {order.key} {order.number}")
        job = self.jobs.get(order.key.job_id)
        if job is not None and job.lasts:
            if rng.random() < 0.15:
                return rng.uniform(0.5, 12.0), RunOutcome.FAILED
            return None, RunOutcome.DONE
        failed = rng.random() < 0.02 or (job is not None and job.poison)
        outcome = RunOutcome.FAILED if failed else RunOutcome.DONE
        return rng.uniform(0.1, 1.2), outcome

    def _short_step(self, number: int) -> dict[str, Any]:
        rng = self._rng
        step: dict[str, Any] = {"count": rng.choice([1, 2, 4])}
        step |= {"cpu": rng.choice([500, 1_000, 2_000]), "mem-mb": rng.choice([0, 400])}
        if number:
            step["after"] = [number - 1]
        if rng.random() < 0.15:
            step |= {"anti-affinity": 1, "count": min(step["count"], 2)}
        if rng.random() < 0.1:
            step["requirements"] = rng.choice(["a", "r1"])
        return step

    def _add(self, path: str, steps: list, poison: bool = False, **extra) -> Job:
        number = len(self.jobs) + 1
        spec = f"seed {self._seed}, job {number}"
        path += f"{self._rng.getrandbits(40):010x}{number:06x}"
        service = ROUTES[path[: path.rindex("/") + 1]]
        body = {"spec": spec, "steps": steps, **extra}
        job = Job(path, service, body, poison)
        self.jobs[job.job_id] = job
        return job
