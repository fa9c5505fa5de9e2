"""One entry instance against the same stand-in endpoint called directly.

Targets: at least half of the direct rate at eight connections, a median latency
of at most 2.5 times the direct one, at most 128 MB for each daemon after 10,000
requests.  A bare relay with the same libraries and no decisions shows the floor.
Rounds alternate between the three ways, so drift of the machine's speed meets
all.
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
    """Run the relay for the length of a block; give its address."""
    port = str(urlsplit(endpoint_url).port)
    command = [sys.executable, "-m", "benchmarks.bare_relay", port]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        try:
            assert process.stdout is not None
            yield f"http://{LOOPBACK}:{int(process.stdout.readline().split()[1])}/x"
        finally:
            process.kill()


def compare(ways: dict[str, str], connections: int, rounds: int, seconds: float) -> int:
    """Measure each way in turn, print the ratios, return the requests served."""
    results: dict[str, list[LoadResult]] = {name: [] for name in ways}
    for _ in range(rounds):
        for name, url in ways.items():
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
    connections: int, base: str, low: Sequence[LoadResult], high: Sequence[LoadResult]
) -> None:
    rate = statistics.median(h.rate / b.rate for b, h in zip(low, high))
    p50 = statistics.median(h.p50_ms / b.p50_ms for b, h in zip(low, high))
    print(
        f"connections {connections}: through / {base}: rate {rate:.2f}, p50 {p50:.2f} "
        "(medians of pairs)"
    )


def report_memory(fleet: LocalFleet, served: int) -> None:
    """Print the memory of each daemon and the entry's time per request."""
    for name, process in fleet.processes.items():
        memory = resident_mb(process.popen.pid)
        print(f"memory after {served} requests: {name} {memory:.0f} MB")


def main() -> int:
    """Run the benchmark and print its table."""
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
            ways = {"direct": endpoint + "/x", "relay": relay, "through": entry_url}
            served = 0
            for connections in (1, 8):
                served += compare(ways, connections, options.rounds, options.seconds)
        spent = (cpu_seconds(pid) - before) / served
        print(f"processor time of the entry instance: {spent * 1e6:.0f} us a request")
        while served < MEMORY_REQUESTS:
            served += run_load(entry_url, 8, options.seconds).requests
        report_memory(fleet, served)
    return 0


if __name__ == "__main__":
    sys.exit(main())
