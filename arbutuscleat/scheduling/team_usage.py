"""Team usage: what the runs in the job table use, by team and service.

The job table counts a run until the entry with its end is applied: runs that are to be
stopped, that were inherited, whose worker does not answer or whose job is over may all
be on a worker. The sums are derived from these runs. Few workers' runs change from one
plan to the next, so the parts are kept by worker, and their cost does not depend on the
number of teams.
"""

from arbutuscleat.jobs import JobTable
from arbutuscleat.jobs.task import WorkerIncarnation
from arbutuscleat.wire.gen_jobs.ttypes import JobRecord, StepRecord

NO_TEAM = ""
"""Stands for jobs of public queues, which have no team."""

Amount = tuple[int, int, int]
"""CPU in thousandths of a core, memory in MB and accelerators."""


def team_name_of(record: JobRecord) -> str:
    """Return the name of the team of a job, or `NO_TEAM`."""
    return record.team or NO_TEAM


def size_of(step: StepRecord) -> Amount:
    """Return what a task of a step counts against the cap and share of its team.

    A task that fills uses only the CPU that others leave; it counts in full, because
    it may use as much as it asks for.
    """
    return (step.cpu, step.mem_mb, step.gpu)


class Usage:
    """Sums over runs of one team.

    Attributes
    ----------
    used : list of int
        CPU in thousandths of a core, memory in MB and accelerators in use.
    long_running : list of int
        What long-running tasks use of each.
    """

    __slots__ = ("used", "long_running")

    def __init__(self) -> None:
        self.used = [0, 0, 0]
        self.long_running = [0, 0, 0]

    def add(self, step: StepRecord, tasks: int) -> None:
        """Add a number of tasks of a step."""
        for position, size in enumerate(size_of(step)):
            self.used[position] += tasks * size
            if step.long_running:
                self.long_running[position] += tasks * size

    def merge(self, other: "Usage", factor: int = 1) -> None:
        """Add another usage, or subtract it with the factor -1."""
        for position in range(3):
            self.used[position] += factor * other.used[position]
            self.long_running[position] += factor * other.long_running[position]


class TeamUsage:
    """Usage of all teams; guarded by the table's lock.

    Attributes
    ----------
    by_service : dict of str to dict of str to Usage
        Usage by the service of the workers, and by team.
    by_team : dict of str to Usage
        Usage on all workers by team.
    """

    def __init__(self) -> None:
        self.by_service: dict[str, dict[str, Usage]] = {}
        self.by_team: dict[str, Usage] = {}
        self._parts: dict[WorkerIncarnation, _Part] = {}

    def clear(self) -> None:
        """Forget all sums."""
        self.by_service = {}
        self.by_team = {}
        self._parts = {}

    def observe(self, table: JobTable) -> None:
        """Bring the sums up to date with the runs in the table."""
        for incarnation, version in table.run_versions.items():
            worker = table.workers.get(incarnation[0])
            service = "" if worker is None else worker.service_name
            part = self._parts.get(incarnation)
            if part is not None:
                if part.version == version and part.service == service:
                    continue
                self._merge(part, -1)
            part = _Part(table, incarnation, version, service)
            self._parts[incarnation] = part
            self._merge(part, 1)
        if len(self._parts) > len(table.run_versions):
            for incarnation in self._parts.keys() - table.run_versions.keys():
                self._merge(self._parts.pop(incarnation), -1)

    def of_team(self, team: str) -> Usage:
        """Return the sums of one team over all workers, as a copy."""
        total = Usage()
        if team in self.by_team:
            total.merge(self.by_team[team])
        return total

    def _merge(self, part: "_Part", factor: int) -> None:
        usages = self.by_service.setdefault(part.service, {})
        for team, usage in part.usages.items():
            for sums in (usages, self.by_team):
                if team not in sums:
                    sums[team] = Usage()
                sums[team].merge(usage, factor)


class _Part:
    """Usage of the runs on one incarnation of a worker, by team."""

    __slots__ = ("version", "service", "usages")

    def __init__(
        self,
        table: JobTable,
        incarnation: WorkerIncarnation,
        version: int,
        service: str,
    ):
        self.version = version
        self.service = service
        self.usages: dict[str, Usage] = {}
        for key in table.runs.get(incarnation, ()):
            job = table.jobs.get(key.job_id)
            if job is not None:
                usage = self.usages.setdefault(team_name_of(job.record), Usage())
                usage.add(job.steps[key.step], 1)
