"""Admission control: whether the leader accepts a submitted job.

A job that is already accepted, or whose acceptance is being committed, is never
refused: submitting it again must give the same answer.
"""

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from arbutuscleat.core import Clock
from arbutuscleat.jobs import JobTable, Queue
from arbutuscleat.scheduling import (
    FleetCapacity,
    Rejection,
    backlog_cpu_ms,
    check_size,
    check_wait,
)
from arbutuscleat.wire.gen_jobs.ttypes import JobRecord

BACKLOG_MAX_AGE_SECONDS = 0.1
"""Maximum age of the cached backlog; even a burst adds only a few jobs in this time."""


class AdmissionController:
    """Accepts or rejects jobs by the backlog and the capacity of all machines.

    Parameters
    ----------
    table : JobTable
        The replicated table.
    clock : Clock
        Source of time.
    rng : random.Random
        Spreads the retry times of rejected callers.
    fleet : callable
        Returns the total capacity of all machines, or None while it is unknown.
    """

    def __init__(
        self,
        table: JobTable,
        clock: Clock,
        rng: random.Random,
        fleet: Callable[[], FleetCapacity | None],
    ):
        self._table = table
        self._clock = clock
        self._rng = rng
        self._fleet = fleet
        self._submitting: set[str] = set()
        self._backlogs: dict[str, tuple[float, int]] = {}

    @contextmanager
    def submitting(self, job_id: str) -> Iterator[None]:
        """Mark a job as being committed while the block runs."""
        self._submitting.add(job_id)
        try:
            yield
        finally:
            self._submitting.discard(job_id)

    def check(self, record: JobRecord, job_id: str, queue: Queue) -> Rejection | None:
        """Return why a job is rejected, or None if it is accepted.

        Parameters
        ----------
        record : JobRecord
            The submitted job.
        job_id : str
            Its id.
        queue : Queue
            The queue to which it is submitted.

        Returns
        -------
        Rejection or None
            The reason and when to retry.
        """
        with self._table.lock:
            if job_id in self._table.jobs or job_id in self._submitting:
                return None
            fleet = self._fleet()
            rejection = check_size(record.steps, fleet)
            if rejection is not None or record.repeat_count:
                return rejection
            backlog = self._backlog(queue.service_name)
            return check_wait(record.steps, queue, backlog, fleet, self._rng.random())

    def _backlog(self, service_name: str) -> int:
        """Return the estimated work ahead of a new job of a service.

        The result, in thousandths of a core times milliseconds, is cached for
        `BACKLOG_MAX_AGE_SECONDS`.
        """
        now = self._clock.monotonic()
        cached = self._backlogs.get(service_name)
        if cached is None or now - cached[0] > BACKLOG_MAX_AGE_SECONDS:
            cached = (now, backlog_cpu_ms(self._table, service_name))
            self._backlogs[service_name] = cached
        return cached[1]
