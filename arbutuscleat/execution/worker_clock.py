"""Estimates of a worker's clock, on which leases are measured."""

from arbutuscleat.core import Clock


class WorkerClock:
    """What a worker's steady clock shows, from its answers.

    The estimate is never ahead of the worker's clock when its clock runs true.

    Parameters
    ----------
    clock : Clock
        Our own clock.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._worker_ms = 0
        self._seen_at = 0.0

    def update(self, clock_ms: int) -> None:
        """Take the reading that an answer carried."""
        if clock_ms:
            self._worker_ms = clock_ms
            self._seen_at = self._clock.monotonic()

    def is_known(self) -> bool:
        """Return whether there was a reading yet."""
        return self._worker_ms > 0

    def after_ms(self, seconds: float) -> int:
        """Return the worker's time `seconds` from now."""
        passed = self._clock.monotonic() - self._seen_at
        return int(self._worker_ms + 1000.0 * (passed + seconds))
