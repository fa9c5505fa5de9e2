"""Checks of the runs that workers start, end and have acknowledged."""

import threading
import time
from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from arbutuscleat.jobs import RunOutcome, TaskKey

from .. import bounds
from ..disturbances import CORE, worker
from ..workload import MAX_ATTEMPTS, Job
from ..world import Part, World

COMPLETED_SLACK = 1.0
"""Time after which a job that was shown as completed may start nothing."""


@dataclass(eq=False)
class Run:
    """One run of a task, as its worker sees it."""

    key: TaskKey
    number: int
    worker: Any
    started_at: float
    ended_at: float | None = None
    outcome: RunOutcome | None = None
    by_order: bool = False
    lapses: int = 0
    acknowledged: bool = False

    def __str__(self) -> str:
        return f"{self.key} run {self.number} on {self.worker.worker_id}"


class RunCheck(Part):
    """Follows all runs; the workers call it under their own locks."""

    def __init__(self, world: World):
        super().__init__(world)
        self._lock = threading.RLock()
        self._runs: dict[TaskKey, list[Run]] = defaultdict(list)
        self.completed_at: dict[str, float] = {}

    # ---- inspection ----

    def of(self, key: TaskKey) -> list[Run]:
        """Return all runs of a task, in the order of their starts."""
        with self._lock:
            return list(self._runs.get(key, ()))

    def active(self, key: TaskKey) -> list[Run]:
        return [run for run in self.of(key) if run.ended_at is None]

    def count(self, key: TaskKey, outcome: RunOutcome, acknowledged=False) -> int:
        """Return how many runs of a task have ended so, or are known to have."""
        found = [run for run in self.of(key) if run.outcome is outcome]
        return sum(run.acknowledged or not acknowledged for run in found)

    def on_worker(self, found: Any, step: tuple = ()) -> list[Run]:
        """Return the active runs on a worker, of one step if it is given."""
        with self._lock:
            return [
                run
                for key, runs in self._runs.items()
                if key[: len(step)] == step
                for run in runs
                if run.worker is found and run.ended_at is None
            ]

    # ---- called by workers ----

    def started(self, found: Any, order: Any, free: tuple[int, int]) -> None:
        key, now = order.key, time.monotonic()
        run = Run(key, order.number, found, now)
        job = self.jobs.get(key.job_id)
        self.report.count("starts")
        self.report.event(f"start {run} fence {order.fence}")
        if job is None or key not in job.keys() or order.spec != job.spec:
            self.fail("UNASKED", key, f"{run}: no caller sent it")
            return
        with self._lock:
            self._check_twice(job, run)
            self._check_turn(job, run)
            self._check_place(job, run)
            self._check_permission(job, run)
            if min(free) < 0:
                self.fail("LIMIT", found.worker_id, f"{run}: free {free}")
            self._runs[key].append(run)

    def ended(self, found: Any, end: Any) -> None:
        self.report.event(f"end {end.key} run {end.number} {end.outcome.name}")
        with self._lock:
            now = time.monotonic()
            for run in self._find(found, end):
                run.ended_at, run.outcome = now, end.outcome
                run.lapses = found.model.lapses
                since = now - bounds.HOLD - bounds.CONTACT
                if end.outcome is RunOutcome.STOPPED:
                    self._end_by_order(run, "a stop")
                elif end.outcome is RunOutcome.LAPSED and self.calm(
                    since, now, CORE, worker(found.worker_id)
                ):
                    self._end_by_order(run, "a lapsed lease")

    def acknowledged(self, found: Any, end: Any) -> None:
        """Note that control knows an end, which stands unless the lease lapsed."""
        with self._lock:
            for run in self._find(found, end):
                run.acknowledged = run.lapses == found.model.lapses
                if end.outcome is not RunOutcome.DONE or not run.acknowledged:
                    continue
                for other in self._runs[run.key]:
                    if other.started_at > (run.ended_at or 0.0):
                        self.fail("TWICE", run.key, f"{other} after the end of {run}")

    def worker_gone(self, found: Any, by_order: bool) -> None:
        """Note that a worker has ended with all its runs."""
        with self._lock:
            for run in self.on_worker(found):
                run.ended_at = time.monotonic()
                if by_order:
                    self._end_by_order(run, "a move or an upkeep")

    # ---- checks, with the lock held ----

    def _check_twice(self, job: Job, run: Run) -> None:
        for other in self.active(run.key):
            self.fail("TWICE", run.key, f"{run} beside {other}")
        if self.count(run.key, RunOutcome.DONE, acknowledged=True):
            self.fail("TWICE", run.key, f"{run} after a recorded end")
        completed_at = self.completed_at.get(job.job_id, run.started_at)
        if run.started_at > completed_at + COMPLETED_SLACK:
            self.fail("TWICE", run.key, f"{run} of a completed job")
        failures = self.count(run.key, RunOutcome.FAILED, acknowledged=True)
        if not job.lasts and failures >= MAX_ATTEMPTS:
            self.fail("BUDGET", run.key, f"{run} after {failures} failures")

    def _check_turn(self, job: Job, run: Run) -> None:
        for earlier in job.keys_before(run.key):
            if not self.count(earlier, RunOutcome.DONE):
                self.fail("ORDER", run.key, f"{run} before {earlier}")
        early = job.due_ms[run.key.occurrence] / 1000.0 - time.time()
        if early > bounds.EARLY:
            self.fail("ORDER", run.key, f"{run}, {early:.3f} s early")

    def _check_place(self, job: Job, run: Run) -> None:
        step, found = job.steps[run.key.step], run.worker
        if found.service != job.service:
            self.fail("ROUTE", run.key, f"{run} of {found.service}")
        if step.required_label and step.required_label not in found.labels:
            self.fail("ROUTE", run.key, f"{run} without its label")
        same = len(self.on_worker(found, run.key[:3]))
        if step.spread_limit and same >= step.spread_limit:
            self.fail("ROUTE", run.key, f"{run} beyond the spread limit")

    def _check_permission(self, job: Job, run: Run) -> None:
        """Check that neither its caller nor its worker has forbidden a run."""
        now, since = run.started_at, run.worker.draining_since
        if job.is_refused():
            self.fail("REFUSED", job.job_id, f"{run}, never accepted")
        if not self.calm(now - bounds.CONTACT, now, CORE, worker(run.worker.worker_id)):
            return
        if job.cancelled_at and now > job.cancelled_at + bounds.CANCEL:
            self.fail("UNASKED", job.job_id, f"{run}, cancelled")
        if since is not None and now > since + bounds.DRAIN:
            self.fail("DRAIN", run.worker.worker_id, f"{run}, draining")

    def _end_by_order(self, run: Run, cause: str) -> None:
        """Check that an order ends a lasting task only while enough others work."""
        run.by_order = True
        now, found, job = time.monotonic(), run.worker, self.jobs[run.key.job_id]
        step = job.steps[run.key.step]
        if not step.may_miss or job.cancel_sent_at is not None:
            return
        if found.draining or found.model.failing:
            return
        keys = job.keys(run.key.occurrence, run.key.step)
        away = [key for key in keys if key != run.key and self._is_away(job, key, now)]
        if len(away) >= step.may_miss and self.calm(
            now - bounds.CONTACT, now, worker(found.worker_id)
        ):
            others = ", ".join(map(str, away))
            self.fail("AVAIL", run.key, f"{run} ended by {cause} without {others}")

    def _is_away(self, job: Job, key: TaskKey, now: float) -> bool:
        runs = self._runs[key]
        if not runs:
            return now - (job.accepted_at or now) >= bounds.NOTICE
        last = runs[-1]
        if last.ended_at is None:
            return False
        return last.by_order or now - last.ended_at >= bounds.NOTICE

    def _find(self, found: Any, end: Any) -> list[Run]:
        runs = self._runs.get(end.key, ())
        return [r for r in runs if r.worker is found and r.number == end.number]
