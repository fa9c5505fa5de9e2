"""The wave planner: decides to which instances a wave grants maintenance next.

A wave starts with one canary and continues in growing batches, as far as the budgets
allow.  Pools and data centres are processed in parallel, but only one rack of a pool
at a time.  Where the budget has room for it, one more instance of the pool is kept
available.  Each grant is checked again when it is applied.
"""

from collections import Counter
from collections.abc import Iterable

from arbutuscleat.core import Instance, MaintenancePhase, SelectorRule
from arbutuscleat.state import FleetConfiguration
from arbutuscleat.wire.gen.ttypes import Command, GrantMaintenance

from .wave_view import WaveView, view_wave, waves

DEFAULT_RESERVE = 1
NO_VERSION = -1
"""Lower than any configuration version."""


class WavePlanner:
    """Decides which instances are granted to the maintenance waves.

    Parameters
    ----------
    reserve : int
        Instances of a pool that are kept available beyond its budget, since a second
        instance is often lost after a repair.  The reserve is reduced where it would
        leave no instance of the pool to maintain.
    """

    def __init__(self, reserve: int = DEFAULT_RESERVE):
        self._reserve = reserve
        # Version at which no grant was due; nothing is due until it changes.
        self._idle_version = NO_VERSION

    def decide(self, configuration: FleetConfiguration) -> list[Command]:
        """Return the grants that are due in this version of the configuration."""
        if configuration.version == self._idle_version:
            return []
        commands: list[Command] = []
        granted: Counter[str] = Counter()
        for rule in waves(configuration):
            view = view_wave(rule, configuration)
            if view.waiting and not view.paused_because():
                commands.extend(self._grants(view, configuration, granted))
        self._idle_version = NO_VERSION if commands else configuration.version
        return commands

    def why_waiting(
        self, instance: Instance, view: WaveView, configuration: FleetConfiguration
    ) -> str:
        """Return why an instance that a wave matches is not granted now.

        Parameters
        ----------
        instance : Instance
            An instance that waits for the wave.
        view : WaveView
            The wave.
        configuration : FleetConfiguration
            The configuration from which the view was made.

        Returns
        -------
        str
            The reason, for operators; ``next`` if none applies.
        """
        if view.paused_because():
            return f"the wave is paused: {view.paused_because()}"
        if not configuration.is_due(instance, view.rule):
            return "another wave or a move is at work on it"
        if len(view.under_way) >= view.max_concurrent():
            return f"{view.max_concurrent()} at once until more have come back"
        pool = instance.assignment.pool
        if not configuration.can_spare(instance):
            return f"pool {pool} has no headroom to spare"
        if configuration.is_available(instance):
            if self._spare_instances(pool, configuration) < 1:
                return f"the last headroom of pool {pool} is kept in reserve"
        racks = _racks_in_progress(pool, configuration)
        if racks and (instance.data_centre, instance.rack) not in racks:
            return f"another rack of pool {pool} is under way"
        return "next"

    def _grants(
        self,
        view: WaveView,
        configuration: FleetConfiguration,
        granted: Counter[str],
    ) -> Iterable[Command]:
        slots = view.max_concurrent() - len(view.under_way)
        racks: dict[str, set[tuple[str, str]]] = {}
        for instance in _in_grant_order(view.waiting):
            if slots <= 0:
                return
            pool = instance.assignment.pool
            in_progress = racks.setdefault(
                pool, _racks_in_progress(pool, configuration)
            )
            rack = (instance.data_centre, instance.rack)
            if in_progress and rack not in in_progress:
                continue
            if not configuration.is_due(instance, view.rule):
                continue
            if not configuration.can_spare(instance):
                continue
            if configuration.is_available(instance):
                if self._spare_instances(pool, configuration) - granted[pool] < 1:
                    continue
                granted[pool] += 1
            in_progress.add(rack)
            slots -= 1
            yield _grant(instance, view.rule)

    def _spare_instances(self, pool: str, configuration: FleetConfiguration) -> int:
        """Return how many available instances of a pool may be granted now."""
        found = configuration.pools.get(pool)
        if found is None:
            return 1
        size = sum(1 for _ in configuration.instances_of(pool))
        reserve = min(self._reserve, max(0, size - found.min_available - 1))
        return configuration.headroom(pool) - reserve


def _racks_in_progress(
    pool: str, configuration: FleetConfiguration
) -> set[tuple[str, str]]:
    """Return the data centre and rack of the instances that are draining or rebooting.

    Instances without a pool are not limited to one rack.
    """
    if not pool:
        return set()
    return {
        (instance.data_centre, instance.rack)
        for instance in configuration.instances_of(pool)
        if instance.maintenance.phase.is_under_way()
        and instance.maintenance.phase is not MaintenancePhase.SOAKING
    }


def _in_grant_order(instances: Iterable[Instance]) -> list[Instance]:
    """Return instances rack by rack, those that are not ready first.

    Maintenance of an instance that is not ready costs no availability.
    """
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
