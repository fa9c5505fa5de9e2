"""The work that is ahead of a new job, by service and team.

All sums are made in one pass over the active jobs, whatever the number of teams.
"""

from collections import Counter, defaultdict
from collections.abc import Mapping

from arbutuscleat.jobs import JobTable

from .work import Work, remaining_work

TeamWork = Counter[str | None]
"""Work of each team, in thousandths of a core times milliseconds."""


class TeamBacklog:
    """Estimated remaining work of one-off batch jobs, by service and team.

    Repeating and long-running jobs are not counted.

    Attributes
    ----------
    pool_cpu : Counter of str
        CPU of the workers that each service has now, in thousandths of a core; workers
        that drain or leave are not counted.
    caps : dict of str to int
        CPU that each team with a cap may use, in thousandths of a core.
    """

    def __init__(self) -> None:
        self.pool_cpu: Counter[str] = Counter()
        self.caps: dict[str, int] = {}
        self._within_rate: defaultdict[str, TeamWork] = defaultdict(Counter)
        self._over_rate: defaultdict[str, TeamWork] = defaultdict(Counter)
        self._totals: Counter[tuple[str, bool]] = Counter()
        """Sums over all teams, by service and whether beyond their rates."""

        self._own: dict[str, Work] = {}

    @classmethod
    def of_table(cls, table: JobTable) -> "TeamBacklog":
        """Return the sums of a job table; the caller holds its lock."""
        backlog = cls()
        for job in table.active.values():
            record = job.record
            if not record.repeat_count and not job.has_long_running_step():
                backlog.add(
                    table.service_of(job),
                    record.team,
                    bool(record.over_rate),
                    remaining_work(job),
                )
        for worker in table.workers.values():
            if not worker.draining and not worker.leaving:
                backlog.pool_cpu[worker.service_name] += worker.cpu
        for team in table.config.teams.values() if table.config else ():
            if team.cap.cpu:
                backlog.caps[team.name] = team.cap.cpu
        return backlog

    def add(
        self, service_name: str, team_name: str | None, over_rate: bool, work: Work
    ) -> None:
        """Add the work of a job.

        Parameters
        ----------
        service_name : str
            The service that runs it.
        team_name : str or None
            The team that it belongs to, if any.
        over_rate : bool
            Whether it was beyond the team's rate when it was accepted.
        work : Work
            Its remaining work.
        """
        part = self._over_rate if over_rate else self._within_rate
        part[service_name][team_name] += work.cpu
        self._totals[service_name, over_rate] += work.cpu
        if team_name is not None:
            self._own[team_name] = self.of_team(team_name).plus(work)

    def ahead_wait_ms(
        self, service_name: str, team_name: str | None, cpu: int
    ) -> float:
        """Return how long a job within its team's rate waits, in milliseconds.

        All work within rates goes before it, and what its own team has beyond: tasks of
        it that already run count towards the team's share.

        Parameters
        ----------
        service_name : str
            The service.
        team_name : str or None
            The team, if any.
        cpu : int
            Thousandths of a core that work on it.
        """
        within = self._within_rate[service_name]
        own = self._over_rate[service_name][team_name]
        capped = {name: within[name] for name in self.caps}
        if team_name in capped:
            capped[team_name] += own
        total = self._totals[service_name, False] + own
        return wait_ms(total, capped, self.caps, cpu)

    def total_wait_ms(self, service_name: str, cpu: int) -> float:
        """Return how long all work of a service takes, in milliseconds."""
        within = self._within_rate[service_name]
        beyond = self._over_rate[service_name]
        capped = {name: within[name] + beyond[name] for name in self.caps}
        total = self._totals[service_name, False] + self._totals[service_name, True]
        return wait_ms(total, capped, self.caps, cpu)

    def of_team(self, team_name: str) -> Work:
        """Return all work of a team, of any service."""
        return self._own.get(team_name, Work())


def wait_ms(
    total: int, capped: Mapping[str, int], caps: Mapping[str, int], cpu: int
) -> float:
    """Return the time after which some CPU is free for a new job.

    Until then a team with a cap uses no more than its cap. What it has left by then
    delays nobody else.

    Parameters
    ----------
    total : int
        Work of all teams, in thousandths of a core times milliseconds.
    capped : mapping of str to int
        The part of it that teams with a cap have.
    caps : mapping of str to int
        Their caps in thousandths of a core.
    cpu : int
        CPU that does the work, in thousandths of a core.

    Returns
    -------
    float
        Time in milliseconds.
    """
    left, free = total, cpu
    remaining = {name: amount for name, amount in capped.items() if amount}
    while True:
        wait = left / free
        bound = [
            name for name, amount in remaining.items() if amount > caps[name] * wait
        ]
        if not bound:
            return wait
        for name in bound:
            left -= remaining.pop(name)
            free -= caps[name]
