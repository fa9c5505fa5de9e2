"""Worker conditions: what the sessions know about their workers.

The leader schedules runs on workers whose sessions other control instances hold. Those
report the condition of each worker when it changes, and the leader reads it in the same
way as that of a worker with a session of its own.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from arbutuscleat.jobs import TaskKey
from arbutuscleat.jobs.task import WorkerIncarnation
from arbutuscleat.wire.gen_jobs.ttypes import WorkerConditionRecord

from .worker_client import RunningTask

READY_PERCENT = 100
"""Progress reported by a long-running task that has finished starting up."""

NO_LIMIT = -1
"""Value of `max_new_runs` in a report of a worker without a limit."""


class WorkerCondition(ABC):
    """Condition of one incarnation of a worker.

    Attributes
    ----------
    incarnation : WorkerIncarnation
        The worker's id and start time.
    running : tuple of RunningTask
        The tasks that the worker has listed; a report names the long-running ones only.
    """

    incarnation: WorkerIncarnation
    running: tuple[RunningTask, ...]

    @abstractmethod
    def is_usable(self) -> bool:
        """Return whether new runs may be scheduled on the worker."""

    @abstractmethod
    def is_responsive(self) -> bool:
        """Return whether the worker answered the latest hold."""

    def is_known(self) -> bool:
        """Return whether a session reports the condition; false while none does."""
        return True

    @abstractmethod
    def rejects_starts(self) -> bool:
        """Return whether the worker has rejected several starts in a row just now."""

    @abstractmethod
    def grade(self) -> int:
        """Return the number of consecutive failed runs, or 3 if no run starts."""

    @abstractmethod
    def max_new_runs(self, running: int) -> int | None:
        """Return how many runs may be scheduled on the worker; None for any number.

        Parameters
        ----------
        running : int
            Number of runs on the worker that end by themselves.
        """

    @abstractmethod
    def accepts_long_running(self) -> bool:
        """Return whether the circuit breaker admits long-running tasks."""

    @abstractmethod
    def pending(self) -> set[TaskKey]:
        """Return the tasks with an order that is queued or being sent."""


@dataclass(frozen=True, slots=True)
class ReportedCondition(WorkerCondition):
    """Condition of a worker, as reported by the holder of its session.

    Parameters
    ----------
    incarnation : WorkerIncarnation
        The worker's id and start time.
    running : tuple of RunningTask
        The long-running tasks that the worker lists.
    record : WorkerConditionRecord or None
        The report; None if there is none.
    """

    incarnation: WorkerIncarnation
    running: tuple[RunningTask, ...] = ()
    record: WorkerConditionRecord | None = None

    @classmethod
    def of(cls, record: WorkerConditionRecord) -> "ReportedCondition":
        """Return the condition in a report."""
        running = tuple(
            RunningTask(
                key=TaskKey.of(item.run),
                number=item.run.number,
                percent=READY_PERCENT if item.ready else 0,
                load=0,
            )
            for item in record.long_running
        )
        return cls((record.worker_id, record.born_ms), running, record)

    def is_usable(self) -> bool:
        """Return whether new runs may be scheduled on the worker."""
        return self.record is not None and self.record.usable

    def is_responsive(self) -> bool:
        """Return whether the worker answered the latest hold."""
        return self.record is not None and self.record.responsive

    def is_known(self) -> bool:
        """Return whether the holder of the worker's session has reported."""
        return self.record is not None

    def rejects_starts(self) -> bool:
        """Return whether the worker has rejected several starts in a row just now."""
        return self.record is not None and self.record.rejects_starts

    def grade(self) -> int:
        """Return the number of consecutive failed runs, or 3 if no run starts."""
        return 0 if self.record is None else self.record.grade

    def max_new_runs(self, running: int) -> int | None:
        """Return how many runs may be scheduled on the worker; None for any number."""
        if self.record is None or self.record.max_new_runs == NO_LIMIT:
            return None
        return max(0, self.record.max_new_runs - running)

    def accepts_long_running(self) -> bool:
        """Return whether the circuit breaker admits long-running tasks."""
        return self.record is None or self.record.accepts_long_running

    def pending(self) -> set[TaskKey]:
        """Return nothing: a task with a pending order is reported as not ready."""
        return set()
