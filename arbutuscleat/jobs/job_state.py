"""The state of one job: its tasks by occurrence and step.

A job consists of steps, and each step of one or more tasks that may run in parallel.
A repeating job runs all its steps once per occurrence; any other job has exactly one
occurrence, number 0.
"""

from collections.abc import Iterator
from enum import Enum

from arbutuscleat.wire.gen_jobs.ttypes import (
    CopyImage,
    JobImage,
    JobRecord,
    OccurrenceImage,
    StepRecord,
    TaskImage,
)

from .task import TaskCopy, TaskKey, TaskState, TaskStatus


class JobPhase(Enum):
    """The state of a job as callers see it."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class JobState:
    """One accepted job and the state of its tasks.

    Parameters
    ----------
    record : JobRecord
        The job as it was accepted.

    Attributes
    ----------
    cancelled : bool
        Whether a caller has cancelled the job.
    failed : bool
        Whether a task has used up its attempts, or crashes its workers.
    started : bool
        Whether any task is known to have begun; an order to start one does not count.
    ended_at_ms : int
        Unix millisecond at which the job ended; 0 while it is active.
    """

    __slots__ = (
        "record",
        "cancelled",
        "failed",
        "started",
        "ended_at_ms",
        "_occurrences",
        "_remaining",
    )

    def __init__(self, record: JobRecord):
        self.record = record
        self.cancelled = False
        self.failed = False
        self.started = False
        self.ended_at_ms = 0
        self._occurrences: dict[int, list[list[TaskState]]] = {}
        self._remaining: dict[int, list[int]] = {}
        """Number of tasks that are not done, by occurrence and step."""

    @property
    def job_id(self) -> str:
        """The id chosen by the caller."""
        return self.record.job_id

    @property
    def steps(self) -> list[StepRecord]:
        """The steps, in order of their index."""
        return self.record.steps

    def occurrence_count(self) -> int:
        """Return the number of times that the steps run."""
        return max(1, self.record.repeat_count)

    def due_at_ms(self, occurrence: int) -> int:
        """Return the Unix millisecond before which no task of an occurrence starts."""
        if not self.record.repeat_count:
            return self.record.accepted_at_ms
        return self.record.start_at_ms + occurrence * self.record.interval_ms

    def tasks(self, occurrence: int, step: int) -> list[TaskState]:
        """Return the tasks of a step, creating them on first use."""
        return self._tasks_by_step(occurrence)[step]

    def task(self, key: TaskKey) -> TaskState | None:
        """Return one task, or None if the job has no such task."""
        if not 0 <= key.occurrence < self.occurrence_count():
            return None
        if not 0 <= key.step < len(self.steps):
            return None
        if not 0 <= key.task_index < self.steps[key.step].count:
            return None
        return self.tasks(key.occurrence, key.step)[key.task_index]

    def all_tasks(self) -> Iterator[TaskState]:
        """Yield the tasks of all occurrences that have been accessed so far."""
        for steps in self._occurrences.values():
            for tasks in steps:
                yield from tasks

    def mark_done(self, task: TaskState) -> None:
        """Mark a task as done."""
        if task.status is not TaskStatus.DONE:
            task.status = TaskStatus.DONE
            self._remaining[task.key.occurrence][task.key.step] -= 1

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step are done."""
        self._tasks_by_step(occurrence)
        return self._remaining[occurrence][step] == 0

    def undone_count(self, occurrence: int, step: int) -> int:
        """Return the number of tasks of a step that are not done."""
        self._tasks_by_step(occurrence)
        return self._remaining[occurrence][step]

    def is_ready(self, occurrence: int, step: int) -> bool:
        """Return whether all steps that this step depends on are done."""
        after = self.steps[step].after or ()
        return all(self.is_step_done(occurrence, earlier) for earlier in after)

    def is_occurrence_done(self, occurrence: int) -> bool:
        """Return whether all tasks of an occurrence are done."""
        if occurrence not in self._occurrences:
            return False
        return not any(self._remaining[occurrence])

    def is_complete(self) -> bool:
        """Return whether all tasks of all occurrences are done."""
        return all(self.is_occurrence_done(k) for k in range(self.occurrence_count()))

    def has_long_running_step(self) -> bool:
        """Return whether any step runs until the job is cancelled."""
        return any(step.long_running for step in self.steps)

    def is_over(self) -> bool:
        """Return whether the job has ended, so that none of its tasks may start."""
        return self.cancelled or self.failed or self.ended_at_ms > 0

    def phase(self) -> JobPhase:
        """Return the state of the job as callers see it."""
        if self.cancelled:
            return JobPhase.CANCELLED
        if self.failed:
            return JobPhase.FAILED
        if self.is_complete():
            return JobPhase.COMPLETED
        return JobPhase.ACTIVE if self.started else JobPhase.QUEUED

    def to_image(self) -> JobImage:
        """Return the job in its snapshot format."""
        occurrences = [
            OccurrenceImage(
                occurrence=number,
                steps=[[_task_image(task) for task in tasks] for tasks in steps],
            )
            for number, steps in self._occurrences.items()
        ]
        return JobImage(
            job=self.record,
            cancelled=self.cancelled,
            failed=self.failed,
            ended_at_ms=self.ended_at_ms,
            occurrences=occurrences,
            started=self.started,
        )

    @classmethod
    def from_image(cls, image: JobImage) -> "JobState":
        """Return the job stored in a snapshot."""
        job = cls(image.job)
        job.cancelled = image.cancelled
        job.failed = image.failed
        job.ended_at_ms = image.ended_at_ms
        job.started = bool(image.started)
        for part in image.occurrences:
            for step, images in enumerate(part.steps):
                for index, item in enumerate(images):
                    task = job.tasks(part.occurrence, step)[index]
                    task.number = item.number
                    task.last_number = item.last_number or item.number
                    task.copy = _copy_of(task.key, item)
                    task.ending = bool(item.ending)
                    task.failures = item.failures
                    task.incarnation = (item.worker_id, item.born_ms)
                    task.checkpoint = item.checkpoint
                    task.crashes = item.crashes or 0
                    task.lone_crashes = item.lone_crashes or 0
                    task.uncertain_crashes = item.uncertain_crashes or 0
                    task.settled = bool(item.settled)
                    task.inherited = bool(item.inherited)
                    task.status = TaskStatus(item.status)
                    if task.status is TaskStatus.DONE:
                        job._remaining[part.occurrence][step] -= 1
                    if image.started is None:  # A snapshot of a former version.
                        job.started = job.started or item.number > 0
        return job

    def _tasks_by_step(self, occurrence: int) -> list[list[TaskState]]:
        steps = self._occurrences.get(occurrence)
        if steps is None:
            steps = [
                [
                    TaskState(TaskKey(self.job_id, occurrence, number, index))
                    for index in range(step.count)
                ]
                for number, step in enumerate(self.steps)
            ]
            self._occurrences[occurrence] = steps
            self._remaining[occurrence] = [len(tasks) for tasks in steps]
        return steps


def _task_image(task: TaskState) -> TaskImage:
    return TaskImage(
        status=int(task.status),
        number=task.number,
        failures=task.failures,
        worker_id=task.incarnation[0],
        born_ms=task.incarnation[1],
        checkpoint=task.checkpoint,
        crashes=task.crashes or None,
        lone_crashes=task.lone_crashes or None,
        uncertain_crashes=task.uncertain_crashes or None,
        settled=task.settled or None,
        inherited=task.inherited or None,
        copy=None if task.copy is None else _copy_image(task.copy),
        last_number=task.last_number if task.last_number > task.number else None,
        ending=task.ending or None,
    )


def _copy_image(copy: TaskCopy) -> CopyImage:
    return CopyImage(
        number=copy.number,
        worker_id=copy.incarnation[0],
        born_ms=copy.incarnation[1],
        inherited=copy.inherited or None,
    )


def _copy_of(key: TaskKey, image: TaskImage) -> TaskCopy | None:
    item = image.copy
    if item is None:
        return None
    incarnation = (item.worker_id, item.born_ms)
    return TaskCopy(key, item.number, incarnation, bool(item.inherited))
