"""Leader load: where the leader's time goes, as latency histograms and log lines.

The leader does the work of the whole fleet in one process. If it falls behind, callers
see late starts although workers and machines are free. The durations recorded here
show which of its loops is behind, and the wake-up delay of a loop that does little
shows whether the process is saturated.
"""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from absl import logging

from arbutuscleat.core import Clock
from arbutuscleat.metrics import Metrics

LOG_SECONDS = 2.0
"""Interval between log lines."""


class LeaderLoad:
    """Records durations by operation; thread-safe.

    Parameters
    ----------
    clock : Clock
        Source of time.
    metrics : Metrics, optional
        Registry that serves the histograms `leader_seconds{operation}`.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics | None = None,
    ):
        self._clock = clock
        self._metrics = Metrics() if metrics is None else metrics
        self._lock = threading.Lock()
        self._durations: dict[str, list[float]] = {}
        self._since = clock.monotonic()

    def observe(self, operation: str, seconds: float) -> None:
        """Record the duration of one operation in seconds."""
        self._metrics.observe("leader", seconds, operation=operation)
        with self._lock:
            self._durations.setdefault(operation, []).append(seconds)

    @contextmanager
    def timed(self, operation: str) -> Iterator[None]:
        """Record the duration of the block."""
        started_at = self._clock.monotonic()
        try:
            yield
        finally:
            self.observe(operation, self._clock.monotonic() - started_at)

    def log_if_due(self) -> None:
        """Log the durations since the last line once the interval has passed."""
        now = self._clock.monotonic()
        elapsed = now - self._since
        if elapsed < LOG_SECONDS:
            return
        with self._lock:
            durations, self._durations = self._durations, {}
        self._since = now
        parts = [_summary(name, found) for name, found in sorted(durations.items())]
        logging.info("leader load: %s", "; ".join(parts))


def _summary(operation: str, seconds: list[float]) -> str:
    """Return count, median and maximum, in milliseconds."""
    ordered = sorted(seconds)
    median = 1000 * ordered[len(ordered) // 2]
    return f"{operation} {len(ordered)} x {median:.1f} ms, max {1000 * ordered[-1]:.0f}"
