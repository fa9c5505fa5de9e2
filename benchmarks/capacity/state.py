"""Memory and CPU time of the state, by number of instances and claims."""

import random
import time
import tracemalloc

from arbutuscleat.core import Instance
from arbutuscleat.emulator.wave_fleet import FleetShape, WaveFleet
from arbutuscleat.routing import build_routing_table
from arbutuscleat.state import ClaimTable, ControlStateMachine, instance_record
from arbutuscleat.wire import decode, encode
from arbutuscleat.wire.gen.ttypes import (
    BeginClaim,
    Change,
    Command,
    ConfigObject,
    ControlImage,
    PoolRecord,
    ReportInstance,
)

from .slope import print_slope

INSTANCES = (500, 2_000, 6_200)
TARGET_INSTANCES = 6_200
CLAIMS = (10_000, 40_000)
TARGET_CLAIMS = 100_000
POOLS = 22
DATA_CENTRES = 24
MEBIBYTE = 1024 * 1024


def make_instance(number: int) -> Instance:
    """Return the instance with a number, which determines its pool and location."""
    return Instance(
        instance_id=f"worker-{number:05d}",
        incarnation="01796365752296585283",
        host=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}",
        port=8080,
        data_centre=f"dc-{number % DATA_CENTRES:02d}",
        rack=f"rack-{number % 64:02d}",
        labels={"tier": f"pool-{number % POOLS:02d}", "generation": "4"},
        services=(f"service-{number % POOLS:02d}",),
        slots=8,
        connections=64,
    )


def pool_command(number: int, expected: int, change_id: str) -> bytes:
    """Return the encoded command that sets a pool."""
    record = PoolRecord(
        name=f"pool-{number:02d}",
        service_name=f"service-{number:02d}",
        min_available=4,
        spare=False,
        membership=f"tier=pool-{number:02d}",
    )
    change = Change(change_id, change_id, "op", expected, ConfigObject(pool=record))
    return encode(Command(change=change))


def populated_state_machine(instances: int) -> ControlStateMachine:
    """Return a state machine with `POOLS` pools and some instances."""
    machine = ControlStateMachine()
    for number in range(POOLS):
        machine.apply(0, pool_command(number, 0, f"c{number}"))
    for number in range(instances):
        record = instance_record(make_instance(number))
        machine.apply(0, encode(Command(instance=ReportInstance(record))))
    return machine


def best_seconds(action) -> float:
    """Return the seconds that `action` takes: the minimum of three calls."""
    best = float("inf")
    for _ in range(3):
        started = time.perf_counter()
        action()
        best = min(best, time.perf_counter() - started)
    return best


def report_configuration() -> None:
    """Print the costs of the configuration by number of instances."""
    memory, image, full, restore, pool, table = [], [], [], [], [], []
    for size in INSTANCES:
        tracemalloc.start()
        machine = populated_state_machine(size)
        memory.append((size, tracemalloc.get_traced_memory()[0] / MEBIBYTE))
        tracemalloc.stop()
        data = machine.image()
        image.append((size, len(data) / MEBIBYTE))
        full.append((size, best_seconds(machine.image) * 1000))
        restore.append((size, best_seconds(lambda: machine.restore(data)) * 1000))
        version = machine.configuration.pools["pool-00"].version
        command = pool_command(0, version, f"change-{size}")
        started = time.perf_counter()
        machine.apply(0, command)
        pool.append((size, (time.perf_counter() - started) * 1000))
        configuration = machine.configuration
        seconds = best_seconds(lambda: build_routing_table(configuration, "e", "dc-01"))
        table.append((size, seconds * 1000))
    print_slope("configuration in memory", "MB", memory, TARGET_INSTANCES)
    print_slope("configuration image", "MB", image, TARGET_INSTANCES)
    print_slope("image written", "ms", full, TARGET_INSTANCES)
    print_slope("image restored", "ms", restore, TARGET_INSTANCES)
    print_slope("pool changed at control", "ms", pool, TARGET_INSTANCES)
    print_slope("routing table built", "ms", table, TARGET_INSTANCES)


def report_claims() -> None:
    """Print the costs of the claim table by number of claims."""
    memory, image, begin = [], [], []
    for size in CLAIMS:
        tracemalloc.start()
        claims = ClaimTable()
        started = time.perf_counter()
        for number in range(size):
            claims.begin(_claim(number))
        begin.append((size, (time.perf_counter() - started) * 1e6 / size))
        memory.append((size, tracemalloc.get_traced_memory()[0] / MEBIBYTE))
        tracemalloc.stop()
        data = encode(ControlImage(claims=claims.to_records()))
        image.append((size, len(data) / MEBIBYTE))
        decode(ControlImage, data)
    print_slope("claims in memory", "MB", memory, TARGET_CLAIMS)
    print_slope("claims image", "MB", image, TARGET_CLAIMS)


def _claim(number: int) -> BeginClaim:
    return BeginClaim(
        key=f"service-{number % POOLS:02d}/{number:032x}",
        digest=f"{number:064x}",
        owner=f"entry-{number % 9}",
        owner_incarnation=f"{number % 9:032x}",
        claim_id=f"{number:032x}",
        key_time_ms=1_796_000_000_000 + number,
    )


def report_planner() -> None:
    """Print the cost of one planner round, without and with a maintenance wave."""
    idle, waving = [], []
    for size in INSTANCES:
        shape = FleetShape(pools=POOLS, workers=size // POOLS, min_available=4)
        fleet = WaveFleet(shape, random.Random(1))
        fleet.step(1.0)
        idle.append((size, best_seconds(fleet.round) * 1000))
        fleet.set_wave("update", "tier")
        fleet.step(1.0)
        waving.append((size, best_seconds(fleet.round) * 1000))
    print_slope("planner round, nothing to do", "ms", idle, TARGET_INSTANCES)
    print_slope("planner round, wave under way", "ms", waving, TARGET_INSTANCES)
