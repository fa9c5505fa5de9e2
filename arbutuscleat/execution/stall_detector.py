"""Stall detection: find tasks that make no progress on a responsive worker.

The tasks of a worker can hang while the worker still answers every call, so a lease
does not detect them. Tasks that end by themselves report their progress. A task whose
progress stays the same over several observations and for several seconds is stopped,
so that it is rescheduled on another worker.
"""

from collections.abc import Iterable

from arbutuscleat.jobs import TaskKey

from .worker_client import UNKNOWN_PROGRESS, RunningTask

STALL_SECONDS = 2.0
"""Minimum time without progress after which a task counts as stalled. Three times as
long as reading a checkpoint takes, during which a task makes no progress."""

STALL_FRACTION = 0.05
"""The same for a long task, as a fraction of its estimated duration. It corresponds to
five steps of the progress in percent."""

MIN_OBSERVATIONS = 3
"""Number of observations without progress that is needed as well, so that a pause of
this process is not mistaken for a stall."""

FULL_PERCENT = 100


class StallDetector:
    """Tracks the progress of the tasks of one worker."""

    def __init__(self) -> None:
        self._seen: dict[tuple[TaskKey, int], tuple[int, float, int]] = {}

    def find_stalled(
        self, running: Iterable[tuple[RunningTask, int]], now: float
    ) -> list[tuple[TaskKey, int]]:
        """Return the runs that have stalled.

        Parameters
        ----------
        running : iterable of RunningTask and int
            The runs that should make progress, as listed by the worker, with their
            estimated durations in milliseconds.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of tuple of TaskKey and int
            The task and run number of each stalled run.
        """
        found = []
        seen = {}
        for task, estimate_ms in running:
            if task.percent == UNKNOWN_PROGRESS:
                continue
            run = (task.key, task.number)
            percent, since, observations = self._seen.get(run, (-1, now, 0))
            if task.percent != percent:
                percent, since, observations = task.percent, now, 0
            seen[run] = (percent, since, observations + 1)
            limit = max(STALL_SECONDS, STALL_FRACTION * estimate_ms / 1000.0)
            is_stalled = observations + 1 >= MIN_OBSERVATIONS and now - since >= limit
            if is_stalled and percent < FULL_PERCENT:
                found.append(run)
        self._seen = seen
        return found
