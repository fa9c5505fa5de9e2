"""Latency, throughput and failover time of the replicated log.

The baseline, printed as "floor", is one synced write plus one call, measured in the
same run.  Targets: a claim made while nothing else is written takes at most 3 times
the floor; 64 concurrent writers commit at least 20 times as many claims per second as
one; a killed leader is replaced in under 3 s.
"""

import argparse
import multiprocessing
import statistics
import sys
import threading
import time
import uuid
from pathlib import Path

from returns.result import Success

from arbutuscleat.consensus import FolderDisk
from arbutuscleat.core import SystemClock
from arbutuscleat.emulator import LOOPBACK, FleetPlan, LocalFleet
from arbutuscleat.emulator.local_fleet import SHARED_KEY
from arbutuscleat.membership import ControlClient
from arbutuscleat.wire import Address, Channel, ChannelPool, Credentials
from arbutuscleat.wire.gen import Control
from arbutuscleat.wire.gen.ttypes import BeginClaim, Command, StatusRequest

from .fleets import FOLDER, running_fleet

CREDENTIALS = Credentials("loopback", SHARED_KEY, "benchmark", "1")
SYNCED_BYTES = 200
PROCESSES = 8
THREADS = 8
KILLS = 5


def make_client(addresses: dict[str, int]) -> ControlClient:
    """Return a client of the control instances at the given loopback ports."""
    channels = {
        name: ChannelPool(Control.Client, Address(LOOPBACK, port), CREDENTIALS)
        for name, port in addresses.items()
    }
    return ControlClient(channels, SystemClock())


def make_claim() -> Command:
    """Return a command that claims a unique key."""
    name = uuid.uuid4().hex
    return Command(begin_claim=BeginClaim(name, "d" * 64, "e", "1", name))


def floor_seconds(addresses: dict[str, int], rounds: int) -> float:
    """Return the median time of one synced write plus one call, in seconds."""
    disk = FolderDisk(FOLDER / "floor")
    channel = Channel(
        Control.Client, Address(LOOPBACK, addresses["control-1"]), CREDENTIALS
    )
    times = []
    for _ in range(rounds):
        started = time.perf_counter()
        disk.append("floor", b"x" * SYNCED_BYTES)
        channel.call("status", StatusRequest(change_id=""), 5.0)
        times.append(time.perf_counter() - started)
    return statistics.median(times)


def sequential_seconds(addresses: dict[str, int], rounds: int) -> list[float]:
    """Return the latencies of claims made one after the other, in seconds."""
    control = make_client(addresses)
    times = []
    for _ in range(rounds):
        started = time.perf_counter()
        assert isinstance(control.propose(make_claim(), 5.0), Success)
        times.append(time.perf_counter() - started)
    return times


def write_for(addresses: dict[str, int], seconds: float) -> int:
    """Make claims from several threads; return how many were committed."""
    control = make_client(addresses)
    counts = [0] * THREADS
    end = time.monotonic() + seconds

    def work(number: int) -> None:
        while time.monotonic() < end:
            counts[number] += isinstance(control.propose(make_claim(), 5.0), Success)

    threads = [threading.Thread(target=work, args=(n,)) for n in range(THREADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(counts)


def concurrent_rate(addresses: dict[str, int], seconds: float) -> float:
    """Return the claims per second of 64 writers in 8 processes."""
    context = multiprocessing.get_context("spawn")
    with context.Pool(PROCESSES) as pool:
        arguments = [(addresses, seconds)] * PROCESSES
        return sum(pool.starmap(write_for, arguments)) / seconds


def election_seconds(fleet: LocalFleet, addresses: dict[str, int]) -> list[float]:
    """Kill the leader repeatedly; return how long each time no claim was committed."""
    times = []
    for _ in range(KILLS):
        leader = _leader(fleet)
        control = make_client({n: p for n, p in addresses.items() if n != leader})
        fleet.processes.pop(leader).kill()
        started = time.monotonic()
        while not isinstance(control.propose(make_claim(), 0.5), Success):
            pass
        times.append(time.monotonic() - started)
        fleet.start_daemon(leader)
        fleet.wait_healthy(leader)
        time.sleep(1.0)
    return times


def _leader(fleet: LocalFleet) -> str:
    found: list[str] = []

    def find() -> bool:
        for name, url in fleet.http_urls.items():
            text = fleet.request("GET", f"{url}/v1/metrics", {}).data.decode()
            if "\nleads 1\n" in f"\n{text}":
                found.append(name)
                return True
        return False

    fleet.wait_for(find, "a leader")
    return found[0]


def print_data_folder(fleet: LocalFleet) -> None:
    """Print the files in the data folder of one control instance and their sizes."""
    for path in sorted((Path(fleet.folder) / "data" / "control-1").iterdir()):
        print(f"data folder of control-1: {path.name} {path.stat().st_size} bytes")


def main() -> int:
    """Run the benchmark and print its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--controls", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=5.0)
    options = parser.parse_args()
    plan = FleetPlan(("karachi",), entries_per_data_centre=0, controls=options.controls)
    with running_fleet(plan, "consensus") as fleet:
        addresses = {node["node_id"]: node["port"] for node in fleet.control_nodes}
        sequential_seconds(addresses, 50)
        floors, latencies = [], []
        for _ in range(5):
            floors.append(floor_seconds(addresses, 100))
            latencies.append(statistics.median(sequential_seconds(addresses, 100)))
        ratio = statistics.median(one / base for one, base in zip(latencies, floors))
        floor, latency = statistics.median(floors), statistics.median(latencies)
        print(
            f"{options.controls} voters: floor {floor * 1000:.2f} ms, sequential claim "
            f"{latency * 1000:.2f} ms, ratio {ratio:.2f} (median of pairs; target 3)"
        )
        rate = concurrent_rate(addresses, options.seconds)
        print(
            f"64 writers {rate:.0f} claims/s, {rate * latency:.1f} times the "
            "sequential rate (target 20)"
        )
        times = election_seconds(fleet, addresses)
        print(
            f"leader killed {KILLS} times: no commit for "
            f"{min(times):.2f} to {max(times):.2f} s, median "
            f"{statistics.median(times):.2f} s (target 3 s)"
        )
        print_data_folder(fleet)
    return 0


if __name__ == "__main__":
    sys.exit(main())
