"""Worker usage: what the runs in the job table take of each worker's capacity.

Only few workers' runs change from one plan to the next, so the sums are kept.
"""

from dataclasses import dataclass, field

from arbutuscleat.jobs import JobTable
from arbutuscleat.jobs.task import WorkerIncarnation

from .worker_view import WorkerView


@dataclass(slots=True)
class WorkerUsage:
    """Sums over the runs on one incarnation of a worker.

    Parameters
    ----------
    version : int
        The table's version of these runs.
    cpu, mem_mb, gpu : int
        CPU in thousandths of a core, memory in MB and accelerators in use.
    long_running_cpu, long_running_mem_mb, long_running_gpu : int
        What long-running tasks use of each.
    finite_runs : int
        Number of runs that end by themselves.
    counts : dict
        Number of runs by job, occurrence and step.
    """

    version: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    long_running_cpu: int = 0
    long_running_mem_mb: int = 0
    long_running_gpu: int = 0
    finite_runs: int = 0
    counts: dict[tuple[str, int, int], int] = field(default_factory=dict)

    def take_from(self, view: WorkerView) -> None:
        """Take the capacity in use from the view of a worker without runs."""
        view.cpu -= self.cpu
        view.mem_mb -= self.mem_mb
        view.gpu -= self.gpu
        view.long_running_cpu += self.long_running_cpu
        view.long_running_mem_mb += self.long_running_mem_mb
        view.long_running_gpu += self.long_running_gpu
        view.counts = dict(self.counts)


class UsageCache:
    """Usage of all workers, computed again only where runs have changed."""

    def __init__(self) -> None:
        self._usage: dict[WorkerIncarnation, WorkerUsage] = {}

    def usage(self, table: JobTable, incarnation: WorkerIncarnation) -> WorkerUsage:
        """Return the usage of a worker; the table's lock must be held."""
        version = table.run_versions.get(incarnation, 0)
        usage = self._usage.get(incarnation)
        if usage is None or usage.version != version:
            usage = _usage_of(table, incarnation, version)
            self._usage[incarnation] = usage
        return usage

    def prune(self, table: JobTable) -> None:
        """Forget the workers that the table no longer has."""
        self._usage = {
            incarnation: usage
            for incarnation, usage in self._usage.items()
            if incarnation[0] in table.workers
        }


def _usage_of(
    table: JobTable, incarnation: WorkerIncarnation, version: int
) -> WorkerUsage:
    usage = WorkerUsage(version)
    for key in table.runs.get(incarnation, ()):
        job = table.jobs.get(key.job_id)
        if job is None:
            continue
        step = job.steps[key.step]
        cpu = 0 if step.fills else step.cpu
        usage.cpu += cpu
        usage.mem_mb += step.mem_mb
        usage.gpu += step.gpu
        if step.long_running:
            usage.long_running_cpu += cpu
            usage.long_running_mem_mb += step.mem_mb
            usage.long_running_gpu += step.gpu
        else:
            usage.finite_runs += 1
        group = key[:3]
        usage.counts[group] = usage.counts.get(group, 0) + 1
    return usage
