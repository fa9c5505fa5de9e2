"""Checks of what callers are told of their jobs."""

import time

from arbutuscleat.jobs import RunOutcome

from .. import bounds
from ..disturbances import CORE, UNPLANNED, entry
from ..workload import MAX_ATTEMPTS, Job
from ..world import Part, World
from .runs import RunCheck


class JobCheck(Part):
    """Compares the answers to callers with what workers have seen."""

    def __init__(self, world: World, runs: RunCheck):
        super().__init__(world)
        self._runs = runs

    def unknown(self, job: Job, node: str, sent_at: float) -> None:
        """Check an answer that a job does not exist."""
        now, since = time.monotonic(), sent_at - bounds.CONTACT
        if job.accepted_at is None or job.cancel_sent_at is not None:
            return
        if sent_at < job.accepted_at + bounds.VISIBLE:
            return
        if job.ended_at is not None and now > job.ended_at + bounds.STATUS:
            return
        if self.calm(since, now, CORE, entry(node)):
            self.fail("LOST", job.job_id, f"{node} does not know it")

    def shown(self, job: Job, state: str) -> None:
        """Check the state that a caller was shown."""
        keys, now = job.keys(), time.monotonic()
        if state in ("completed", "failed", "cancelled") and job.ended_at is None:
            job.ended_at = now
            self.report.event(f"job {job.job_id} {state}")
        if state == "completed":
            missing = [k for k in keys if not self._runs.count(k, RunOutcome.DONE)]
            if missing or job.lasts:
                self.fail("MIXED", job.job_id, f"completed without {missing}")
            self._runs.completed_at.setdefault(job.job_id, now)
        failures = max(self._runs.count(key, RunOutcome.FAILED) for key in keys)
        if state == "failed" and failures < MAX_ATTEMPTS:
            self.fail("LOST", job.job_id, f"failed after {failures} failures")
        if state == "cancelled" and job.cancel_sent_at is None:
            self.fail("LOST", job.job_id, "nobody has cancelled it")

    def finish(self) -> None:
        """Check that refused jobs have not run."""
        for job in self.jobs.values():
            if job.is_refused() and any(self._runs.of(key) for key in job.keys()):
                self.fail("REFUSED", job.job_id, "refused, but has run")


class CutCheck(Part):
    """Checks that planned stops cut off no request."""

    def __init__(self, world: World):
        super().__init__(world)
        self._stops: list[tuple[str, float]] = []

    def stopping(self, node: str) -> None:
        """Note a SIGTERM."""
        self._stops.append((node, time.monotonic()))

    def broken(self, node: str, request: str, sent_at: float) -> None:
        """Check a request whose connection ended without a complete answer."""
        now, since = time.monotonic(), sent_at - bounds.CONTACT
        unplanned = CORE + UNPLANNED, entry(node) + UNPLANNED
        self.report.count("requests broken off")
        if not bounds.LOSS_SLACK < now - sent_at < bounds.CALL:
            return
        for stopped, at in self._stops:
            if stopped == node and at <= now <= at + bounds.GRACE + 1.0:
                if self.calm(since, now, *unplanned):
                    text = f"{node} cut it off {now - at:.3f} s after its SIGTERM"
                    self.fail("LOST", request, f"{text}, {now - sent_at:.3f} s old")
