"""The state of one job: its tasks by occurrence and step."""

from collections.abc import Iterator
from enum import Enum

from arbutuscleat.wire.gen_jobs.ttypes import (
    JobImage,
    JobRecord,
    OccurrenceImage,
    StepRecord,
    TaskImage,
)

from .task import TaskKey, TaskState, TaskStatus


class JobPhase(Enum):
    """What a caller is told about a job."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class JobState:
    """One accepted job.

    Parameters
    ----------
    record : JobRecord
        The job as it was accepted.
    """

    __slots__ = (
        "record",
        "cancelled",
        "failed",
        "started",
        "ended_at_ms",
        "_occurrences",
        "_undone",
    )

    def __init__(self, record: JobRecord):
        self.record = record
        self.cancelled = False
        self.failed = False
        self.started = False
        self.ended_at_ms = 0
        self._occurrences: dict[int, list[list[TaskState]]] = {}
        self._undone: dict[int, list[int]] = {}

    @property
    def job_id(self) -> str:
        """The id that the caller chose."""
        return self.record.job_id

    @property
    def steps(self) -> list[StepRecord]:
        """The steps in order."""
        return self.record.steps

    def occurrence_count(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.record.repeat_count)

    def due_at_ms(self, occurrence: int) -> int:
        """Return the Unix millisecond before which nothing starts."""
        if not self.record.repeat_count:
            return self.record.accepted_at_ms
        return self.record.start_at_ms + occurrence * self.record.interval_ms

    def tasks(self, occurrence: int, step: int) -> list[TaskState]:
        """Return the tasks of a step, made when they are first asked for."""
        return self._steps_of(occurrence)[step]

    def task(self, key: TaskKey) -> TaskState | None:
        """Return one task, or None when the job has no such task."""
        if not 0 <= key.occurrence < self.occurrence_count():
            return None
        if not 0 <= key.step < len(self.steps):
            return None
        if not 0 <= key.task_index < self.steps[key.step].count:
            return None
        return self.tasks(key.occurrence, key.step)[key.task_index]

    def all_tasks(self) -> Iterator[TaskState]:
        """Return the tasks of all occurrences that have been looked at."""
        for steps in self._occurrences.values():
            for tasks in steps:
                yield from tasks

    def mark_done(self, task: TaskState) -> None:
        """Note that a task has ended as done."""
        if task.status is not TaskStatus.DONE:
            task.status = TaskStatus.DONE
            self._undone[task.key.occurrence][task.key.step] -= 1

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step have ended as done."""
        self._steps_of(occurrence)
        return self._undone[occurrence][step] == 0

    def is_ready(self, occurrence: int, step: int) -> bool:
        """Return whether the steps that come before have ended as done."""
        after = self.steps[step].after or ()
        return all(self.is_step_done(occurrence, earlier) for earlier in after)

    def is_occurrence_done(self, occurrence: int) -> bool:
        """Return whether one occurrence is complete."""
        if occurrence not in self._occurrences:
            return False
        return not any(self._undone[occurrence])

    def is_complete(self) -> bool:
        """Return whether every task of every occurrence has ended as done."""
        return all(self.is_occurrence_done(k) for k in range(self.occurrence_count()))

    def has_long_running_step(self) -> bool:
        """Return whether any step runs until the job is cancelled."""
        return any(step.long_running for step in self.steps)

    def is_over(self) -> bool:
        """Return whether nothing of the job may start any more."""
        return self.cancelled or self.failed or self.ended_at_ms > 0

    def phase(self) -> JobPhase:
        """Return what a caller is told."""
        if self.cancelled:
            return JobPhase.CANCELLED
        if self.failed:
            return JobPhase.FAILED
        if self.is_complete():
            return JobPhase.COMPLETED
        return JobPhase.ACTIVE if self.started else JobPhase.QUEUED

    def to_image(self) -> JobImage:
        """Return the image for a snapshot."""
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
        )

    @classmethod
    def from_image(cls, image: JobImage) -> "JobState":
        """Return the job that an image holds."""
        job = cls(image.job)
        job.cancelled = image.cancelled
        job.failed = image.failed
        job.ended_at_ms = image.ended_at_ms
        for part in image.occurrences:
            for step, images in enumerate(part.steps):
                for index, item in enumerate(images):
                    task = job.tasks(part.occurrence, step)[index]
                    task.number = item.number
                    task.failures = item.failures
                    task.incarnation = (item.worker_id, item.born_ms)
                    task.checkpoint = item.checkpoint
                    task.status = TaskStatus(item.status)
                    if task.status is TaskStatus.DONE:
                        job._undone[part.occurrence][step] -= 1
                    job.started = job.started or item.number > 0
        return job

    def _steps_of(self, occurrence: int) -> list[list[TaskState]]:
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
            self._undone[occurrence] = [len(tasks) for tasks in steps]
        return steps


def _task_image(task: TaskState) -> TaskImage:
    return TaskImage(
        status=int(task.status),
        number=task.number,
        failures=task.failures,
        worker_id=task.incarnation[0],
        born_ms=task.incarnation[1],
        checkpoint=task.checkpoint,
    )
