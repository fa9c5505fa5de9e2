"""Tasks: the smallest pieces of a job, each run by one worker at a time.

A run of a task is logged before it is ordered.  From then on the task counts as
running until an end of that very run is logged, so nothing can run twice.
"""

from enum import IntEnum
from typing import NamedTuple

from arbutuscleat.wire.gen_jobs.ttypes import RunRecord

WorkerIncarnation = tuple[str, int]
"""A worker's id and the Unix millisecond of its start."""

NO_WORKER: WorkerIncarnation = ("", 0)


class TaskKey(NamedTuple):
    """Names one task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    task_index: int

    @classmethod
    def of(cls, run: RunRecord) -> "TaskKey":
        """Return the task of a run."""
        return cls(run.job_id, run.occurrence, run.step, run.index)

    def run_record(self, number: int, incarnation: WorkerIncarnation) -> RunRecord:
        """Return the record of a run of this task."""
        return RunRecord(
            job_id=self.job_id,
            occurrence=self.occurrence,
            step=self.step,
            index=self.task_index,
            number=number,
            worker_id=incarnation[0],
            born_ms=incarnation[1],
        )

    def __str__(self) -> str:
        """Return the parts joined by dots, as logs show them."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.task_index}"


class TaskStatus(IntEnum):
    """Where a task stands."""

    WAITING = 0
    RUNNING = 1
    DONE = 2


class TaskState:
    """What the log has decided about one task.

    Attributes
    ----------
    key : TaskKey
        Which task it is.
    status : TaskStatus
        Where it stands.
    number : int
        The highest run number given out; 0 before the first.
    failures : int
        Runs that ended as failed.
    incarnation : WorkerIncarnation
        Where the latest run was ordered.
    checkpoint : str
        What the next run resumes from; empty for the start.
    """

    __slots__ = ("key", "status", "number", "failures", "incarnation", "checkpoint")

    def __init__(self, key: TaskKey):
        self.key = key
        self.status = TaskStatus.WAITING
        self.number = 0
        self.failures = 0
        self.incarnation = NO_WORKER
        self.checkpoint = ""
