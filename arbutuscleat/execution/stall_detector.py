"""Stall watches: tasks that stand still on a worker that answers.

It answers workers whose tasks hang while all their calls are answered.  A task that
ends by itself shows progress; one that has shown the same for several looks and seconds
is stopped, so that it starts elsewhere.
"""

from collections.abc import Iterable

from arbutuscleat.jobs import TaskKey

from .worker_client import RunningTask

STALL_SECONDS = 2.0
"""Without progress, after which a short task counts as standing still: three times the
time that a checkpoint takes to be read, in which there is none."""

STALL_FRACTION = 0.05
"""The same for a long one, as a share of its estimate: five steps of its progress."""

MIN_OBSERVATIONS = 3
"""Looks that must have shown it, so that a pause of our own is no stall."""

FULL_PERCENT = 100


class StallDetector:
    """What the tasks of one worker have shown of their progress."""

    def __init__(self) -> None:
        self._seen: dict[tuple[TaskKey, int], tuple[int, float, int]] = {}

    def find_stalled(
        self, running: Iterable[tuple[RunningTask, int]], now: float
    ) -> list[tuple[TaskKey, int]]:
        """Return the runs that stand still.

        Parameters
        ----------
        running : iterable of RunningTask and int
            The listed runs that should progress, with their estimates in milliseconds.
        now : float
            Monotonic seconds.
        """
        found = []
        seen = {}
        for task, estimate_ms in running:
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
