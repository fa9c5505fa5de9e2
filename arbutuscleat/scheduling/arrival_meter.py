"""How much work has arrived lately, by service."""

from collections import Counter, deque


class ArrivalMeter:
    """Work accepted within the rates of teams, over the last window.

    Parameters
    ----------
    window : float
        Length of the window in seconds. Until it has passed once, the work counts as
        spread over all of it.
    """

    def __init__(self, window: float):
        self._window = window
        self._arrivals: deque[tuple[float, str, int]] = deque()
        self._sums: Counter[str] = Counter()

    def record(self, service_name: str, cpu_ms: int, now: float) -> None:
        """Record work of a service, in thousandths of a core times milliseconds."""
        self._expire(now)
        self._arrivals.append((now, service_name, cpu_ms))
        self._sums[service_name] += cpu_ms

    def cpu(self, service_name: str, now: float) -> float:
        """Return the CPU that a service needs to keep up, in thousandths of a core."""
        self._expire(now)
        return self._sums[service_name] / (1000.0 * self._window)

    def _expire(self, now: float) -> None:
        while self._arrivals and now - self._arrivals[0][0] >= self._window:
            _, service_name, cpu_ms = self._arrivals.popleft()
            self._sums[service_name] -= cpu_ms
            if not self._sums[service_name]:
                del self._sums[service_name]
