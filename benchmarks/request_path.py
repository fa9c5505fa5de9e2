"""Requests through one entry instance, compared with direct calls of the endpoint.

Targets: at least half of the direct rate at eight connections, a median latency of at
most 2.5 times the direct one, and at most 128 MB of memory for each daemon after 10,000
requests.  A bare relay with the same libraries gives the lower bound.  Rounds alternate
between the three paths, so that changes of the machine's speed affect all of them.
"""

import argparse
import statistics
import subprocess
import sys
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from urllib.parse import urlsplit

from arbutuscleat.emulator import LOOPBACK, EndpointPlan, FleetPlan, LocalFleet

from .fleets import running_fleet, set_pool, start_endpoints
from .load import LoadResult, run_load
from .processes import cpu_seconds, resident_mb

PLAN = FleetPlan(data_centres=("karachi",), entries_per_data_centre=1, controls=1)
ENDPOINT = EndpointPlan(
    "worker-1", "karachi", "portal", labels=["tier=portal"], slots=64
)
MEMORY_REQUESTS = 10_000


@contextmanager
def bare_relay(endpoint_url: str) -> Iterator[str]:
    """Run the bare relay for the duration of a ``with`` block and yield its URL."""
    port = str(urlsplit(endpoint_url).port)
    command = [sys.executable, "-m", "benchmarks.bare_relay", port]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        try:
            assert process.stdout is not None
            yield f"http://{LOOPBACK}:{int(process.stdout.readline().split()[1])}/x"
        finally:
            process.kill()


def compare(
    paths: dict[str, str], connections: int, rounds: int, seconds: float
) -> int:
    """Measure each path in turn and print the ratios.

    Parameters
    ----------
    paths : dict of str to str
        URL by name of the path: "direct", "relay" and "through".
    connections, rounds : int
        Number of connections, and of load runs on each path.
    seconds : float
        Duration of one load run.

    Returns
    -------
    int
        Number of requests that the entry instance served.
    """
    results: dict[str, list[LoadResult]] = {name: [] for name in paths}
    for _ in range(rounds):
        for name, url in paths.items():
            results[name].append(run_load(url, connections, seconds))
    for name, found in results.items():
        print(
            f"connections {connections}: {name:7} "
            f"{statistics.median(r.rate for r in found):.0f}/s, "
            f"p50 {statistics.median(r.p50_ms for r in found):.2f} ms, "
            f"p99 {statistics.median(r.p99_ms for r in found):.2f} ms, "
            f"failures {sum(r.failures for r in found)}"
        )
    for base in ("direct", "relay"):
        _print_ratios(connections, base, results[base], results["through"])
    return sum(result.requests for result in results["through"])


def _print_ratios(
    connections: int,
    base: str,
    baseline: Sequence[LoadResult],
    through: Sequence[LoadResult],
) -> None:
    rate = statistics.median(t.rate / b.rate for b, t in zip(baseline, through))
    p50 = statistics.median(t.p50_ms / b.p50_ms for b, t in zip(baseline, through))
    print(
        f"connections {connections}: through / {base}: rate {rate:.2f}, p50 {p50:.2f} "
        "(medians of pairs)"
    )


def print_memory(fleet: LocalFleet, served: int) -> None:
    """Print the memory of each daemon."""
    for name, process in fleet.processes.items():
        memory = resident_mb(process.popen.pid)
        print(f"memory after {served} requests: {name} {memory:.0f} MB")


def main() -> int:
    """Run the benchmark and print its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=3.0)
    options = parser.parse_args()
    with running_fleet(PLAN, "request-path") as fleet:
        set_pool(fleet, "portal", "bench-portal")
        endpoint = start_endpoints(fleet, [ENDPOINT])[0]
        entry_url = fleet.entries("karachi")[0] + "/v1/services/portal/x"
        pid = fleet.processes["entry-karachi-1"].popen.pid
        before = cpu_seconds(pid)
        with bare_relay(endpoint) as relay:
            paths = {"direct": endpoint + "/x", "relay": relay, "through": entry_url}
            served = 0
            for connections in (1, 8):
                served += compare(paths, connections, options.rounds, options.seconds)
        spent = (cpu_seconds(pid) - before) / served
        print(f"processor time of the entry instance: {spent * 1e6:.0f} us a request")
        while served < MEMORY_REQUESTS:
            served += run_load(entry_url, 8, options.seconds).requests
        print_memory(fleet, served)
    return 0


if __name__ == "__main__":
    sys.exit(main())
