"""Metrics of one process: counters, gauges and latency histograms.

A metric is identified by its name and labels.  All metrics are rendered together in
the Prometheus text format.
"""

import threading
from collections.abc import Callable, Mapping

from hdrh.histogram import HdrHistogram

MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """A thread-safe registry of counters, gauges and latency histograms."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._collectors: list[Callable[[], Mapping[str, float]]] = []
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, **labels: str) -> None:
        """Increment a counter by one."""
        key = _labelled_name(name, labels)
        with self._lock:
            self._counters[key] = self._counters.get(key, 0) + 1

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a function that returns the value of a gauge when rendering."""
        with self._lock:
            self._gauges[name] = read

    def collect(self, read: Callable[[], Mapping[str, float]]) -> None:
        """Register a function that returns gauges by labelled name when rendering."""
        with self._lock:
            self._collectors.append(read)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in seconds, clamped to the range of the histogram."""
        key = _labelled_name(name, labels)
        microseconds = min(max(1, int(seconds * 1e6)), MAX_MICROSECONDS)
        with self._lock:
            histogram = self._histograms.get(key)
            if histogram is None:
                histogram = HdrHistogram(
                    MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS
                )
                self._histograms[key] = histogram
            histogram.record_value(microseconds)

    def counter(self, name: str, **labels: str) -> int:
        """Return the current value of a counter; 0 if it was never incremented."""
        with self._lock:
            return self._counters.get(_labelled_name(name, labels), 0)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        with self._lock:
            lines = [f"{key} {value}" for key, value in sorted(self._counters.items())]
            for key, histogram in sorted(self._histograms.items()):
                lines.extend(_render_histogram(key, histogram))
            gauges = list(self._gauges.items())
            collectors = list(self._collectors)
        for read_gauges in collectors:
            lines.extend(f"{key} {value:g}" for key, value in read_gauges().items())
        lines.extend(f"{name} {read():g}" for name, read in sorted(gauges))
        return "\n".join(lines) + "\n"


def labelled(name: str, **labels: str) -> str:
    """Return the name of a metric with its labels, as in the rendered text."""
    return _labelled_name(name, labels)


def _labelled_name(name: str, labels: dict[str, str]) -> str:
    if not labels:
        return name
    inner = ",".join(f'{key}="{value}"' for key, value in sorted(labels.items()))
    return f"{name}{{{inner}}}"


def _render_histogram(key: str, histogram: HdrHistogram) -> list[str]:
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
