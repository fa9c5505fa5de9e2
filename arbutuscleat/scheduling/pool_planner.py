"""Pool planner: how many machines each service needs, and which machines move.

The planner is designed for demand that shifts from one queue to another. A service
with waiting tasks first keeps the machines that have not left it yet, then receives
machines from the standby pool, and then idle machines of services that have more than
they need. Machines that have been idle for some time are parked: they move to the
standby pool, where they are off. Running tasks are never ended for a move.

The number of machines that a service needs is computed for all its tasks, and for those
with the same requirement (a label, accelerators), which only some machines can run.
Whichever of CPU, memory and accelerators is scarcest counts. Tasks that fit on none of
its machines, however few they are, get a machine that can hold them. While long-running
tasks wait for room that a service has, it gives no machine away.
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from arbutuscleat.wire.gen_jobs.ttypes import WorkerRecord

from .service_demand import ANY_MACHINE, Demand, Requirement
from .unplaced_tasks import UnplacedTasks
from .worker_view import WorkerView

IDLE_BEFORE_PARK_SECONDS = 1.5
"""Idle time after which a machine may be parked. It equals the duration of a move:
parking machines that are idle for less time costs more than it saves."""

IDLE_BEFORE_TRANSFER_SECONDS = 0.25
"""Idle time after which a machine may move to a service with waiting tasks. It spans a
single iteration of the machine controller, so that a new leader can move machines
almost immediately."""

MAX_PARKED_FRACTION = 0.05
"""Largest fraction of all machines that one plan parks. A new leader cannot order a
machine for some seconds after an order of its predecessor, so not all idle machines are
ordered together."""

MIN_PARKED_PER_PLAN = 2
"""Machines that one plan may park however few there are."""

HEADROOM_FRACTION = 0.35
"""Headroom for work that arrives during a move, as a fraction of the running and
waiting CPU demand."""

HEADROOM_MACHINES = 1
"""Headroom for the first jobs of a load peak, in machines."""


@dataclass(frozen=True, slots=True)
class PoolMachine:
    """State of one machine, as input of the pool planner.

    Parameters
    ----------
    machine : str
        Name of the machine.
    service_name : str
        Service whose pool the machine is in, or is moving to.
    kind : str
        Kind of the machine; machines of one kind are interchangeable.
    cpu : int
        CPU capacity in thousandths of a core.
    is_up : bool
        Whether the machine may be ordered to move.
    idle_seconds : float
        Time since the machine became idle, in seconds; negative if it is busy.
    in_wave : bool
        Whether the machine is under upkeep or being drained for it.
    mem_mb : int
        Memory in MB; 0 if unknown.
    gpu : int
        Number of accelerators.
    labels : tuple of str
        The machine's labels.
    leaving : str
        Service that the machine is still in, if it is drained for a move to
        `service_name` that can be cancelled; else empty.
    in_service : bool
        False if the machine has had no usable worker for some time, or its worker
        fails its runs. Such a machine provides no capacity where it is.
    """

    machine: str
    service_name: str
    kind: str
    cpu: int
    is_up: bool
    idle_seconds: float
    in_wave: bool
    mem_mb: int = 0
    gpu: int = 0
    labels: tuple[str, ...] = ()
    leaving: str = ""
    in_service: bool = True

    @property
    def is_capacity(self) -> bool:
        """Whether the machine provides capacity to the service that it is in."""
        return self.in_service and not self.in_wave

    def view(self) -> WorkerView:
        """Return the worker that the machine will have after a move."""
        return idle_worker(
            self.machine,
            self.service_name,
            (self.cpu, self.mem_mb, self.gpu),
            self.labels,
        )

    def meets(self, requirement: Requirement) -> bool:
        """Return whether tasks with a requirement can run on the machine."""
        return requirement.is_met_by(self.labels, self.gpu)


def idle_worker(
    machine: str,
    service_name: str,
    capacity: tuple[int, int, int],
    labels: tuple[str, ...],
) -> WorkerView:
    """Return the worker that a machine will have.

    Parameters
    ----------
    machine : str
        Name of the machine.
    service_name : str
        The service that it belongs to.
    capacity : tuple of int, int and int
        CPU in thousandths of a core, memory in MB, and accelerators.
    labels : tuple of str
        The machine's labels.
    """
    cpu, mem_mb, gpu = capacity
    record = WorkerRecord(
        worker_id=machine,
        born_ms=0,
        service_name=service_name,
        cpu=cpu,
        mem_mb=mem_mb,
        gpu=gpu,
        labels=list(labels),
        machine=machine,
    )
    return WorkerView(record, True, 0)


@dataclass(frozen=True, slots=True)
class Move:
    """Move of a machine into the pool of a service.

    Parameters
    ----------
    machine : str
        The machine.
    service_name : str
        The target service.
    """

    machine: str
    service_name: str


@dataclass(frozen=True, slots=True)
class PoolPlan:
    """Moves to make now, and tasks for which there is no machine to move.

    Parameters
    ----------
    moves : list of Move
        The moves to order. The target of a move that is to be cancelled is the service
        that the machine is still in.
    unmet : list of tuple of str and UnplacedTasks
        Tasks that fit on none of the service's machines nor on one that could be moved
        to it, by name of the service.
    short : frozenset of str
        Services that need more machines than there are.
    """

    moves: list[Move]
    unmet: list[tuple[str, UnplacedTasks]]
    short: frozenset[str] = frozenset()


class PoolPlanner:
    """Plans moves of machines between pools; it is stateless."""

    def plan(
        self,
        machines: Sequence[PoolMachine],
        demands: Mapping[str, Demand],
        standby: str,
        may_park: bool = True,
    ) -> PoolPlan:
        """Return the moves to make now.

        Parameters
        ----------
        machines : sequence of PoolMachine
            All machines of the provider.
        demands : mapping of str to Demand
            Demand of each service except the standby service.
        standby : str
            The service whose machines are off; empty if there is none.
        may_park : bool
            Whether demand was observed long enough to park idle machines.

        Returns
        -------
        PoolPlan
            The moves to order, and what they leave unmet.
        """
        pools = {
            name: _Pool(name, demand, machines) for name, demand in demands.items()
        }
        sources = _Sources(machines, pools, standby)
        moves: list[Move] = []
        unmet: list[tuple[str, UnplacedTasks]] = []
        by_urgency = sorted(pools.values(), key=_Pool.excess)
        for pool in by_urgency:
            found, left = _place(pool, sources)
            moves.extend(found)
            unmet.extend((pool.name, tasks) for tasks in left)
        short = set()
        for pool in by_urgency:
            for requirement in pool.needed:
                while pool.lacks(requirement):
                    item = sources.take_for(pool, requirement)
                    if item is None:
                        short.add(pool.name)
                        pool.give_up(requirement)
                        break
                    pool.add(item)
                    moves.append(Move(item.machine, pool.name))
        if standby and may_park:
            idle = [
                item
                for item in sources.surplus
                if item.idle_seconds >= IDLE_BEFORE_PARK_SECONDS
            ]
            at_most = max(MIN_PARKED_PER_PLAN, int(len(machines) * MAX_PARKED_FRACTION))
            moves.extend(_park(idle, pools, standby, at_most))
        return PoolPlan(moves, unmet, frozenset(short))


class _Pool:
    """Machines that one service has and needs, by requirement.

    The requirements of some tasks come first: their machines count for all tasks.
    """

    def __init__(self, name: str, demand: Demand, machines: Sequence[PoolMachine]):
        self.name = name
        self.demand = demand
        self._machines = [item for item in machines if item.service_name == name]
        self.kinds = {item.kind for item in self._machines}
        self.needed: dict[Requirement, int] = {}
        for requirement, part in demand.by_requirement.items():
            found = [item for item in machines if item.meets(requirement)]
            own = [item for item in found if item.service_name == name]
            count = _machines_needed(part, own or found or machines)
            self.needed[requirement] = max(count, part.min_machines)
        count = _machines_needed(demand, self._machines or machines)
        self._needed_for_all = count + HEADROOM_MACHINES
        self.needed[ANY_MACHINE] = max(self._needed_for_all, demand.min_machines)
        self._have = dict.fromkeys(self.needed, 0)
        for item in self._machines:
            if item.is_capacity:
                self.add(item)

    def add(self, item: PoolMachine) -> None:
        """Count a machine, which has a new worker after its move into the pool."""
        self._count(item, 1)

    def remove(self, item: PoolMachine) -> None:
        """Count a machine no longer, because it moves away."""
        if item.is_capacity:
            self._count(item, -1)

    def _count(self, item: PoolMachine, number: int) -> None:
        for requirement in self._have:
            if item.meets(requirement):
                self._have[requirement] += number

    def excess(self) -> int:
        """Return how many more machines the service has than it needs."""
        return min(self._have[item] - self.needed[item] for item in self.needed)

    def lacks(self, requirement: Requirement) -> bool:
        """Return whether the service needs more machines with a requirement."""
        return self._have[requirement] < self.needed[requirement]

    def give_up(self, requirement: Requirement) -> None:
        """Need no more machines for some tasks, because there are no such machines.

        Other machines would not run these tasks, so none are needed in their place.
        """
        missing = self.needed[requirement] - self._have[requirement]
        self.needed[requirement] -= missing
        if requirement != ANY_MACHINE:
            self._needed_for_all -= missing
            self.needed[ANY_MACHINE] = max(
                self._needed_for_all, self.demand.min_machines
            )

    def can_spare(self, item: PoolMachine) -> bool:
        """Return whether the service has enough machines without this one."""
        return all(
            self._have[requirement] > self.needed[requirement]
            for requirement in self.needed
            if item.meets(requirement)
        )

    def idle_machines(self) -> list[PoolMachine]:
        """Return the idle machines that the service can spare, one by one."""
        if self.demand.has_tasks_with_room:
            return []
        return [
            item
            for item in self._machines
            if item.is_up
            and not item.in_wave
            and item.idle_seconds >= IDLE_BEFORE_TRANSFER_SECONDS
            and self.can_spare(item)
        ]


class _Sources:
    """Machines that may be moved into a pool, in the order of preference.

    A machine that has not left the pool yet costs nothing. One that is off is used
    before an idle one of another service, which only tasks that wait receive.
    """

    def __init__(
        self, machines: Sequence[PoolMachine], pools: Mapping[str, _Pool], standby: str
    ):
        self._pools = pools
        self._leaving = [item for item in machines if item.leaving and not item.in_wave]
        self._standby = [
            item
            for item in machines
            if item.service_name == standby and item.is_up and not item.in_wave
        ]
        self.surplus = [
            item for pool in pools.values() for item in pool.idle_machines()
        ]
        self.surplus.sort(key=lambda item: -item.idle_seconds)

    def take_for(self, pool: _Pool, requirement: Requirement) -> PoolMachine | None:
        """Take a machine that meets a requirement for a pool; None if there is none.

        A service may get machines of another kind than it has for a requirement only.
        """
        return self.take(
            pool, lambda item: item.meets(requirement), requirement != ANY_MACHINE
        )

    def take(
        self, pool: _Pool, accepts: Callable[[PoolMachine], bool], any_kind: bool
    ) -> PoolMachine | None:
        """Take a machine that is accepted for a pool; None if there is none.

        Parameters
        ----------
        pool : _Pool
            The pool that receives the machine.
        accepts : callable
            Returns whether a machine is suitable.
        any_kind : bool
            Whether a machine of a kind that the pool does not have may be taken, if
            there is none of its kinds.
        """
        own = [item for item in self._leaving if item.leaving == pool.name]
        found = _find(own, pool.kinds, accepts, any_kind)
        if found is not None:
            self._leaving.remove(found)
            self._leave(found)
            return found
        found = _find(self._standby, pool.kinds, accepts, any_kind)
        if found is not None:
            self._standby.remove(found)
            return found
        if not pool.demand.waiting_tasks:
            return None
        spare = [
            item
            for item in self.surplus
            if item.service_name != pool.name
            and self._pools[item.service_name].can_spare(item)
        ]
        found = _find(spare, pool.kinds, accepts, any_kind)
        if found is not None:
            self.surplus.remove(found)
            self._leave(found)
        return found

    def _leave(self, item: PoolMachine) -> None:
        former = self._pools.get(item.service_name)
        if former is not None:
            former.remove(item)


def _machines_needed(demand: Demand, machines: Sequence[PoolMachine]) -> int:
    """Return how many machines some tasks need, of sizes like those of `machines`."""
    return max(
        _count(demand.cpu * (1.0 + HEADROOM_FRACTION), [item.cpu for item in machines]),
        _count(demand.mem_mb, [item.mem_mb for item in machines]),
        _count(demand.gpu, [item.gpu for item in machines]),
    )


def _count(amount: float, sizes: Iterable[int]) -> int:
    """Return how many machines provide an amount; 0 if none provides any."""
    size = max(sizes, default=0)
    return math.ceil(amount / size) if size else 0


def _park(
    surplus: Iterable[PoolMachine],
    pools: Mapping[str, _Pool],
    standby: str,
    at_most: int,
) -> list[Move]:
    moves: list[Move] = []
    for item in surplus:
        if len(moves) >= at_most:
            break
        pool = pools[item.service_name]
        if pool.can_spare(item):
            pool.remove(item)
            moves.append(Move(item.machine, standby))
    return moves


def _find(
    items: Sequence[PoolMachine],
    kinds: set[str],
    accepts: Callable[[PoolMachine], bool],
    any_kind: bool,
) -> PoolMachine | None:
    """Return the first suitable machine, if possible of one of the kinds."""
    for item in items:
        if (not kinds or item.kind in kinds) and accepts(item):
            return item
    if any_kind:
        return next((item for item in items if accepts(item)), None)
    return None


def _place(pool: _Pool, sources: _Sources) -> tuple[list[Move], list[UnplacedTasks]]:
    """Return moves for the unplaced tasks of a pool, and the tasks still unplaced."""
    moves: list[Move] = []
    unmet: list[UnplacedTasks] = []
    views: list[WorkerView] = []

    for tasks in pool.demand.unplaced:
        count = tasks.count
        for view in views:
            count -= tasks.place_on(view, count)

        def accepts(item: PoolMachine, tasks: UnplacedTasks = tasks) -> bool:
            return item.view().accepts(tasks.step, tasks.group)

        while count > 0:
            item = sources.take(pool, accepts, any_kind=True)
            if item is None:
                unmet.append(replace(tasks, count=count))
                break
            pool.add(item)
            moves.append(Move(item.machine, pool.name))
            views.append(item.view())
            count -= tasks.place_on(views[-1], count)
    return moves, unmet
