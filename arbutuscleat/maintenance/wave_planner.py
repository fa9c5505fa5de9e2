"""The wave planner: which instances a wave takes next.

One canary first, then growing batches as the budgets allow: pools and data centres in
parallel, of each pool one rack at a time, and one instance in reserve where the
budget has room for it.  The log judges each grant again when it is applied.
"""

from collections import Counter
from collections.abc import Iterable

from arbutuscleat.core import Instance, MaintenancePhase, SelectorRule
from arbutuscleat.state import FleetConfiguration
from arbutuscleat.wire.gen.ttypes import Command, GrantMaintenance

from .wave_view import WaveView, view_wave, waves

RESERVE = 1
NEVER = -1


class WavePlanner:
    """Decides on grants.

    Parameters
    ----------
    reserve : int
        Instances of a pool that stay available beyond its budget, as long as the
        budget leaves more than that: a second one is often lost after a repair.
    """

    def __init__(self, reserve: int = RESERVE):
        self._reserve = reserve
        self._idle_at = NEVER

    def decide(self, configuration: FleetConfiguration) -> list[Command]:
        """Return the grants that are due."""
        if configuration.version == self._idle_at:
            return []  # Nothing has changed since there was nothing to do.
        commands: list[Command] = []
        granted: Counter[str] = Counter()
        for rule in waves(configuration):
            view = view_wave(rule, configuration)
            if view.waiting and not view.paused_because():
                commands.extend(self._grants(view, configuration, granted))
        self._idle_at = NEVER if commands else configuration.version
        return commands

    def why_waiting(
        self, instance: Instance, view: WaveView, configuration: FleetConfiguration
    ) -> str:
        """Return why an instance that a wave matches is not taken now."""
        if view.paused_because():
            return f"the wave is paused: {view.paused_because()}"
        if not configuration.is_due(instance, view.rule):
            return "another wave or a move is at work on it"
        if len(view.under_way) >= view.allowed_at_once():
            return f"{view.allowed_at_once()} at once until more have come back"
        pool = instance.assignment.pool
        if not configuration.can_spare(instance):
            return f"pool {pool} has no headroom to spare"
        if configuration.is_available(instance):
            if self._room(pool, configuration) < 1:
                return f"the last headroom of pool {pool} is kept in reserve"
        racks = _racks_at_work(pool, configuration)
        if racks and (instance.data_centre, instance.rack) not in racks:
            return f"another rack of pool {pool} is under way"
        return "next"

    def _grants(
        self,
        view: WaveView,
        configuration: FleetConfiguration,
        granted: Counter[str],
    ) -> Iterable[Command]:
        slots = view.allowed_at_once() - len(view.under_way)
        racks: dict[str, set[tuple[str, str]]] = {}
        for instance in _in_order(view.waiting):
            if slots <= 0:
                return
            pool = instance.assignment.pool
            at_work = racks.setdefault(pool, _racks_at_work(pool, configuration))
            rack = (instance.data_centre, instance.rack)
            if at_work and rack not in at_work:
                continue
            if not configuration.is_due(instance, view.rule):
                continue
            if not configuration.can_spare(instance):
                continue
            if configuration.is_available(instance):
                if self._room(pool, configuration) - granted[pool] < 1:
                    continue
                granted[pool] += 1
            at_work.add(rack)
            slots -= 1
            yield _grant(instance, view.rule)

    def _room(self, pool: str, configuration: FleetConfiguration) -> int:
        """Return how many instances of a pool may be taken at this moment."""
        found = configuration.pools.get(pool)
        if found is None:
            return 1
        size = sum(1 for _ in configuration.instances_of(pool))
        reserve = min(self._reserve, max(0, size - found.min_available - 1))
        return configuration.headroom(pool) - reserve


def _racks_at_work(
    pool: str, configuration: FleetConfiguration
) -> set[tuple[str, str]]:
    if not pool:
        return set()
    return {
        (instance.data_centre, instance.rack)
        for instance in configuration.instances_of(pool)
        if instance.maintenance.phase.is_under_way()
        and instance.maintenance.phase is not MaintenancePhase.SOAKING
    }


def _in_order(instances: Iterable[Instance]) -> list[Instance]:
    """Return instances rack by rack, those that cost no availability first."""
    return sorted(
        instances,
        key=lambda i: (i.state.value == "ready", i.data_centre, i.rack, i.instance_id),
    )


def _grant(instance: Instance, rule: SelectorRule) -> Command:
    return Command(
        grant_maintenance=GrantMaintenance(
            instance_id=instance.instance_id, wave=rule.name, wave_version=rule.version
        )
    )
