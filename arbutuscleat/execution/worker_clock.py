"""Estimation of a worker's clock, against which leases are measured."""

from arbutuscleat.core import Clock


class WorkerClock:
    """Estimates a worker's monotonic clock from the readings in its responses.

    The estimate is never ahead of the worker's clock, even if that clock runs slow.

    Parameters
    ----------
    clock : Clock
        The local clock.
    drift : float
        Maximum fraction by which the worker's clock may run slow.
    """

    def __init__(self, clock: Clock, drift: float):
        self._clock = clock
        self._drift = drift
        self._worker_ms = 0
        self._seen_at = 0.0

    def update(self, clock_ms: int) -> None:
        """Update the estimate with a reading from a response; 0 means no reading."""
        if clock_ms:
            self._worker_ms = clock_ms
            self._seen_at = self._clock.monotonic()

    def is_known(self) -> bool:
        """Return whether a reading has been received."""
        return self._worker_ms > 0

    def after_ms(self, seconds: float) -> int:
        """Return the worker's clock `seconds` from now, in milliseconds."""
        passed = (self._clock.monotonic() - self._seen_at) * (1.0 - self._drift)
        return int(self._worker_ms + 1000.0 * (passed + seconds))
