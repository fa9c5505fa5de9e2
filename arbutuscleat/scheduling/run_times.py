"""Run times: for how long the runs in the job table have been running.

The log does not hold the times of starts. The planner records those of its own runs;
runs of a former leader count from the moment at which this one first needs their time.
"""

from arbutuscleat.jobs import JobTable, TaskKey

PRUNE_SECONDS = 10.0
"""Interval at which the times of ended runs are discarded."""


class RunTimes:
    """Start times of runs; not thread-safe."""

    def __init__(self) -> None:
        self._started: dict[tuple[TaskKey, int], float] = {}
        self._pruned_at = 0.0

    def record_start(self, key: TaskKey, number: int, now: float) -> None:
        """Record that run `number` of a task starts, at monotonic time `now`."""
        self._started[key, number] = now

    def elapsed(self, key: TaskKey, number: int, now: float) -> float:
        """Return for how many seconds a run has been running.

        Parameters
        ----------
        key : TaskKey
            The task.
        number : int
            Number of the run.
        now : float
            Monotonic time in seconds.
        """
        return now - self._started.setdefault((key, number), now)

    def known(self, key: TaskKey, number: int, now: float) -> float | None:
        """Return for how many seconds a run has been running; None if not known."""
        started = self._started.get((key, number))
        return None if started is None else now - started

    def prune(self, table: JobTable, now: float) -> None:
        """Discard the times of ended runs, if this is due.

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
        current = {
            (key, task.number)
            for runs in table.runs.values()
            for key, task in runs.items()
        }
        self._started = {k: at for k, at in self._started.items() if k in current}
