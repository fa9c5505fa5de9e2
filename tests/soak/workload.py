"""The jobs of the soak, their specs, and how their runs end."""

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
NOT_RUN_STATUSES = (400, 404, 429, 503)
"""Answers that state that a submission has not been accepted."""


@dataclass
class Job:
    """A job as its caller knows it."""

    job_id: str
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
        self.steps: list[StepRecord] = record.steps
        self.spec = record.spec
        self.occurrences = max(1, record.repeat_count)
        self.due_ms = [
            record.start_at_ms + k * record.interval_ms if record.repeat_count else 0
            for k in range(self.occurrences)
        ]
        self.max_attempts = 3

    def is_refused(self) -> bool:
        """Return whether its caller was told each time that it never runs."""
        answered = bool(self.statuses) and not self.open_attempts
        return answered and all(s in NOT_RUN_STATUSES for s in self.statuses)

    @property
    def lasts(self) -> bool:
        return self.steps[0].long_running

    def keys(self, occurrence: int | None = None, step: int | None = None):
        return [
            TaskKey(self.job_id, k, s, i)
            for k in range(self.occurrences)
            for s, record in enumerate(self.steps)
            for i in range(record.count)
            if occurrence in (None, k) and step in (None, s)
        ]


class Workload:
    """Creates the jobs of a seed, and decides how long their runs take."""

    def __init__(self, seed: int):
        self._seed = seed
        self._lock = threading.Lock()
        self._number = 0
        self._rng = random.Random(f"{seed} workload")
        self.jobs: dict[str, Job] = {}

    def lasting_job(self, path: str, tasks: int) -> Job:
        with self._lock:
            rng = self._rng
            step = {
                "count": tasks,
                "cpu": rng.choice([500, 1_000]),
                "mem-mb": 500,
                "anti-affinity": 1,
                "long-running": True,
                "may-miss": 1,
            }
            return self._add(path, ROUTES[path], [step])

    def short_job(self, path: str) -> Job:
        with self._lock:
            rng = self._rng
            steps: list[dict[str, Any]] = []
            for number in range(rng.choice([1, 1, 2, 3])):
                step = {"count": rng.choice([1, 2, 4]), "mem-mb": rng.choice([0, 400])}
                step["cpu"] = rng.choice([500, 1_000, 2_000])
                if number:
                    step["after"] = [number - 1]
                if rng.random() < 0.15:
                    step["anti-affinity"] = 1
                    step["count"] = min(step["count"], 2)
                if rng.random() < 0.1:
                    step["requirements"] = rng.choice(["a", "r1"])
                steps.append(step)
            extra = {}
            if rng.random() < 0.08:
                start_ms = int(time.time() * 1000) + 1_500
                extra = {"repeat-count": 3, "start-at-ms": start_ms}
                extra["interval-ms"] = 1_500
            return self._add(path, ROUTES[path], steps, rng.random() < 0.04, **extra)

    def _add(self, path, service, steps, poison=False, **extra) -> Job:
        self._number += 1
        job_id = f"{self._rng.getrandbits(40):010x}{self._number:06x}"
        spec = f"seed {self._seed}, job {self._number}"
        body = {"spec": spec, "steps": steps, **extra}
        job = Job(job_id, path + job_id, service, body, poison)
        self.jobs[job_id] = job
        return job

    def step(self, key: TaskKey) -> StepRecord | None:
        job = self.jobs.get(key.job_id)
        if job is None or key.step >= len(job.steps):
            return None
        return job.steps[key.step]

    def run(self, order: StartOrder) -> tuple[float | None, RunOutcome]:
        rng = random.Random(f"{self._seed} {order.key} {order.number}")
        job = self.jobs.get(order.key.job_id)
        if job is not None and job.lasts:
            if rng.random() < 0.15:
                return rng.uniform(0.5, 12.0), RunOutcome.FAILED
            return None, RunOutcome.DONE
        failed = rng.random() < 0.02 or (job is not None and job.poison)
        outcome = RunOutcome.FAILED if failed else RunOutcome.DONE
        return rng.uniform(0.1, 1.2), outcome
