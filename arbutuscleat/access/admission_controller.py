"""Admission control: whether the leader accepts a submitted job.

A job that is already accepted, or whose acceptance is being committed, is never
refused: submitting it again must give the same answer.
"""

import math
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from arbutuscleat.core import Clock, MachineLimits
from arbutuscleat.jobs import JobTable, Queue, job_bytes, wave_bytes
from arbutuscleat.metrics import Metrics
from arbutuscleat.scheduling import (
    FleetCapacity,
    RateLimit,
    Rejection,
    backlog_cpu_ms,
    check_memory,
    check_size,
    check_wait,
)
from arbutuscleat.wire.gen_jobs.ttypes import JobRecord, WaveRecord

from .team_admission import TeamAdmission

BACKLOG_MAX_AGE_SECONDS = 0.1
"""Maximum age of the cached backlog; even a burst adds only a few jobs in this time."""

EVICTABLE_MAX_AGE_SECONDS = 0.5
"""Maximum age of the cached memory of ended jobs, which takes a look at all tasks."""

JOBS_SHARE = 3
"""Part of the memory for jobs: as much is left for plans and for the snapshot that is
being written, and for the process itself with its log."""

WAVES_SHARE = 10
"""Part of the memory for waves that are not complete: 50,000 machines with names of
ten characters on the smallest machines."""

MAX_TEAM_LABELS = 100
"""Teams that the metrics name; further ones count as "other"."""


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
    limit : RateLimit, optional
        The allowance of each team, if the configuration has teams.
    metrics : Metrics, optional
        Counts rejected jobs, and jobs accepted beyond the rate of their team.
    machine : MachineLimits, optional
        What each control instance has; the memory for jobs is part of it.
    """

    def __init__(
        self,
        table: JobTable,
        clock: Clock,
        rng: random.Random,
        fleet: Callable[[], FleetCapacity | None],
        limit: RateLimit | None = None,
        metrics: Metrics | None = None,
        machine: MachineLimits | None = None,
    ):
        memory_bytes = (machine or MachineLimits()).memory_bytes
        self._max_job_bytes = memory_bytes // JOBS_SHARE
        self._max_wave_bytes = memory_bytes // WAVES_SHARE
        self._table = table
        self._clock = clock
        self._rng = rng
        self._fleet = fleet
        self._submitting: dict[str, int] = {}
        """Memory of the jobs that are being committed."""

        self._backlogs: dict[str, tuple[float, int]] = {}
        self._teams = TeamAdmission(
            table,
            clock,
            rng,
            RateLimit() if limit is None else limit,
            BACKLOG_MAX_AGE_SECONDS,
        )
        self._metrics = Metrics() if metrics is None else metrics
        self._evictable = (0, -math.inf, 0)
        """Memory of all jobs, when it was looked at, and what of it is evictable."""

        self._labels: set[str] = set()
        self._over_rate_ids: set[str] = set()
        """Jobs beyond the rate of their team that are being committed."""

    @contextmanager
    def submitting(self, job_id: str) -> Iterator[None]:
        """Mark a job as being committed while the block runs."""
        self._submitting.setdefault(job_id, 0)
        try:
            yield
        finally:
            with self._table.lock:
                self._submitting.pop(job_id, None)
                self._over_rate_ids.discard(job_id)
                self._table.changed.notify_all()

    def is_submitting(self, job_id: str) -> bool:
        """Return whether a job is being committed."""
        return job_id in self._submitting

    def check(self, record: JobRecord, job_id: str, queue: Queue) -> Rejection | None:
        """Return why a job is rejected, or None if it is accepted.

        An accepted job counts as being committed until `submitting` ends.

        Parameters
        ----------
        record : JobRecord
            The submitted job, which names its team. `over_rate` is set here.
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
                record.over_rate = job_id in self._over_rate_ids or None
                return None
            record.over_rate = None
            rejection = self._check_new(record, job_id, queue)
            if rejection is not None:
                label = self._label(record.team)
                self._metrics.count(
                    "jobs_refused", cause=rejection.cause.value, team=label
                )
                return rejection
            if record.over_rate:
                self._over_rate_ids.add(job_id)
                self._metrics.count(
                    "jobs_accepted_over_rate", team=self._label(record.team)
                )
            self._submitting[job_id] = job_bytes(record)
            return None

    def _check_new(
        self, record: JobRecord, job_id: str, queue: Queue
    ) -> Rejection | None:
        fleet = self._fleet()
        rejection = check_size(record.steps, fleet) or self._check_memory(record)
        if rejection is not None or record.repeat_count:
            return rejection
        config = self._table.config
        if config is not None and config.teams:
            return self._teams.check(record, job_id, queue, config, fleet)
        backlog = self._backlog(queue.service_name)
        return check_wait(record.steps, queue, backlog, fleet, self._rng.random())

    def admits_wave(self, record: WaveRecord) -> bool:
        """Return whether there is memory for a wave beside those that go on.

        One that is already stored is always admitted.
        """
        with self._table.lock:
            if record.wave in self._table.waves:
                return True
            held = sum(wave.size() for wave in self._table.waves.values())
        return held + wave_bytes(record.machines) <= self._max_wave_bytes

    def _check_memory(self, record: JobRecord) -> Rejection | None:
        size = job_bytes(record)
        held = self._table.held_bytes + sum(self._submitting.values())
        if check_memory(size, held, self._max_job_bytes, 0.0) is None:
            return None
        held -= self._evictable_bytes()
        return check_memory(size, held, self._max_job_bytes, self._rng.random())

    def _evictable_bytes(self) -> int:
        """Return the memory of jobs that are evicted with the next accepted one.

        The result is cached while the table holds the same jobs, for up to
        `EVICTABLE_MAX_AGE_SECONDS`.
        """
        now = self._clock.monotonic()
        held, since, evictable = self._evictable
        if held != self._table.held_bytes or now - since > EVICTABLE_MAX_AGE_SECONDS:
            evictable = self._table.evictable_bytes(self._clock.now_ms())
            self._evictable = (self._table.held_bytes, now, evictable)
        return evictable

    def _label(self, team_name: str | None) -> str:
        """Return the label of a team in the metrics."""
        if team_name is None:
            return "none"
        if team_name not in self._labels:
            if len(self._labels) >= MAX_TEAM_LABELS:
                return "other"
            self._labels.add(team_name)
        return team_name

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
