"""Measured run times of services.

Admission predicts waiting times from them.  The declared run times are not used
because they differ a lot from the real ones.
"""

import threading

SMOOTHING = 0.1
"""Weight of the newest run time in the moving average."""

INITIAL_ESTIMATE_SECONDS = 0.05
"""Assumed run time of a service before its first request has finished."""


class RunTimes:
    """An exponential moving average of the run time of each service."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._means: dict[str, float] = {}

    def observe(self, service: str, seconds: float) -> None:
        """Add the run time of one finished request to the average."""
        with self._lock:
            mean = self._means.get(service, seconds)
            self._means[service] = mean + SMOOTHING * (seconds - mean)

    def mean(self, service: str) -> float:
        """Return the average run time of a service in seconds."""
        return self._means.get(service, INITIAL_ESTIMATE_SECONDS)
