"""Pool planner: how many machines each service needs, and which machines move.

The planner is designed for demand that shifts from one queue to another. A service
with waiting tasks first receives machines from the standby pool, and then idle
machines of services that have more than they need. Machines that have been idle for a
while are parked: they move to the standby pool, where they are off. Running tasks are
never ended for a move.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

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

HEADROOM_MACHINES = 1.0
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
    """

    machine: str
    service_name: str
    kind: str
    cpu: int
    is_up: bool
    idle_seconds: float
    in_wave: bool


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of one service.

    Parameters
    ----------
    running_cpu : int
        CPU of the running tasks, in thousandths of a core.
    waiting_cpu : int
        CPU of the tasks that could start now, in thousandths of a core.
    min_machines : int
        Minimum number of machines of any size, as required by spread limits.
    """

    running_cpu: int = 0
    waiting_cpu: int = 0
    min_machines: int = 0


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


def has_shortage(demands: Iterable[Demand], machine_cpu: int) -> bool:
    """Return whether any service has more waiting tasks than one machine can run.

    Parameters
    ----------
    demands : iterable of Demand
        The demand of each service.
    machine_cpu : int
        CPU capacity of one machine, in thousandths of a core.
    """
    return any(demand.waiting_cpu > machine_cpu for demand in demands)


class PoolPlanner:
    """Plans moves of machines between pools; it is stateless."""

    def plan(
        self,
        machines: Sequence[PoolMachine],
        demands: Mapping[str, Demand],
        standby: str,
        may_park: bool = True,
    ) -> list[Move]:
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
        list of Move
            The moves to order.
        """
        moves: list[Move] = []
        pools: dict[str, list[PoolMachine]] = {name: [] for name in demands}
        for item in machines:
            if item.service_name in pools:
                pools[item.service_name].append(item)
        needed = {
            name: self._machines_needed(demand, pools[name] or machines)
            for name, demand in demands.items()
        }
        # Machines that are drained for a wave provide no capacity.
        have = {
            name: sum(not item.in_wave for item in pool) for name, pool in pools.items()
        }
        standby_machines = [
            item
            for item in machines
            if item.service_name == standby and item.is_up and not item.in_wave
        ]
        surplus = self._surplus_machines(pools, needed, have)
        by_urgency = sorted(demands, key=lambda name: have[name] - needed[name])
        for name in by_urgency:
            kinds = {item.kind for item in pools[name]}
            urgent = demands[name].waiting_cpu > 0
            while have[name] < needed[name]:
                found = _find_of_kind(standby_machines, kinds)
                if found is None and urgent:
                    found = _find_of_kind(
                        [
                            i
                            for i in surplus
                            if have[i.service_name] > needed[i.service_name]
                        ],
                        kinds,
                    )
                if found is None:
                    break
                if found in surplus:
                    surplus.remove(found)
                    have[found.service_name] -= 1
                elif found in standby_machines:
                    standby_machines.remove(found)
                have[name] += 1
                moves.append(Move(found.machine, name))
        if standby and may_park:
            idle = [i for i in surplus if i.idle_seconds >= IDLE_BEFORE_PARK_SECONDS]
            at_most = max(MIN_PARKED_PER_PLAN, int(len(machines) * MAX_PARKED_FRACTION))
            moves.extend(self._park(idle, needed, have, standby, at_most))
        return moves

    def _machines_needed(self, demand: Demand, machines: Sequence[PoolMachine]) -> int:
        """Return how many machines of the largest of these sizes a service needs."""
        size = max((item.cpu for item in machines), default=0) or 1
        wanted = (demand.running_cpu + demand.waiting_cpu) * (1.0 + HEADROOM_FRACTION)
        count = int(-(-wanted // size)) + HEADROOM_MACHINES
        return max(int(count), demand.min_machines)

    def _surplus_machines(
        self,
        pools: Mapping[str, Sequence[PoolMachine]],
        needed: Mapping[str, int],
        have: Mapping[str, int],
    ) -> list[PoolMachine]:
        found: list[PoolMachine] = []
        for name, pool in pools.items():
            if have[name] <= needed[name]:
                continue
            found.extend(
                item
                for item in pool
                if item.is_up
                and not item.in_wave
                and item.idle_seconds >= IDLE_BEFORE_TRANSFER_SECONDS
            )
        found.sort(key=lambda item: -item.idle_seconds)
        return found

    def _park(
        self,
        surplus: Sequence[PoolMachine],
        needed: Mapping[str, int],
        have: dict[str, int],
        standby: str,
        at_most: int,
    ) -> list[Move]:
        moves: list[Move] = []
        for item in surplus:
            if len(moves) >= at_most:
                break
            if have[item.service_name] > needed[item.service_name]:
                have[item.service_name] -= 1
                moves.append(Move(item.machine, standby))
        return moves


def _find_of_kind(items: Sequence[PoolMachine], kinds: set[str]) -> PoolMachine | None:
    for item in items:
        if not kinds or item.kind in kinds:
            return item
    return None
