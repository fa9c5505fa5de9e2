"""Failed tasks: since when each task whose latest run failed has been waiting.

The times are those at which this leader's planner first saw the task, on its own
monotonic clock: the time of an end in the log was read from the time of day of another
leader, and either may be stepped. A new leader counts anew.
"""

from dataclasses import dataclass

from arbutuscleat.jobs import JobTable, TaskKey, TaskState, TaskStatus

PRUNE_SECONDS = 10.0
"""Interval at which tasks that are no longer needed are discarded."""


@dataclass(slots=True)
class _FailedTask:
    number: int
    since: float


class FailedTasks:
    """Waiting tasks whose latest run failed; not thread-safe."""

    def __init__(self) -> None:
        self._tasks: dict[TaskKey, _FailedTask] = {}
        self._pruned_at = 0.0

    def seconds_waited(self, task: TaskState, now: float) -> float:
        """Return for how long a task has been waiting since its failed run.

        Parameters
        ----------
        task : TaskState
            A waiting task whose latest run failed.
        now : float
            Monotonic time in seconds.
        """
        seen = self._tasks.get(task.key)
        if seen is None or seen.number != task.number:
            seen = _FailedTask(task.number, now)
            self._tasks[task.key] = seen
        return now - seen.since

    def prune(self, table: JobTable, now: float) -> None:
        """Discard tasks that no longer wait, if this is due.

        Parameters
        ----------
        table : JobTable
            The job table; the caller holds its lock.
        now : float
            Monotonic time in seconds.
        """
        if now - self._pruned_at < PRUNE_SECONDS:
            return
        self._pruned_at = now
        self._tasks = {
            key: seen for key, seen in self._tasks.items() if _is_needed(table, key)
        }


def _is_needed(table: JobTable, key: TaskKey) -> bool:
    job = table.active.get(key.job_id)
    task = None if job is None else job.task(key)
    return task is not None and task.status is TaskStatus.WAITING
