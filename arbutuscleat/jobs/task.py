"""Tasks: the smallest units of a job, each run by one worker at a time.

The start of a run is committed to the replicated log before it is sent to the worker.
From then on the task counts as running until the end of that run is committed. A task
has one run at a time, unless its step is speculative: then it may have a copy, a second
run on another worker. The first run that is done ends the task.
"""

from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

from arbutuscleat.wire.gen_jobs.ttypes import RunRecord

WorkerIncarnation = tuple[str, int]
"""A worker's id and the Unix millisecond at which its process started.

A restarted worker keeps its id and is a new incarnation.
"""

NO_WORKER: WorkerIncarnation = ("", 0)


class TaskKey(NamedTuple):
    """Identifies one task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    task_index: int

    @classmethod
    def of(cls, run: RunRecord) -> "TaskKey":
        """Return the key of the task that a run belongs to."""
        return cls(run.job_id, run.occurrence, run.step, run.index)

    def run_record(self, number: int, incarnation: WorkerIncarnation) -> RunRecord:
        """Return the record of run `number` of this task on the given incarnation."""
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
        """Return the fields joined by dots, as written in logs."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.task_index}"


class TaskStatus(IntEnum):
    """Status of a task."""

    WAITING = 0
    RUNNING = 1
    DONE = 2


class TaskCopy:
    """The copy beside a task's run, with the attributes that a run has in `TaskState`.

    Parameters
    ----------
    key : TaskKey
        Identifies the task.
    number : int
        Number of the run.
    incarnation : WorkerIncarnation
        The worker incarnation that the run is assigned to.
    inherited : bool, default=False
        Whether it was assigned to a former incarnation of its worker.
    """

    __slots__ = ("key", "number", "incarnation", "inherited")

    settled = False
    """Copies are made of finite tasks only, and those do not settle."""

    def __init__(
        self,
        key: TaskKey,
        number: int,
        incarnation: WorkerIncarnation,
        inherited: bool = False,
    ):
        self.key = key
        self.number = number
        self.incarnation = incarnation
        self.inherited = inherited


class TaskState:
    """The replicated state of one task, and of its run.

    Attributes
    ----------
    key : TaskKey
        Identifies the task.
    status : TaskStatus
        Current status.
    number : int
        Number of the run; the highest one assigned so far while the task waits, 0
        before the first run.
    last_number : int
        The highest run number assigned so far.
    copy : TaskCopy or None
        The copy beside the run.
    ending : bool
        Whether the task is done and its run may go on, as another one was done first.
    failures : int
        Number of runs that ended with `RunOutcome.FAILED`.
    failed_number : int
        Number of the latest of these runs; 0 if there is none, or if it ended before
        the snapshot that this replica was restored from.
    incarnation : WorkerIncarnation
        The worker incarnation that the latest run was assigned to.
    checkpoint : str
        Checkpoint from which the next run resumes; empty to start afresh.
    crashes : int
        Number of workers that have crashed while they ran the task.
    lone_crashes : int
        Number of them, up to the last, that ran nothing of other jobs but settled runs.
    uncertain_crashes : int
        Number of workers that ended while they were draining and ran the task.
    settled : bool
        Whether the latest run has lasted for so long that it crashes no worker.
    inherited : bool
        Whether the latest run was assigned to a former incarnation of its worker. It is
        in doubt whether the present one runs it.
    """

    __slots__ = (
        "key",
        "status",
        "number",
        "last_number",
        "copy",
        "ending",
        "failures",
        "failed_number",
        "incarnation",
        "checkpoint",
        "crashes",
        "lone_crashes",
        "uncertain_crashes",
        "settled",
        "inherited",
    )

    def __init__(self, key: TaskKey):
        self.key = key
        self.status = TaskStatus.WAITING
        self.number = 0
        self.last_number = 0
        self.copy: TaskCopy | None = None
        self.ending = False
        self.failures = 0
        self.failed_number = 0
        self.incarnation = NO_WORKER
        self.checkpoint = ""
        self.crashes = 0
        self.lone_crashes = 0
        self.uncertain_crashes = 0
        self.settled = False
        self.inherited = False

    def has_run(self) -> bool:
        """Return whether a run of the task may go on."""
        return self.status is TaskStatus.RUNNING or self.ending

    def runs(self) -> "Iterator[TaskRun]":
        """Yield the run of the task and its copy, if it has them."""
        if self.has_run():
            yield self
            if self.copy is not None:
                yield self.copy

    def run(self, number: int) -> "TaskRun | None":
        """Return the run or the copy with a number; None if neither has it."""
        return next((run for run in self.runs() if run.number == number), None)

    def adopt_copy(self) -> None:
        """Make the copy the run of the task, whose own run has ended."""
        if self.copy is not None:
            self.number = self.copy.number
            self.incarnation = self.copy.incarnation
            self.inherited = self.copy.inherited
            self.settled = False
            self.copy = None

    def failed_on(self, worker_id: str) -> bool:
        """Return whether the task has failed and its latest run was on this worker."""
        return self.failures > 0 and self.incarnation[0] == worker_id

    def has_failed_latest_run(self) -> bool:
        """Return whether the latest run is known to have failed."""
        return 0 < self.failed_number == self.number


TaskRun = TaskState | TaskCopy
"""A run of a task: the state of the task, or its copy."""
