"""Network traffic and CPU time of daemons: idle, and for each kind of request."""

import time
from pathlib import Path

from arbutuscleat.emulator import ENDPOINT_TOKEN, EndpointPlan, FleetPlan, LocalFleet

from ..consensus import sequential_seconds
from ..fleets import put_change, running_fleet, set_pool, start_endpoints
from ..load import run_load
from ..processes import cpu_seconds, resident_mb
from .slope import print_slope

IDLE_SECONDS = 10.0
SETTLE_SECONDS = 4.0
GROUP_SIZES = (3, 5, 9)
ENTRY_COUNTS = (1, 4, 8)
TARGET_GROUP = 9
TARGET_ENTRIES = 9 * 24
CHANGES = 200
SEQUENTIAL_CLAIMS = 2_000


def loopback_bytes() -> int:
    """Return the bytes sent over loopback since boot, headers included."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, fields = line.partition(":")
        if name.strip() == "lo":
            return int(fields.split()[8])
    return 0


def idle_cost(fleet: LocalFleet, names: list[str]) -> tuple[float, dict[str, float]]:
    """Return loopback bytes per second, and the share of a core per process."""
    time.sleep(SETTLE_SECONDS)
    pids = {name: fleet.processes[name].popen.pid for name in names}
    before = {name: cpu_seconds(pid) for name, pid in pids.items()}
    sent = loopback_bytes()
    time.sleep(IDLE_SECONDS)
    rate = (loopback_bytes() - sent) / IDLE_SECONDS
    shares = {
        n: (cpu_seconds(pid) - before[n]) / IDLE_SECONDS for n, pid in pids.items()
    }
    return rate, shares


def report_group() -> None:
    """Print the idle cost of the control group by its size."""
    traffic, leader, follower = [], [], []
    for size in GROUP_SIZES:
        plan = FleetPlan(("karachi",), entries_per_data_centre=0, controls=size)
        with running_fleet(plan, "capacity-group") as fleet:
            rate, shares = idle_cost(fleet, list(fleet.processes))
        ordered = sorted(shares.values())
        traffic.append((size - 1, rate / 1024))
        leader.append((size - 1, ordered[-1] * 100))
        follower.append((size - 1, ordered[0] * 100))
    print_slope(
        "idle group, whole traffic, by peers", "KB/s", traffic, TARGET_GROUP - 1
    )
    print_slope("idle leader, by peers", "% of a core", leader, TARGET_GROUP - 1)
    print_slope("idle follower, by peers", "% of a core", follower, TARGET_GROUP - 1)


def report_subscriptions() -> None:
    """Print the cost of configuration subscriptions by number of entry instances."""
    traffic, control, changes, sent, memory = [], [], [], [], []
    for count in ENTRY_COUNTS:
        data_centres = tuple(f"dc-{number}" for number in range(count))
        plan = FleetPlan(data_centres, entries_per_data_centre=1, controls=1)
        with running_fleet(plan, "capacity-subscriptions") as fleet:
            rate, shares = idle_cost(fleet, ["control-1"])
            traffic.append((count, rate / 1024))
            control.append((count, shares["control-1"] * 100))
            spent, size = change_cost(fleet)
            changes.append((count, spent * 1000))
            sent.append((count, size / 1024))
            pid = fleet.processes["entry-dc-0-1"].popen.pid
            memory.append((count, resident_mb(pid)))
    print_slope(
        "idle subscriptions, traffic, by entries", "KB/s", traffic, TARGET_ENTRIES
    )
    print_slope("idle subscriptions at control", "% of a core", control, TARGET_ENTRIES)
    print_slope(
        "one change at control, by entries", "ms of a core", changes, TARGET_ENTRIES
    )
    print_slope("one change, whole traffic, by entries", "KB", sent, TARGET_ENTRIES)
    print_slope("memory of an entry instance, by entries", "MB", memory, TARGET_ENTRIES)


def change_cost(fleet: LocalFleet) -> tuple[float, float]:
    """Return the CPU seconds of control and the bytes sent for one change."""
    pid = fleet.processes["control-1"].popen.pid
    started, sent = cpu_seconds(pid), loopback_bytes()
    for number in range(CHANGES):
        content = {"target": "service", "name": f"s{number}", "labels": {"a": "b"}}
        put_change(fleet, f"capacity-{number}", {"kind": "labels", "content": content})
    time.sleep(0.5)
    spent = cpu_seconds(pid) - started
    return spent / CHANGES, (loopback_bytes() - sent) / CHANGES


def report_requests() -> None:
    """Print the cost of a refused announcement and of a request without a key."""
    plan = FleetPlan(("karachi",), entries_per_data_centre=1, controls=1)
    with running_fleet(plan, "capacity-requests") as fleet:
        set_pool(fleet, "portal", "capacity-portal")
        worker = EndpointPlan("worker-1", "karachi", "portal", labels=["tier=portal"])
        start_endpoints(fleet, [worker])
        url = fleet.entries("karachi")[0]
        headers = {"Authorization": f"Bearer {ENDPOINT_TOKEN}"}
        _report_load(fleet, "refused announcement", f"{url}/v1/announcements", headers)
        target = f"{url}/v1/services/portal/x"
        _report_load(fleet, "request without a key", target, {})


def report_claim_requests() -> None:
    """Print the cost of making a claim in a control group of five."""
    plan = FleetPlan(("karachi",), entries_per_data_centre=0, controls=5)
    with running_fleet(plan, "capacity-claims") as fleet:
        addresses = {node["node_id"]: node["port"] for node in fleet.control_nodes}
        sequential_seconds(addresses, 50)
        names = list(fleet.processes)
        before = {n: cpu_seconds(fleet.processes[n].popen.pid) for n in names}
        sent = loopback_bytes()
        sequential_seconds(addresses, SEQUENTIAL_CLAIMS)
        size = (loopback_bytes() - sent) / SEQUENTIAL_CLAIMS
        spent = sorted(
            (cpu_seconds(fleet.processes[n].popen.pid) - before[n]) / SEQUENTIAL_CLAIMS
            for n in names
        )
        print(
            f"one claim: leader {spent[-1] * 1e6:.0f} us of a core, follower "
            f"{spent[0] * 1e6:.0f} us, whole traffic {size:.0f} bytes"
        )


def _report_load(fleet: LocalFleet, what: str, url: str, headers: dict) -> None:
    pids = {n: fleet.processes[n].popen.pid for n in ("control-1", "entry-karachi-1")}
    before = {name: cpu_seconds(pid) for name, pid in pids.items()}
    result = run_load(url, 4, 4.0, "POST", headers)
    for name, pid in pids.items():
        spent = (cpu_seconds(pid) - before[name]) / result.requests
        print(
            f"{what} at {name}: {spent * 1e6:.0f} us of a core, p50 {result.p50_ms} ms"
        )
