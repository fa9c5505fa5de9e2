"""Checks that nothing waits for long while there is room, or runs on when cancelled."""

import time

from arbutuscleat.jobs import RunOutcome, TaskKey

from . import bounds
from .back_ends import BackEnds, SoakWorker
from .checks.runs import RunCheck
from .disturbances import CORE, PROVIDER, WORKERS
from .workload import MAX_ATTEMPTS, WORKER_CPU, Job
from .world import Loop, Part, World

INTERVAL = 0.1
COPIES = 2
"""The room has to suffice for so many of a waiting task."""


class WaitCheck(Part):
    """Looks at all tasks ten times a second."""

    def __init__(self, world: World, back_ends: BackEnds, runs: RunCheck):
        super().__init__(world)
        self._back_ends = back_ends
        self._runs = runs
        self._waiting_since: dict[TaskKey | str, float] = {}
        self.short_jobs = False
        self._calm = False
        self.loop = Loop(world, lambda: INTERVAL, self._check)

    def _check(self) -> None:
        self._calm = self._is_calm(bounds.MAX_WAIT + bounds.BEFORE_WAIT)
        if self._calm:
            self.report.count("calm tenths")
        for job in list(self.jobs.values()):
            if job.cancelled_at is not None:
                self._check_cancelled(job, job.cancelled_at)
            if job.accepted_at is None or job.cancel_sent_at or job.ended_at:
                continue
            if job.lasts:
                for key in job.keys():
                    self._check_lasting(job, key)
            elif self.short_jobs:
                self._check_short(job)

    def _check_cancelled(self, job: Job, cancelled_at: float) -> None:
        now = time.monotonic()
        active = [run for key in job.keys() for run in self._runs.active(key)]
        since = max([cancelled_at, *(run.started_at for run in active)])
        span = bounds.CONTACT + bounds.CANCEL + bounds.STOP
        if active and now - since > span and self._is_calm(span):
            text = f"{active[0]} runs {now - cancelled_at:.1f} s after a cancel"
            self.fail("UNASKED", job.job_id, text)

    def _check_lasting(self, job: Job, key: TaskKey) -> None:
        now, ends = time.monotonic(), [run.ended_at for run in self._runs.of(key)]
        waits = None not in ends and self._calm and self._has_room(job, key)
        last = max([job.accepted_at, *ends]) if waits else now
        if self._waited(key, waits) and now - last > bounds.LASTING_RESTART:
            self._lost(key, f"not at work for {now - last:.1f} s", job)

    def _check_short(self, job: Job) -> None:
        keys, count, ended = job.keys(), self._runs.count, time.time()
        turn = [
            key
            for key in keys
            if not count(key, RunOutcome.DONE)
            and job.due_ms[key.occurrence] / 1000.0 <= ended
            and all(count(k, RunOutcome.DONE) for k in job.keys_before(key))
        ]
        failed = any(count(key, RunOutcome.FAILED) >= MAX_ATTEMPTS for key in keys)
        idle = not any(self._runs.active(key) for key in keys)
        room = any(self._has_room(job, key) for key in turn)
        free = self._is_calm(bounds.CONTACT) and not self._half_used(job.service)
        if self._waited(job.job_id, room and idle and free and not failed):
            self._lost(job.job_id, "nothing of it runs", job)

    def _waited(self, subject: TaskKey | str, waits: bool) -> bool:
        """Return whether a subject has waited longer than it may."""
        if not waits:
            self._waiting_since.pop(subject, None)
            return False
        since = self._waiting_since.setdefault(subject, time.monotonic())
        return time.monotonic() - since > bounds.MAX_WAIT

    def _lost(self, subject: TaskKey | str, text: str, job: Job) -> None:
        workers = self._workers(job.service)
        room = [f"{item.worker_id} free {item.model.free()}" for item in workers]
        self.fail("LOST", subject, f"{text}; {', '.join(room)}")

    def _is_calm(self, span: float) -> bool:
        now = time.monotonic()
        return self.calm(now - span, now, CORE, PROVIDER, WORKERS)

    def _workers(self, service: str) -> list[SoakWorker]:
        return [
            item
            for item in self._back_ends.all_workers()
            if item.service == service and not item.draining and not item.model.failing
        ]

    def _half_used(self, service: str) -> bool:
        workers = self._workers(service)
        free = sum(item.model.free()[0] for item in workers)
        return 2 * free <= WORKER_CPU * len(workers)

    def _has_room(self, job: Job, key: TaskKey) -> bool:
        step = job.steps[key.step]
        fits = 0
        for item in self._workers(job.service):
            if step.required_label and step.required_label not in item.labels:
                continue
            cpu, mem_mb = item.model.free()
            copies = min(cpu // max(1, step.cpu), mem_mb // max(1, step.mem_mb))
            if step.spread_limit:
                same = len(self._runs.on_worker(item, key[:3]))
                copies = min(copies, step.spread_limit - same)
            fits += max(0, copies)
        return fits >= COPIES
