"""Begin recorder: records in the replicated log which jobs have begun.

A start in the log is an order. Its worker can reject it, and it can be lost, so a job
has begun only once a worker has accepted a run or lists one. An end that a worker
reports shows it as well and needs no entry of its own.
"""

import threading
from collections.abc import Iterable

from arbutuscleat.core import Clock
from arbutuscleat.jobs import JobTable
from arbutuscleat.wire.gen_jobs.ttypes import BeginJobs, JobCommand

from .run_end_recorder import Propose

RECORD_SECONDS = 0.5
"""Shortest interval between entries: the jobs that begin meanwhile share one. With the
time that a worker keeps a hold open, a count of waiting jobs is 2 s old at most."""


class BeginRecorder:
    """Collects the jobs that begin, for all sessions of a process; thread-safe.

    Parameters
    ----------
    table : JobTable
        The replicated job table.
    propose : callable
        Proposes a command to the replicated log.
    clock : Clock
        Source of time.
    """

    def __init__(self, table: JobTable, propose: Propose, clock: Clock):
        self._table = table
        self._propose = propose
        self._clock = clock
        self._lock = threading.Lock()
        self._begun: set[str] = set()
        self._recorded_at = float("-inf")

    def observe(self, job_ids: Iterable[str]) -> None:
        """Note that workers have accepted runs of these jobs."""
        with self._lock:
            self._begun.update(job_ids)

    def record_if_due(self) -> None:
        """Propose an entry with the jobs noted, unless one was proposed just before."""
        now = self._clock.monotonic()
        with self._lock:
            if not self._begun or now - self._recorded_at < RECORD_SECONDS:
                return
            begun, self._begun = self._begun, set()
        with self._table.lock:
            begun = {
                job_id
                for job_id in begun
                if job_id in self._table.active
                and not self._table.active[job_id].started
            }
        if not begun:
            return
        with self._lock:
            self._recorded_at = now
        command = JobCommand(begin_jobs=BeginJobs(job_ids=sorted(begun)))
        if not self._propose(command):
            self.observe(begun)
