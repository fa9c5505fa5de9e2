"""The leader's admission control for jobs of teams: rates, backlog and retry times."""

import random
from collections.abc import Mapping

from arbutuscleat.core import Clock
from arbutuscleat.jobs import JobTable, Queue, QueueConfig, Team
from arbutuscleat.scheduling import (
    ArrivalMeter,
    FleetCapacity,
    Opening,
    RateLimit,
    Rejection,
    RejectionCause,
    RetrySchedule,
    TeamBacklog,
    TeamRates,
    TeamRejection,
    check_team_wait,
    work_of,
)
from arbutuscleat.wire.gen_jobs.ttypes import JobRecord

MIN_RETRY_SECONDS = 1.0
"""Callers read the delay in whole seconds."""

ROUNDING_SECONDS = 0.5
"""Added to each retry delay, so that no caller comes before its slot: entry instances
round the delay to the nearest second."""

SPREAD_SECONDS = 1.0
"""Up to this much is added to each retry delay, since rounding to whole seconds brings
the callers of one second together."""

PASS_INTERVAL_FACTOR = 10
"""Least time between two passes over the table, as a multiple of the duration of one:
they take a tenth of a core at most. Accepted jobs are added to the sums meanwhile."""


class TeamAdmission:
    """Accepts or rejects jobs of teams, and marks those beyond their team's rate.

    The caller holds the lock of the table.

    Parameters
    ----------
    table : JobTable
        The replicated table.
    clock : Clock
        Source of time; only its monotonic time is used.
    rng : random.Random
        Spreads the retry times of rejected callers.
    limit : RateLimit
        The allowance of each team.
    backlog_max_age : float
        Maximum age of the sums over the table, in seconds. A large table is summed
        less often.
    """

    def __init__(
        self,
        table: JobTable,
        clock: Clock,
        rng: random.Random,
        limit: RateLimit,
        backlog_max_age: float,
    ):
        self._table = table
        self._clock = clock
        self._rng = rng
        self._rates = TeamRates(limit)
        self._arrivals = ArrivalMeter(limit.window)
        self._schedule = RetrySchedule()
        self._backlog_max_age = backlog_max_age
        self._backlog: TeamBacklog | None = None
        self._backlog_until = 0.0
        self._teams: Mapping[str, Team] = {}

    def check(
        self,
        record: JobRecord,
        job_id: str,
        queue: Queue,
        config: QueueConfig,
        fleet: FleetCapacity | None,
    ) -> Rejection | None:
        """Return why a one-off job is rejected, or None if it is accepted.

        Sets `over_rate` of the record. Jobs with long-running steps have no rate: they
        are never rejected for their wait, and have to run while there is room.

        Parameters
        ----------
        record : JobRecord
            The submitted job, which names its team.
        job_id : str
            Its id.
        queue : Queue
            The queue to which it is submitted.
        config : QueueConfig
            The configuration in force.
        fleet : FleetCapacity or None
            Capacity of all machines; None if it is unknown.
        """
        now = self._clock.monotonic()
        if config.teams is not self._teams:
            self._teams = config.teams
            self._rates.keep_only(config.teams)
        team = config.team_of(record)
        if any(step.long_running for step in record.steps):
            return None
        is_over = team is not None and self._is_over(team, job_id, now)
        record.over_rate = is_over or None
        backlog = self._current_backlog(now)
        arriving_cpu = self._arrivals.cpu(queue.service_name, now)
        rejection = check_team_wait(
            record.steps, queue, team, is_over, backlog, fleet, arriving_cpu
        )
        if rejection is not None:
            return self._reject(rejection, job_id, queue, team, now)
        self._schedule.forget(job_id)
        work = work_of(record.steps)
        if not is_over:
            self._arrivals.record(queue.service_name, work.cpu, now)
            if team is not None:
                self._rates.record(team, job_id, now)
        backlog.add(queue.service_name, record.team, is_over, work)
        return None

    def _is_over(self, team: Team, job_id: str, now: float) -> bool:
        reserved = self._schedule.due_count(_rate_line(team), job_id, now)
        return self._rates.is_over(team, job_id, reserved, now)

    def _reject(
        self,
        rejection: TeamRejection,
        job_id: str,
        queue: Queue,
        team: Team | None,
        now: float,
    ) -> Rejection:
        """Return a rejection with the time of the next slot that the job can have.

        A job beyond its team's rate can be accepted by that rate, or once its service
        has room for more.
        """
        cause = rejection.cause
        name = team.name if team and cause is RejectionCause.CAP else queue.service_name
        at = now + rejection.excess_ms / 1000.0
        openings = [Opening((cause, name), at, rejection.interval_ms / 1000.0)]
        if cause is RejectionCause.RATE and team is not None:
            free_at = self._rates.free_at(team, now)
            openings.append(Opening(_rate_line(team), free_at, 1.0 / team.weight))
        slot = self._schedule.slot(job_id, openings, now)
        delay = slot - now + ROUNDING_SECONDS + self._rng.random() * SPREAD_SECONDS
        delay = max(MIN_RETRY_SECONDS, delay)
        return Rejection(rejection.reason, int(1000 * delay), cause)

    def _current_backlog(self, now: float) -> TeamBacklog:
        """Return the sums over the table, to which accepted jobs have been added."""
        if self._backlog is None or now > self._backlog_until:
            self._backlog = TeamBacklog.of_table(self._table)
            end = self._clock.monotonic()
            age = max(self._backlog_max_age, PASS_INTERVAL_FACTOR * (end - now))
            self._backlog_until = end + age
        return self._backlog


def _rate_line(team: Team) -> tuple[str, str]:
    return ("rate of team", team.name)
