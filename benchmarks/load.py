"""A load generator for one URL, with one client process for each connection."""

import multiprocessing
import time
from dataclasses import dataclass
from http.client import HTTPConnection
from urllib.parse import urlsplit

from hdrh.histogram import HdrHistogram

HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True)
class LoadResult:
    """Results of a load run.

    Parameters
    ----------
    requests, failures : int
        Number of requests, and of those with a status other than 200.
    seconds : float
        Duration of the run.
    p50_ms, p99_ms : float
        Percentiles of the latency in milliseconds.
    """

    requests: int
    failures: int
    seconds: float
    p50_ms: float
    p99_ms: float

    @property
    def rate(self) -> float:
        """Requests per second."""
        return self.requests / self.seconds


def run_load(
    url: str,
    connections: int,
    seconds: float,
    method: str = "GET",
    headers: dict[str, str] | None = None,
) -> LoadResult:
    """Send requests one after the other on each connection.

    Parameters
    ----------
    url : str
        Target of the requests.
    connections : int
        Number of connections, each in a process of its own.
    seconds : float
        Duration of the run.
    method : str
        HTTP method.
    headers : dict of str to str, optional
        Headers of every request.

    Returns
    -------
    LoadResult
        Results over all connections.
    """
    context = multiprocessing.get_context("spawn")
    with context.Pool(connections) as pool:
        arguments = [(url, seconds, method, headers or {})] * connections
        parts = pool.starmap(_run_connection, arguments)
    histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
    for encoded, _, _ in parts:
        histogram.decode_and_add(encoded)
    return LoadResult(
        requests=histogram.get_total_count(),
        failures=sum(failures for _, failures, _ in parts),
        seconds=max(elapsed for _, _, elapsed in parts),
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
    )


def _run_connection(
    url: str, seconds: float, method: str, headers: dict[str, str]
) -> tuple[bytes, int, float]:
    parts = urlsplit(url)
    assert parts.hostname is not None
    connection = HTTPConnection(parts.hostname, parts.port, timeout=30)
    histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
    failures = 0
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        before = time.perf_counter()
        connection.request(method, parts.path, headers=headers)
        response = connection.getresponse()
        response.read()
        histogram.record_value(max(1, int((time.perf_counter() - before) * 1e6)))
        failures += response.status != 200
    return histogram.encode(), failures, time.monotonic() - started
