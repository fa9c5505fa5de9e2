"""Failed tasks: since when each task whose latest run failed has been waiting.

The times are those at which this leader's planner first saw the task, on its own
monotonic clock: the time of an end in the log was read from the time of day of another
leader, and either may be stepped. A new leader counts anew.

A long-running task has any number of attempts. If it fails again soon after each start,
its restarts are delayed, because each one costs log entries and calls.
"""

from dataclasses import dataclass

from arbutuscleat.jobs import JobTable, TaskKey, TaskState, TaskStatus

PRUNE_SECONDS = 10.0
"""Interval at which tasks that are no longer needed are discarded."""

SHORT_RUN_SECONDS = 5.0
"""A run that lasts this long ends a row of short runs."""

FIRST_RESTART_DELAY_SECONDS = 0.1
"""Delay of a restart after a short run; doubled after each further one."""

MAX_RESTART_DELAY_SECONDS = 1.5
"""Longest delay of a restart. It is short because a long-running task has a value only
while it runs, and its worker may have recovered."""


@dataclass(slots=True)
class _FailedTask:
    """A task whose latest run failed.

    Parameters
    ----------
    number : int
        Number of the failed run.
    since : float
        Monotonic time in seconds at which the task was first seen waiting.
    short_runs : int
        Number of short runs in a row before; the first failed run does not count.
    started_at : float or None
        Monotonic time in seconds of the next start; None before.
    """

    number: int
    since: float
    short_runs: int = 0
    started_at: float | None = None

    def restart_delay(self) -> float:
        """Return the seconds between the failure and the restart."""
        if not self.short_runs:
            return 0.0
        delay = FIRST_RESTART_DELAY_SECONDS * 2.0 ** min(self.short_runs - 1, 16)
        return min(delay, MAX_RESTART_DELAY_SECONDS)

    def is_recent(self, now: float) -> bool:
        """Return whether the task was started less than `SHORT_RUN_SECONDS` ago."""
        return self.started_at is not None and now - self.started_at < SHORT_RUN_SECONDS


class FailedTasks:
    """Tasks whose latest run failed; not thread-safe."""

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
        return now - self._observe(task, now).since

    def may_restart(self, task: TaskState, now: float) -> bool:
        """Return whether the delay of a long-running task's restart is over.

        Parameters
        ----------
        task : TaskState
            A waiting task whose latest run failed.
        now : float
            Monotonic time in seconds.
        """
        seen = self._observe(task, now)
        return now - seen.since >= seen.restart_delay()

    def record_start(self, key: TaskKey, now: float) -> None:
        """Record that a task is started, at monotonic time `now` in seconds."""
        seen = self._tasks.get(key)
        if seen is not None:
            seen.started_at = now

    def prune(self, table: JobTable, now: float) -> None:
        """Discard tasks that neither wait nor were started lately, if this is due.

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
            key: seen
            for key, seen in self._tasks.items()
            if _is_waiting(table, key) or seen.is_recent(now)
        }

    def _observe(self, task: TaskState, now: float) -> _FailedTask:
        seen = self._tasks.get(task.key)
        if seen is None or seen.number != task.number:
            short_runs = 0
            if seen is not None and seen.is_recent(now):
                short_runs = seen.short_runs + 1
            seen = _FailedTask(task.number, now, short_runs)
            self._tasks[task.key] = seen
        return seen


def _is_waiting(table: JobTable, key: TaskKey) -> bool:
    job = table.active.get(key.job_id)
    task = None if job is None else job.task(key)
    return task is not None and task.status is TaskStatus.WAITING
