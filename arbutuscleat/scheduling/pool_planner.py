"""The pool planner: how many machines each service needs, and which ones move.

It answers demand that goes from queue to queue by turns.  A service whose tasks
wait gets machines out of the standby pool first, then idle ones of services that
have more than they need.  Machines that have been idle for a while go to the
standby pool, where they are off.  Nothing that runs is ended for a move.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

IDLE_BEFORE_PARK_SECONDS = 1.5
"""Idle time after which a machine may go to the standby pool: the time of a move, below
which leaving costs more than it saves."""

IDLE_BEFORE_TRANSFER_SECONDS = 0.25
"""The same when tasks wait in another service: one look, since the next one may be a
new leader's first."""

MAX_PARKED_PER_PLAN = 2
"""Machines let go in one plan: after an order a machine is out of reach of a new leader
for some seconds, so not all idle ones are ordered together."""

HEADROOM_FRACTION = 0.35
"""Room above what runs and waits, as a share of it: what arrives during a move."""

HEADROOM_MACHINES = 1.0
"""Room for the first jobs of a turn, in machines."""


@dataclass(frozen=True, slots=True)
class PoolMachine:
    """A machine as the pool planner sees it.

    Parameters
    ----------
    machine, service_name, kind : str
        Which one it is, where it is, and what it may be exchanged for.
    cpu : int
        Thousandths of a core.
    is_up : bool
        Whether it may be ordered to move.
    idle_seconds : float
        How long nothing has run on it; negative while something does.
    in_wave : bool
        Whether its upkeep is under way.
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
    """What a service is asked for.

    Parameters
    ----------
    running_cpu, waiting_cpu : int
        Thousandths of a core of what runs, and of what could start now.
    min_machines : int
        Machines needed whatever their size, since tasks must stand apart.
    """

    running_cpu: int = 0
    waiting_cpu: int = 0
    min_machines: int = 0


@dataclass(frozen=True, slots=True)
class Move:
    """A machine that is to go into another pool."""

    machine: str
    service_name: str


def has_shortage(demands: Iterable[Demand], machine_cpu: int) -> bool:
    """Return whether tasks for more than one machine of that size wait anywhere."""
    return any(demand.waiting_cpu > machine_cpu for demand in demands)


class PoolPlanner:
    """Decides on moves; it keeps no state."""

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
            What each serving service is asked for.
        standby : str
            The service whose machines are off; empty when there is none.
        may_park : bool
            Whether demand has been seen for long enough to let machines go.
        """
        moves: list[Move] = []
        pools: dict[str, list[PoolMachine]] = {name: [] for name in demands}
        for item in machines:
            if item.service_name in pools:
                pools[item.service_name].append(item)
        needed = {
            name: self._machines_needed(demand, pools[name])
            for name, demand in demands.items()
        }
        # Machines that are emptied for a wave are no room for anything.
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
                found = _find_kind(standby_machines, kinds)
                if found is None and urgent:
                    found = _find_kind(
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
            moves.extend(self._park(idle, needed, have, standby))
        return moves

    def _machines_needed(self, demand: Demand, pool: Sequence[PoolMachine]) -> int:
        size = max((item.cpu for item in pool), default=0) or 1
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
    ) -> list[Move]:
        moves: list[Move] = []
        for item in surplus:
            if len(moves) >= MAX_PARKED_PER_PLAN:
                break
            if have[item.service_name] > needed[item.service_name]:
                have[item.service_name] -= 1
                moves.append(Move(item.machine, standby))
        return moves


def _find_kind(items: Sequence[PoolMachine], kinds: set[str]) -> PoolMachine | None:
    for item in items:
        if not kinds or item.kind in kinds:
            return item
    return None
