"""The work that is ahead of a new job, by service and team.

All sums are made in one pass over the active jobs, whatever the number of teams.
"""

from collections import Counter

from arbutuscleat.jobs import JobTable

from .work import Work, remaining_work


class TeamBacklog:
    """Estimated remaining work of one-off batch jobs, by service and team.

    Repeating and long-running jobs are not counted.

    Attributes
    ----------
    pool_cpu : Counter of str
        CPU of the workers that each service has now, in thousandths of a core; workers
        that drain or leave are not counted.
    """

    def __init__(self) -> None:
        self.pool_cpu: Counter[str] = Counter()
        self._within_rate: Counter[str] = Counter()
        self._over_rate: Counter[str] = Counter()
        self._own_over_rate: Counter[tuple[str, str | None]] = Counter()
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
        if over_rate:
            self._over_rate[service_name] += work.cpu
            self._own_over_rate[service_name, team_name] += work.cpu
        else:
            self._within_rate[service_name] += work.cpu
        if team_name is not None:
            self._own[team_name] = self.of_team(team_name).plus(work)

    def ahead_cpu_ms(self, service_name: str, team_name: str | None) -> int:
        """Return the work ahead of a job within its team's rate.

        That is all work within rates, and what its own team has beyond: tasks of it
        that already run count towards the team's share.

        Returns
        -------
        int
            Work in thousandths of a core times milliseconds.
        """
        own = self._own_over_rate[service_name, team_name]
        return self._within_rate[service_name] + own

    def total_cpu_ms(self, service_name: str) -> int:
        """Return all work of a service, in thousandths of a core times milliseconds."""
        return self._within_rate[service_name] + self._over_rate[service_name]

    def of_team(self, team_name: str) -> Work:
        """Return all work of a team, of any service."""
        return self._own.get(team_name, Work())
