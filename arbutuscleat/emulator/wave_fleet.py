"""In-memory simulation of maintenance waves: real planner, simulated endpoints.

The simulated clock advances in steps and no network is used.  Tests and benchmarks
use the simulation to observe the effect of a wave on the endpoints.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta, timezone

from returns.result import Failure, Result, Success

from arbutuscleat.core import Clock, Instance, InstanceState, MaintenancePhase
from arbutuscleat.maintenance import (
    ClaimHorizon,
    DispatchGate,
    DrainCheck,
    MaintenanceController,
    MaintenanceLimits,
    MemberFailureDetector,
    Mover,
    OperationKind,
    OperationState,
    Planner,
    PlannerParts,
    Platform,
    PlatformError,
    WavePlanner,
)
from arbutuscleat.membership import AckTable
from arbutuscleat.state import ControlStateMachine, instance_record
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen.ttypes import (
    Change,
    Command,
    ConfigObject,
    PoolRecord,
    ReportInstance,
    ReportLost,
    SelectorRecord,
)

DRAIN_SECONDS = 60.0
EPOCH = datetime(2026, 12, 4, tzinfo=timezone.utc)


class SteppedClock(Clock):
    """A clock that advances only through `elapsed`, `wait` and `sleep`."""

    def __init__(self) -> None:
        self.elapsed = 0.0

    def monotonic(self) -> float:
        """Return the seconds since the start."""
        return self.elapsed

    def now(self) -> datetime:
        """Return the wall-clock time."""
        return EPOCH + timedelta(seconds=self.elapsed)

    def wait(self, condition, timeout: float) -> bool:
        """Advance the clock by `timeout` seconds."""
        self.elapsed += timeout
        return False

    def sleep(self, event, timeout: float) -> bool:
        """Advance the clock by `timeout` seconds."""
        self.elapsed += timeout
        return event.is_set()


@dataclass
class SimulatedEndpoint:
    """Actual state of one endpoint, as opposed to the state that control knows."""

    instance: Instance
    is_up: bool = True
    up_at: float = 0.0
    down_since: float = 0.0
    has_failed: bool = False
    starts: int = 1


@dataclass(frozen=True)
class FleetShape:
    """Sizes and durations of a fleet; durations are in seconds.

    Parameters
    ----------
    pools, workers : int
        Number of pools, and of workers in each pool.
    per_rack : int
        Number of workers of a pool in one rack.
    data_centres : int
        Number of data centres, over which the racks are distributed.
    min_available : int
        Disruption budget of each pool: the instances that must stay available.
    reserve : int
        Number of instances kept available beyond the budget.
    reboot, soak, lost : float
        Duration of a reboot, of the soak, and of the silence after which an endpoint
        is reported as lost.
    reboot_limit : float
        Time limit of a reboot, after which it counts as failed.
    """

    pools: int = 5
    workers: int = 8
    per_rack: int = 4
    data_centres: int = 4
    min_available: int = 6
    reserve: int = 0
    reboot: float = 120.0
    soak: float = 60.0
    lost: float = 10.0
    reboot_limit: float = 300.0


class SimulatedPlatform(Platform):
    """Reboots simulated endpoints; a share of the requests and answers is lost."""

    def __init__(self, fleet: "WaveFleet"):
        self._fleet = fleet
        self.accepted_operations: set[str] = set()
        self.lost_share = 0.0

    def operate(
        self, kind: OperationKind, instance_id: str, operation_id: str
    ) -> Result[OperationState, PlatformError]:
        """Reboot the instance once for each operation id."""
        rng = self._fleet.rng
        if rng.random() < self.lost_share / 2:
            return Failure(PlatformError("the request was lost"))
        if operation_id not in self.accepted_operations:
            self.accepted_operations.add(operation_id)
            self._fleet.reboot(instance_id)
        if rng.random() < self.lost_share / 2:
            return Failure(PlatformError("the answer was lost"))
        return Success(OperationState.RUNNING)


@dataclass
class WaveFleet:
    """Simulates the control state, the planner and the endpoints.

    Parameters
    ----------
    shape : FleetShape
        Sizes and durations.
    rng : random.Random
        Chooses the failures.
    failed_reboot_share : float
        Share of the reboots after which an endpoint does not return.
    make_planner : callable
        Returns the wave planner for a given reserve; benchmarks pass baselines.
    """

    shape: FleetShape
    rng: random.Random
    failed_reboot_share: float = 0.0
    make_planner: Callable[[int], WavePlanner] = WavePlanner
    clock: SteppedClock = field(default_factory=SteppedClock)
    endpoints: dict[str, SimulatedEndpoint] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the pools and announce every endpoint."""
        self.machine = ControlStateMachine()
        self.platform = SimulatedPlatform(self)
        self._commits = 0
        self._changes = 0
        self.budget_violations: list[str] = []
        for number in range(self.shape.pools):
            self._set_pool(f"pool-{number}")
        for pool in range(self.shape.pools):
            for worker in range(self.shape.workers):
                self._add_endpoint(pool, worker)
        self.lead()

    # ---- control ----

    def lead(self) -> None:
        """Start a new leader, which knows only the replicated state."""
        shape = self.shape
        acks = AckTable(self.clock)
        gate = DispatchGate(acks, self.clock, 0.0, lambda: float("-inf"))
        drains = DrainCheck(acks, gate, DRAIN_SECONDS)
        limits = MaintenanceLimits(shape.reboot_limit, shape.soak)
        parts = PlannerParts(
            failure_detector=MemberFailureDetector(acks, gate, self.clock, 1e9),
            mover=Mover(drains, self.clock),
            maintenance_controller=MaintenanceController(
                self.platform, drains, self.clock, limits
            ),
            waves=self.make_planner(shape.reserve),
            horizon=ClaimHorizon(self.clock, 1e9),
        )
        self._planner = Planner(
            self.machine,
            parts,
            lambda: True,
            lambda: 0.0,
            lambda payload, timeout: Success(self._apply(payload)),
            self.clock,
        )

    def commit(self, command: Command) -> None:
        """Encode a command and apply it to the state machine."""
        self._apply(encode(command))

    def set_wave(self, name: str, instances: str) -> None:
        """Start or restart a wave by setting its selector."""
        record = SelectorRecord(name=name, purpose="maintenance", instances=instances)
        known = self.machine.configuration.selectors.get(name)
        self._change(ConfigObject(selector=record), known.version if known else 0)

    # ---- endpoints ----

    def reboot(self, instance_id: str) -> None:
        """Take an endpoint down; it returns after the reboot, or fails to return."""
        endpoint = self.endpoints[instance_id]
        endpoint.is_up = False
        endpoint.down_since = self.clock.monotonic()
        endpoint.up_at = self.clock.monotonic() + self.shape.reboot
        if self.rng.random() < self.failed_reboot_share:
            endpoint.up_at = float("inf")
            endpoint.has_failed = True

    def crash(self, instance_id: str, seconds: float) -> None:
        """Let an endpoint fail outside maintenance, for a number of seconds."""
        endpoint = self.endpoints[instance_id]
        if endpoint.is_up:
            endpoint.down_since = self.clock.monotonic()
        endpoint.is_up = False
        endpoint.has_failed = True
        endpoint.up_at = self.clock.monotonic() + seconds

    def available(self, pool: str, with_failed: bool) -> int:
        """Return the number of endpoints of a pool that are actually in service.

        Parameters
        ----------
        pool : str
            Name of the pool.
        with_failed : bool
            Whether endpoints that have failed count as in service.
        """
        count = 0
        for endpoint in self.endpoints.values():
            known = self.machine.configuration.instances[endpoint.instance.instance_id]
            if known.assignment.pool != pool:
                continue
            if endpoint.has_failed:
                count += with_failed
            elif endpoint.is_up and known.assignment.takes_work():
                count += known.maintenance.phase is MaintenancePhase.NONE
        return count

    def step(self, seconds: float) -> None:
        """Advance the clock, update the endpoints and run one planning round.

        Pools below their budget are recorded in `budget_violations`.
        """
        self.clock.elapsed += seconds
        for endpoint in self.endpoints.values():
            self._step_endpoint(endpoint)
        self.round()
        for pool in self.machine.configuration.pools.values():
            available = self.available(pool.name, with_failed=True)
            if available < pool.min_available:
                violation = f"{self.clock.elapsed:g} s: {pool.name} has {available}"
                self.budget_violations.append(violation)

    def round(self) -> int:
        """Run one planning round and return the number of commands."""
        return self._planner.round()

    # ---- details ----

    def _step_endpoint(self, endpoint: SimulatedEndpoint) -> None:
        now = self.clock.monotonic()
        known = self.machine.configuration.instances[endpoint.instance.instance_id]
        if not endpoint.is_up and now >= endpoint.up_at:
            endpoint.is_up = True
            endpoint.has_failed = False
            endpoint.starts += 1
            self._announce(endpoint)
        elif not endpoint.is_up and now - endpoint.down_since >= self.shape.lost:
            if known.state is InstanceState.READY:
                lost = ReportLost(known.instance_id, known.incarnation, known.sequence)
                self.commit(Command(lost=lost))

    def _announce(self, endpoint: SimulatedEndpoint) -> None:
        record = instance_record(endpoint.instance)
        record.incarnation = f"{endpoint.starts:06d}"
        self.commit(Command(instance=ReportInstance(record)))

    def _add_endpoint(self, pool: int, worker: int) -> None:
        shape = self.shape
        rack = worker // shape.per_rack
        instance = Instance(
            instance_id=f"w{pool}-{worker}",
            incarnation="000001",
            host="10.0.0.1",
            port=80,
            data_centre=f"dc-{(pool + rack) % shape.data_centres}",
            rack=f"rack-{pool}-{rack}",
            labels={"tier": f"pool-{pool}"},
            services=(f"pool-{pool}",),
            slots=8,
            connections=64,
        )
        endpoint = SimulatedEndpoint(instance)
        self.endpoints[instance.instance_id] = endpoint
        self._announce(endpoint)

    def _set_pool(self, name: str) -> None:
        record = PoolRecord(
            name=name,
            service_name=name,
            min_available=self.shape.min_available,
            spare=False,
            membership=f"tier={name}",
        )
        self._change(ConfigObject(pool=record), 0)

    def _change(self, content: ConfigObject, expected: int) -> None:
        self._changes += 1
        name = f"change-{self._changes}"
        self.commit(Command(change=Change(name, name, "operator", expected, content)))

    def _apply(self, payload: bytes) -> object:
        self._commits += 1
        return self.machine.apply(self._commits, payload)
