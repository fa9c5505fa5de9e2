"""Metrics: counters, gauges and latency histograms of one process."""

import threading
from collections.abc import Callable, Mapping

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Counters, gauges and histograms by name and labels."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._collectors: list[Callable[[], Mapping[str, float]]] = []
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, **labels: str) -> None:
        """Add one to a counter."""
        key = _key(name, labels)
        with self._lock:
            self._counters[key] = self._counters.get(key, 0) + 1

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge that is read when the metrics are shown."""
        with self._lock:
            self._gauges[name] = read

    def collect(self, read: Callable[[], Mapping[str, float]]) -> None:
        """Register a function that returns gauges, labels included, when shown."""
        with self._lock:
            self._collectors.append(read)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration."""
        key = _key(name, labels)
        microseconds = min(max(1, int(seconds * 1e6)), HIGHEST_MICROSECONDS)
        with self._lock:
            histogram = self._histograms.get(key)
            if histogram is None:
                histogram = HdrHistogram(
                    LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
                )
                self._histograms[key] = histogram
            histogram.record_value(microseconds)

    def counter(self, name: str, **labels: str) -> int:
        """Return the value of a counter."""
        with self._lock:
            return self._counters.get(_key(name, labels), 0)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        with self._lock:
            lines = [f"{key} {value}" for key, value in sorted(self._counters.items())]
            for key, histogram in sorted(self._histograms.items()):
                lines.extend(_summary(key, histogram))
            gauges = list(self._gauges.items())
            collectors = list(self._collectors)
        for read_all in collectors:
            lines.extend(f"{key} {value:g}" for key, value in read_all().items())
        lines.extend(f"{name} {read():g}" for name, read in sorted(gauges))
        return "\n".join(lines) + "\n"


def labelled(name: str, **labels: str) -> str:
    """Return a metric's name with its labels, as it is shown."""
    return _key(name, labels)


def _key(name: str, labels: dict[str, str]) -> str:
    if not labels:
        return name
    inner = ",".join(f'{key}="{value}"' for key, value in sorted(labels.items()))
    return f"{name}{{{inner}}}"


def _summary(key: str, histogram: HdrHistogram) -> list[str]:
    name, _, rest = key.partition("{")
    inner = rest.removesuffix("}")
    lines = []
    for quantile in QUANTILES:
        labels = f'quantile="{quantile / 100:g}"' + (f",{inner}" if inner else "")
        seconds = histogram.get_value_at_percentile(quantile) / 1e6
        lines.append(f"{name}_seconds{{{labels}}} {seconds:g}")
    suffix = f"{{{inner}}}" if inner else ""
    lines.append(f"{name}_seconds_count{suffix} {histogram.get_total_count()}")
    return lines
