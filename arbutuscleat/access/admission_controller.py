"""Admission gates: whether the leader accepts a job that is handed in.

What is held, or may be on its way into the log, is never refused.
"""

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from arbutuscleat.core import Clock
from arbutuscleat.jobs import JobTable, Queue
from arbutuscleat.scheduling import (
    Fleet,
    Rejection,
    backlog_cpu_ms,
    check_size,
    check_wait,
)
from arbutuscleat.wire.gen_jobs.ttypes import JobRecord

BACKLOG_SECONDS = 0.1
"""How old the backlog that a job is judged by may be: a burst adds a few jobs in it."""


class AdmissionController:
    """Judges jobs by the table's backlog and the provider's machines.

    Parameters
    ----------
    table : JobTable
        The replicated table.
    clock : Clock
        Source of time.
    rng : random.Random
        Spreads the callers that are to come back.
    fleet : callable
        Returns what all machines have, None when they are not known.
    """

    def __init__(
        self,
        table: JobTable,
        clock: Clock,
        rng: random.Random,
        fleet: Callable[[], Fleet | None],
    ):
        self._table = table
        self._clock = clock
        self._rng = rng
        self._fleet = fleet
        self._submitting: set[str] = set()
        self._backlogs: dict[str, tuple[float, int]] = {}

    @contextmanager
    def submitting(self, job_id: str) -> Iterator[None]:
        """Note that a job is on its way into the log while the block runs."""
        self._submitting.add(job_id)
        try:
            yield
        finally:
            self._submitting.discard(job_id)

    def check(self, record: JobRecord, job_id: str, queue: Queue) -> Rejection | None:
        """Return why a job is not accepted, if that is so."""
        with self._table.lock:
            if job_id in self._table.jobs or job_id in self._submitting:
                return None
            fleet = self._fleet()
            found = check_size(record.steps, fleet)
            if found is not None or record.repeat_count:
                return found
            backlog = self._backlog(queue.service_name)
            return check_wait(record.steps, queue, backlog, fleet, self._rng.random())

    def _backlog(self, service_name: str) -> int:
        """Return the work ahead of a new job, reckoned anew ten times a second."""
        now = self._clock.monotonic()
        held = self._backlogs.get(service_name)
        if held is None or now - held[0] > BACKLOG_SECONDS:
            held = (now, backlog_cpu_ms(self._table, service_name))
            self._backlogs[service_name] = held
        return held[1]
