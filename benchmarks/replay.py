"""Restart time of a replica after 10,000 changes, with and without snapshots."""

import argparse
import random
import shutil
import sys
import time

from arbutuscleat.consensus import (
    FolderDisk,
    Replica,
    ReplicaConfig,
    initialise,
    open_identity,
)
from arbutuscleat.core import SystemClock
from arbutuscleat.state import ControlStateMachine
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen.ttypes import Change, Command, ConfigObject, LabelsRecord

from .fleets import FOLDER


def command(number: int) -> bytes:
    """Return the change with a number: it sets the labels of one of 500 services."""
    record = LabelsRecord(
        kind="service", name=f"service-{number % 500}", labels={"n": str(number)}
    )
    expected = max(0, number - 499) if number >= 500 else 0
    content = ConfigObject(labels=record)
    return encode(
        Command(change=Change(f"c{number}", f"d{number}", "op", expected, content))
    )


def open_replica(folder, cfg: ReplicaConfig) -> tuple[Replica, ControlStateMachine]:
    """Open the replica of a data folder, the only member of its group."""
    disk = FolderDisk(folder)
    machine = ControlStateMachine()
    identity = open_identity(disk, "a", "1")
    clock = SystemClock()
    return (
        Replica(identity, cfg, disk, [], machine, clock, random.Random(1)),
        machine,
    )


def write_changes(folder, cfg: ReplicaConfig, changes: int) -> None:
    """Commit changes through the only replica of a new group."""
    initialise(FolderDisk(folder), "a", ["a"])
    replica, _ = open_replica(folder, cfg)
    replica.start()
    while not replica.leads():
        time.sleep(0.05)
    for number in range(changes):
        replica.propose(command(number), 5.0).unwrap()
    time.sleep(1.0)
    replica.stop()


def restart(folder, cfg: ReplicaConfig, changes: int) -> float:
    """Restart the replica, check that it has applied every change, print the times.

    Returns
    -------
    float
        Seconds until the replica was opened, without the election that follows.
    """
    started = time.perf_counter()
    replica, machine = open_replica(folder, cfg)
    opened = time.perf_counter() - started
    replica.start()
    while not replica.leads():
        time.sleep(0.005)
    led = time.perf_counter()
    replica.stop()
    assert machine.version == changes, machine.version
    print(f"  opened in {opened * 1000:.0f} ms, whole {(led - started) * 1000:.0f} ms")
    return opened


def main() -> int:
    """Measure restarts with and without snapshots."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=10_000)
    options = parser.parse_args()
    for name, entries in (("with snapshots", 4_096), ("without", 10**9)):
        folder = FOLDER / "replay" / name.replace(" ", "-")
        shutil.rmtree(folder, ignore_errors=True)
        cfg = ReplicaConfig(snapshot_entries=entries, election_seconds=0.2)
        write_changes(folder, cfg, options.changes)
        print(f"{name}:")
        restart(folder, cfg, options.changes)
        for path in sorted(folder.iterdir()):
            print(f"  {path.name} {path.stat().st_size} bytes")
    return 0


if __name__ == "__main__":
    sys.exit(main())
