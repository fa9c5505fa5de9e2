"""Worker views: what the planner knows about one worker at one moment."""

from collections.abc import Iterable

from arbutuscleat.jobs.task import WorkerIncarnation
from arbutuscleat.wire.gen_jobs.ttypes import StepRecord, WorkerRecord


class WorkerView:
    """Room and condition of one worker while a plan is made.

    Parameters
    ----------
    record : WorkerRecord
        What the worker says of itself.
    usable : bool
        Whether anything new may start on it.
    grade : int
        0 for a worker in good order; a higher one is used after all lower ones.
    """

    __slots__ = ("record", "usable", "grade", "cpu", "mem_mb", "gpu", "rack", "counts")

    def __init__(self, record: WorkerRecord, usable: bool, grade: int):
        self.record = record
        self.usable = usable
        self.grade = grade
        self.cpu: int = record.cpu
        self.mem_mb: int = record.mem_mb
        self.gpu: int = record.gpu
        self.rack = rack_of(record.labels or ())
        self.counts: dict[tuple[str, int, int], int] = {}
        """Tasks here by job, occurrence and step."""

    @property
    def incarnation(self) -> WorkerIncarnation:
        """The worker's id and start."""
        return (self.record.worker_id, self.record.born_ms)

    def fits(self, step: StepRecord) -> bool:
        """Return whether one more task of `step` fits."""
        return (
            (step.fills or step.cpu <= self.cpu)
            and step.mem_mb <= self.mem_mb
            and step.gpu <= self.gpu
        )

    def accepts(self, step: StepRecord, group: tuple[str, int, int]) -> bool:
        """Return whether one more task of `step` may stand here and fits."""
        if step.required_label and step.required_label not in self.record.labels:
            return False
        if step.spread_limit and self.counts.get(group, 0) >= step.spread_limit:
            return False
        return self.fits(step)

    def take(self, step: StepRecord, group: tuple[str, int, int]) -> None:
        """Count one more task of `step`."""
        if not step.fills:
            self.cpu -= step.cpu
        self.mem_mb -= step.mem_mb
        self.gpu -= step.gpu
        self.counts[group] = self.counts.get(group, 0) + 1

    def give_back(self, step: StepRecord, group: tuple[str, int, int]) -> None:
        """Undo `take`."""
        if not step.fills:
            self.cpu += step.cpu
        self.mem_mb += step.mem_mb
        self.gpu += step.gpu
        self.counts[group] -= 1


def rack_of(labels: Iterable[str]) -> str:
    """Return the rack among a worker's labels: the last one that names a place.

    A worker's labels are its kind and its rack, in this order.
    """
    found = list(labels)
    return found[-1] if len(found) > 1 else ""
