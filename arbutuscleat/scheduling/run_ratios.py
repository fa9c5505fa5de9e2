"""Run ratios: how long runs take, compared with the estimates of their steps.

Estimates are rough, and some tasks take many times as long as others of their kind. So
the ratio of run time to estimate is kept for each kind of task, in a bounded history
whose median a few long runs do not change. Runs far from their data are a kind of their
own. A worker whose runs take longer than is usual for their kinds is slow; a task that
takes long on a worker that is not is a long task.
"""

from collections import deque
from collections.abc import Hashable
from statistics import median

HISTORY = 64
"""Number of runs of each kind that count: enough for a median, few enough that it
follows a change within some seconds of a busy queue."""

MIN_RUNS = 8
"""Number of runs of a kind below which nothing is expected of the next one."""

MAX_KINDS = 512
"""Number of kinds above which the one first seen is forgotten."""

WORKER_WEIGHT = 0.3
"""Weight of the latest run in the average of a worker: some three runs decide."""

MAX_RELATIVE = 3.0
"""Limit of what one run counts in that average, so that a single long task does not
make a worker slow."""

SLOW_WORKER = 1.7
"""Average from which on a worker is slow. Estimates alone, which may be off by half,
lead to less in an average over some runs."""

MAX_WORKERS = 16_384
"""Number of workers above which all averages start anew; more than two generations of
the largest fleet."""


class RunRatios:
    """Ratios of run times to estimates; not thread-safe."""

    def __init__(self) -> None:
        self._by_kind: dict[Hashable, deque[float]] = {}
        self._medians: dict[Hashable, float] = {}
        self._workers: dict[str, float] = {}

    def record(
        self, kind: Hashable, worker_id: str, seconds: float, estimate: float
    ) -> None:
        """Record a run that was done.

        Parameters
        ----------
        kind : hashable
            The kind of its task.
        worker_id : str
            The worker that it ran on.
        seconds : float
            How long it took.
        estimate : float
            The estimate of its step in seconds.
        """
        if estimate <= 0.0:
            return
        ratio = seconds / estimate
        usual = self.usual(kind)
        if usual:
            relative = min(MAX_RELATIVE, ratio / usual)
            former = self._workers.get(worker_id, 1.0)
            if len(self._workers) >= MAX_WORKERS:
                self._workers.clear()
            self._workers[worker_id] = former + WORKER_WEIGHT * (relative - former)
        history = self._by_kind.get(kind)
        if history is None:
            if len(self._by_kind) >= MAX_KINDS:
                oldest = next(iter(self._by_kind))
                del self._by_kind[oldest]
                self._medians.pop(oldest, None)
            history = self._by_kind[kind] = deque(maxlen=HISTORY)
        history.append(ratio)
        self._medians.pop(kind, None)

    def usual(self, kind: Hashable) -> float | None:
        """Return the median ratio of a kind, or None if too few runs are known."""
        history = self._by_kind.get(kind)
        if history is None or len(history) < MIN_RUNS:
            return None
        found = self._medians.get(kind)
        if found is None:
            found = self._medians[kind] = median(history)
        return found

    def slowness(self, worker_id: str) -> float:
        """Return how long the latest runs on a worker took, relative to the usual."""
        return self._workers.get(worker_id, 1.0)

    def is_slow(self, worker_id: str) -> bool:
        """Return whether the latest runs on a worker took longer than is usual."""
        return self.slowness(worker_id) >= SLOW_WORKER
