"""From the accepted answer of a change to its being in force everywhere.

Target: under 1 s on loopback.  Each round changes one label set, then asks every
entry instance until it shows the new version.
"""

import argparse
import json
import statistics
import sys
import time

from arbutuscleat.emulator import FleetPlan, LocalFleet

from .fleets import OPERATOR_HEADERS, running_fleet

PLAN = FleetPlan(
    data_centres=("karachi", "qasim", "gwadar", "sonmiani"),
    entries_per_data_centre=2,
    controls=3,
)


def change_labels(fleet: LocalFleet, number: int, expected: int) -> tuple[float, int]:
    """Propose one change; return the seconds to its answer and its version."""
    url = next(iter(fleet.http_urls.values()))
    body = {
        "kind": "labels",
        "expected_version": expected,
        "content": {"target": "service", "name": "bench", "labels": {"n": str(number)}},
    }
    started = time.monotonic()
    response = fleet.request(
        "PUT",
        f"{url}/v1/changes/rollout-{number}",
        OPERATOR_HEADERS,
        json.dumps(body).encode(),
    )
    return time.monotonic() - started, response.json()["version"]


def wait_in_force(fleet: LocalFleet, version: int) -> float:
    """Return the seconds until every entry instance shows `version`."""
    started = time.monotonic()
    for name, url in fleet.http_urls.items():
        if name.startswith("control"):
            continue
        while True:
            target = f"{url}/v1/labels/service/bench"
            reply = fleet.request("GET", target, OPERATOR_HEADERS)
            if reply.status == 200 and reply.json()["version"] >= version:
                break
    return time.monotonic() - started


def _print_times(what: str, times: list[float]) -> None:
    print(f"{what} p50 {statistics.median(times):.1f} ms, max {max(times):.1f} ms")


def main() -> int:
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=50)
    options = parser.parse_args()
    accepted = []
    in_force = []
    with running_fleet(PLAN, "change-rollout") as fleet:
        version = 0
        for number in range(options.changes):
            seconds, version = change_labels(fleet, number, version)
            accepted.append(seconds * 1000)
            in_force.append(wait_in_force(fleet, version) * 1000)
    print(f"{options.changes} changes, 8 entry instances, target 1000 ms")
    _print_times("accepted after", accepted)
    _print_times("in force everywhere another", in_force)
    return 0


if __name__ == "__main__":
    sys.exit(main())
