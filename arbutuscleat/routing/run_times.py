"""Run times as measured; the declared ones are far off."""

import threading

SMOOTHING = 0.1
FIRST_ESTIMATE_SECONDS = 0.05


class RunTimes:
    """A moving mean of the run time of each service."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._means: dict[str, float] = {}

    def observe(self, service: str, seconds: float) -> None:
        """Take the run time of one finished request into the mean."""
        with self._lock:
            mean = self._means.get(service, seconds)
            self._means[service] = mean + SMOOTHING * (seconds - mean)

    def mean(self, service: str) -> float:
        """Return the mean run time in seconds."""
        return self._means.get(service, FIRST_ESTIMATE_SECONDS)
