"""Worker view: the planner's snapshot of one worker's free capacity."""

from collections.abc import Iterable

from arbutuscleat.jobs.task import WorkerIncarnation
from arbutuscleat.wire.gen_jobs.ttypes import StepRecord, WorkerRecord

from .reservation import Reservation
from .wait_reason import WaitReason


class WorkerView:
    """Free capacity and condition of one worker while a plan is made.

    Parameters
    ----------
    record : WorkerRecord
        The worker's registration.
    usable : bool
        Whether new runs may be scheduled on the worker.
    grade : int
        0 for a healthy worker. Workers with a higher grade are only chosen if no
        worker with a lower grade accepts the task.

    Attributes
    ----------
    cpu : int
        Free CPU in thousandths of a core.
    mem_mb : int
        Free memory in MB.
    gpu : int
        Free accelerators.
    long_running_cpu, long_running_mem_mb, long_running_gpu : int
        What long-running tasks use of each.
    rack : str
        The worker's rack; empty if unknown.
    counts : dict
        Number of tasks on the worker by job, occurrence and step.
    max_new_runs : int or None
        Number of further runs that may be scheduled; None for any number.
    admits_long_running : bool
        Whether `max_new_runs` does not apply to long-running tasks.
    reservation : Reservation or None
        Capacity that is kept for tasks that wait for it.
    rejects_starts : bool
        Whether the worker has rejected several starts in a row just now.
    isolated_for : str
        The only job whose finite tasks may start on the worker; empty if any may.
    keeps_out_long_running : bool
        Whether this applies to long-running tasks too.
    crashed_runs : dict of str to int
        Number of runs of tasks under which workers have crashed, by job.
    unusable_because : WaitReason
        Why new runs may not be scheduled on a worker that is not usable.
    is_silent : bool
        Whether the holder of the worker's session reports that it does not answer.
    """

    __slots__ = (
        "record",
        "usable",
        "grade",
        "cpu",
        "mem_mb",
        "gpu",
        "long_running_cpu",
        "long_running_mem_mb",
        "long_running_gpu",
        "rack",
        "counts",
        "max_new_runs",
        "admits_long_running",
        "reservation",
        "rejects_starts",
        "isolated_for",
        "keeps_out_long_running",
        "crashed_runs",
        "unusable_because",
        "is_silent",
    )

    def __init__(self, record: WorkerRecord, usable: bool, grade: int):
        self.record = record
        self.usable = usable
        self.grade = grade
        self.cpu: int = record.cpu
        self.mem_mb: int = record.mem_mb
        self.gpu: int = record.gpu
        self.long_running_cpu = 0
        self.long_running_mem_mb = 0
        self.long_running_gpu = 0
        self.rack = rack_of(record.labels or ())
        self.counts: dict[tuple[str, int, int], int] = {}
        self.max_new_runs: int | None = None
        self.admits_long_running = False
        self.reservation: Reservation | None = None
        self.rejects_starts = False
        self.isolated_for = ""
        self.keeps_out_long_running = False
        self.crashed_runs: dict[str, int] = {}
        self.unusable_because = WaitReason.UNRESPONSIVE
        self.is_silent = False

    @property
    def incarnation(self) -> WorkerIncarnation:
        """The worker's incarnation: its id and start time."""
        return (self.record.worker_id, self.record.born_ms)

    def accepts(self, step: StepRecord, group: tuple[str, int, int]) -> bool:
        """Return whether one more task of `step` may be scheduled on the worker."""
        return self.limit(step, group) is None

    def limit(self, step: StepRecord, group: tuple[str, int, int]) -> WaitReason | None:
        """Return what prevents one more task of `step`; None if nothing does.

        Parameters
        ----------
        step : StepRecord
            The step.
        group : tuple of str, int and int
            The task's job, occurrence and step.
        """
        if not self.usable:
            return self.unusable_because
        if step.required_label and step.required_label not in self.record.labels:
            return WaitReason.LABEL
        if step.spread_limit and self.counts.get(group, 0) >= step.spread_limit:
            return WaitReason.SPREAD_LIMIT
        if not self._admits(step):
            return WaitReason.CIRCUIT_BREAKER
        if step.gpu > self.gpu:
            return WaitReason.ACCELERATORS
        if step.mem_mb > self.mem_mb:
            return WaitReason.MEMORY
        if not step.fills and step.cpu > self.cpu:
            return WaitReason.CPU
        if self.reservation is not None and not self.reservation.permits(step, group):
            return WaitReason.RESERVED
        if self.isolated_for and group[0] != self.isolated_for:
            if self.keeps_out_long_running or not step.long_running:
                return WaitReason.ISOLATED
        return None

    def isolate(self, job_id: str, keeps_out_long_running: bool) -> None:
        """Start no further tasks of other jobs, or only long-running ones."""
        self.isolated_for = job_id
        self.keeps_out_long_running = keeps_out_long_running

    def crashed_beside(self, job_id: str) -> int:
        """Return how many runs of other jobs have crashed workers before."""
        return sum(self.crashed_runs.values()) - self.crashed_runs.get(job_id, 0)

    def fits_if_idle(self, step: StepRecord) -> bool:
        """Return whether the worker could run a task of `step` if it was idle."""
        return self._fits(step, self.record.cpu, self.record.mem_mb, self.record.gpu)

    def will_accept(self, step: StepRecord, group: tuple[str, int, int]) -> bool:
        """Return whether a task will be accepted once all finite runs have ended.

        Long-running tasks keep their capacity and count for the spread limit.

        Parameters
        ----------
        step : StepRecord
            The step.
        group : tuple of str, int and int
            The task's job, occurrence and step.
        """
        if step.spread_limit and self.counts.get(group, 0) >= step.spread_limit:
            return False
        return self.fits_beside_long_running(step)

    def fits_beside_long_running(self, step: StepRecord) -> bool:
        """Return whether a task of `step` fits once all finite runs have ended."""
        return self._fits(
            step,
            self.record.cpu - self.long_running_cpu,
            self.record.mem_mb - self.long_running_mem_mb,
            self.record.gpu - self.long_running_gpu,
        )

    def fitting(
        self,
        step: StepRecord,
        group: tuple[str, int, int],
        cpu: int,
        mem_mb: int,
        gpu: int,
    ) -> int:
        """Return how many more tasks of `step` the given capacity is enough for.

        Parameters
        ----------
        step : StepRecord
            The step.
        group : tuple of str, int and int
            The task's job, occurrence and step.
        cpu, mem_mb, gpu : int
            Free CPU in thousandths of a core, memory in MB and accelerators.
        """
        if not self.usable or not self._fits(step, cpu, mem_mb, gpu):
            return 0
        limits = [step.count]
        if not step.fills and step.cpu:
            limits.append(cpu // step.cpu)
        if step.mem_mb:
            limits.append(mem_mb // step.mem_mb)
        if step.gpu:
            limits.append(gpu // step.gpu)
        if step.spread_limit:
            limits.append(step.spread_limit - self.counts.get(group, 0))
        if self.max_new_runs is not None and not self._is_exempt(step):
            limits.append(self.max_new_runs)
        return max(0, min(limits))

    def _fits(self, step: StepRecord, cpu: int, mem_mb: int, gpu: int) -> bool:
        return (
            self._admits(step)
            and (not step.required_label or step.required_label in self.record.labels)
            and (step.fills or step.cpu <= cpu)
            and step.mem_mb <= mem_mb
            and step.gpu <= gpu
        )

    def _admits(self, step: StepRecord) -> bool:
        """Return whether the circuit breaker permits one more run of `step`."""
        if self.max_new_runs is None or self.max_new_runs > 0:
            return True
        return self._is_exempt(step)

    def _is_exempt(self, step: StepRecord) -> bool:
        """Return whether `max_new_runs` does not apply to `step`."""
        return bool(step.long_running) and self.admits_long_running

    def reserve(self, step: StepRecord, group: tuple[str, int, int]) -> None:
        """Take the capacity for one more task of `step`, which runs or will start.

        Parameters
        ----------
        step : StepRecord
            The step.
        group : tuple of str, int and int
            The task's job, occurrence and step.
        """
        self._take(step, 1)
        self.counts[group] = self.counts.get(group, 0) + 1

    def release(self, step: StepRecord, group: tuple[str, int, int]) -> None:
        """Undo `reserve`."""
        self._take(step, -1)
        self.counts[group] -= 1

    def _take(self, step: StepRecord, tasks: int) -> None:
        cpu = 0 if step.fills else tasks * step.cpu
        self.cpu -= cpu
        self.mem_mb -= tasks * step.mem_mb
        self.gpu -= tasks * step.gpu
        if step.long_running:
            self.long_running_cpu += cpu
            self.long_running_mem_mb += tasks * step.mem_mb
            self.long_running_gpu += tasks * step.gpu
        if self.max_new_runs is not None:
            self.max_new_runs -= tasks
        if self.reservation is not None:
            self.reservation.take(step, tasks)


def rack_of(labels: Iterable[str]) -> str:
    """Return the rack among a worker's labels; empty if there is none.

    A worker's labels are its kind and its rack, in this order.
    """
    found = list(labels)
    return found[-1] if len(found) > 1 else ""
