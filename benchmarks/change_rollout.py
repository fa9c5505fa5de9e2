"""Time from the acceptance of a change until it is in force everywhere.

Targets: under 1 s on loopback if all processes are healthy; under 4 s at the remaining
entry instances if one is frozen and another was killed.  Each round changes one label
set and then polls every entry instance until it places requests by the new version.
"""

import argparse
import json
import signal
import statistics
import sys
import time

from arbutuscleat.emulator import FleetPlan, LocalFleet

from .fleets import OPERATOR_HEADERS, running_fleet

PLAN = FleetPlan(
    data_centres=("karachi", "qasim", "gwadar"),
    entries_per_data_centre=3,
    controls=3,
)


def change_labels(fleet: LocalFleet, number: int, expected: int) -> tuple[float, int]:
    """Propose a change of labels.

    Parameters
    ----------
    fleet : LocalFleet
        The running fleet.
    number : int
        Unique number of the change.
    expected : int
        Version of the label set that the change expects.

    Returns
    -------
    tuple of float and int
        Seconds until the change was accepted, and its version.
    """
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


def wait_in_force(fleet: LocalFleet, version: int, without: set[str]) -> float:
    """Return the seconds until every entry instance places requests by `version`.

    Entry instances in `without` are not waited for.
    """
    started = time.monotonic()
    for name, url in fleet.http_urls.items():
        if name.startswith("control") or name in without:
            continue
        while _version_in_force(fleet, url) < version:
            pass
    return time.monotonic() - started


def _version_in_force(fleet: LocalFleet, url: str) -> float:
    text = fleet.request("GET", f"{url}/v1/metrics", {}).data.decode()
    lines = dict(line.rsplit(" ", 1) for line in text.splitlines())
    return float(lines["version_in_force"])


def measure(
    fleet: LocalFleet, changes: int, version: int, without: set[str]
) -> tuple[list[float], list[float], int]:
    """Make changes one after the other and time them.

    Parameters
    ----------
    fleet : LocalFleet
        The running fleet.
    changes : int
        Number of changes.
    version : int
        Version of the label set before the first change.
    without : set of str
        Entry instances that are not waited for.

    Returns
    -------
    tuple of list, list and int
        For each change the time until it was accepted and the further time until it
        was in force, in milliseconds; and the version of the last change.
    """
    accepted = []
    in_force = []
    for _ in range(changes):
        seconds, version = change_labels(fleet, version, version)
        accepted.append(seconds * 1000)
        in_force.append(wait_in_force(fleet, version, without) * 1000)
    return accepted, in_force, version


def _print_times(what: str, times: list[float]) -> None:
    print(f"{what} p50 {statistics.median(times):.1f} ms, max {max(times):.1f} ms")


def main() -> int:
    """Run the benchmark and print its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=50)
    options = parser.parse_args()
    with running_fleet(PLAN, "change-rollout") as fleet:
        accepted, in_force, version = measure(fleet, options.changes, 0, set())
        print(f"{options.changes} changes, 9 entry instances, all healthy")
        _print_times("accepted after", accepted)
        _print_times("in force everywhere another", in_force)
        frozen, killed = "entry-karachi-1", "entry-qasim-1"
        process = fleet.processes[frozen].popen
        process.send_signal(signal.SIGSTOP)
        fleet.processes.pop(killed).kill()
        accepted, in_force, _ = measure(fleet, 5, version, {frozen, killed})
        process.send_signal(signal.SIGCONT)
        print("5 changes right after one instance was frozen and one was killed")
        _print_times("accepted after", accepted)
        _print_times("in force at the others another", in_force)
    return 0


if __name__ == "__main__":
    sys.exit(main())
