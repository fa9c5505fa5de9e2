"""The index of the fleet: its objects, and what follows from them.

Availability is derived from the log alone, so every control instance and every
entry instance comes to the same result.
"""

from collections.abc import Iterable
from dataclasses import replace

from arbutuscleat.core import (
    AssignmentPhase,
    Instance,
    InstanceState,
    Labels,
    MaintenancePhase,
    Pool,
    SelectorPurpose,
    SelectorRule,
    parse_selector,
)
from arbutuscleat.wire.gen.ttypes import (
    ConfigObject,
)

from .label_set import LabelKind, LabelSet
from .member import Member
from .pool_instances import PoolInstances
from .pool_matches import PoolMatches


class FleetIndex:
    """Pools, labels, selectors, instances and members under one version."""

    def __init__(self) -> None:
        self.version = 0
        self.pools: dict[str, Pool] = {}
        self.labels: dict[tuple[LabelKind, str], LabelSet] = {}
        self.selectors: dict[str, SelectorRule] = {}
        self.instances: dict[str, Instance] = {}
        self.members: dict[str, Member] = {}
        self._matches = PoolMatches()
        self._pool_instances = PoolInstances()
        # What the planner must look at, so that its rounds cost nothing else.
        self._in_transition: dict[str, Instance] = {}
        self._misplaced: set[str] = set()
        self._unreachable: frozenset[str] = frozenset()

    def labels_of(self, kind: LabelKind, name: str) -> Labels:
        """Return the labels that operators put on an instance or service."""
        label_set = self.labels.get((kind, name))
        return label_set.labels if label_set is not None else {}

    def instance_labels(self, instance: Instance) -> dict[str, str]:
        """Return the labels that selectors see: announced, then the operators'."""
        operator_labels = self.labels_of(LabelKind.INSTANCE, instance.instance_id)
        return {**instance.placement_labels(), **operator_labels}

    def pools_matching(self, instance_id: str) -> frozenset[str]:
        """Return the pools whose membership selector matches an instance."""
        return self._matches.pools_of(instance_id)

    def instances_of(self, pool: str) -> Iterable[Instance]:
        """Return the instances of a pool."""
        return self._pool_instances.of(pool)

    def is_available(self, instance: Instance) -> bool:
        """Return whether an instance counts for the budget of its pool."""
        if not instance.assignment.takes_work():
            return False
        if instance.maintenance.phase is not MaintenancePhase.NONE:
            return False
        if instance.state is not InstanceState.READY:
            return False
        return not self.is_unreachable(instance.data_centre)

    def is_unreachable(self, data_centre: str) -> bool:
        """Return whether control hears no member of a data centre."""
        return data_centre in self._unreachable

    def available(self, pool: str) -> int:
        """Return how many instances of a pool count for its budget."""
        return sum(map(self.is_available, self.instances_of(pool)))

    def headroom(self, pool: str) -> int:
        """Return how many instances a pool can spare; below 0 when it is short."""
        found = self.pools.get(pool)
        minimum = found.min_available if found is not None else 0
        return self.available(pool) - minimum

    def can_spare(self, instance: Instance) -> bool:
        """Return whether a pool's budget allows to take an instance out of service.

        An instance that has fallen silent may come back by itself; a pool that is
        short needs it then, and not in the middle of a wave.
        """
        if instance.maintenance.phase is MaintenancePhase.FAILED:
            return True
        needed = 1 if self.is_available(instance) else 0
        return self.headroom(instance.assignment.pool) >= needed

    def can_reassign(self, instance: Instance) -> bool:
        """Return whether a pool's budget allows to give an instance to another pool.

        An instance that has failed costs no availability now, but its pool counts
        on its return.
        """
        pool = self.pools.get(instance.assignment.pool)
        if pool is None:
            return True
        if self.is_available(instance) and self.headroom(pool.name) < 1:
            return False
        in_service = sum(
            other.assignment.takes_work()
            and other.maintenance.phase is MaintenancePhase.NONE
            for other in self.instances_of(pool.name)
        )
        return in_service > pool.min_available

    def is_due(self, instance: Instance, rule: SelectorRule) -> bool:
        """Return whether a wave is to take an instance that no wave is at work on."""
        if rule.purpose is not SelectorPurpose.MAINTENANCE:
            return False
        maintenance = instance.maintenance
        if maintenance.phase.is_under_way():
            return False
        if instance.assignment.phase is AssignmentPhase.DRAINING:
            return False  # It is being moved; the move ends first.
        if maintenance.has_been_through(rule.name, rule.version):
            return False
        if maintenance.phase is MaintenancePhase.FAILED:
            # The same wave does not try twice; a changed selector does.
            same = (maintenance.wave, maintenance.wave_version)
            if same == (rule.name, rule.version):
                return False
        labels = self.instance_labels(instance)
        return parse_selector(rule.instances).matches(labels)

    def object_version(self, content: ConfigObject) -> int:
        """Return the version of the object that `content` would replace; 0 if new."""
        found: Pool | LabelSet | SelectorRule | None
        if content.pool is not None:
            found = self.pools.get(content.pool.name)
        elif content.labels is not None:
            key = (LabelKind(content.labels.kind), content.labels.name)
            found = self.labels.get(key)
        else:
            found = self.selectors.get(content.selector.name)
        return found.version if found is not None else 0

    def in_transition(self) -> list[Instance]:
        """Return the instances that are being moved or maintained."""
        return list(self._in_transition.values())

    def misplaced(self) -> list[Instance]:
        """Return the instances in a pool that they do not match any more."""
        return [self.instances[name] for name in sorted(self._misplaced)]

    def _store_instance(self, instance: Instance) -> None:
        name = instance.instance_id
        self.instances[name] = instance
        self._pool_instances.update(instance)
        draining = instance.assignment.phase is AssignmentPhase.DRAINING
        if draining or instance.maintenance.phase is not MaintenancePhase.NONE:
            self._in_transition[name] = instance
        else:
            self._in_transition.pop(name, None)
        self._update_misplaced(instance)

    def _update_misplaced(self, instance: Instance) -> None:
        name = instance.instance_id
        assigned = instance.assignment.phase is AssignmentPhase.ASSIGNED
        if assigned and instance.assignment.pool not in self._matches.pools_of(name):
            self._misplaced.add(name)
        else:
            self._misplaced.discard(name)

    def _store_member(self, member: Member) -> None:
        self.version += 1
        self.members[member.node_id] = replace(member, since_version=self.version)
        self._unreachable = find_unreachable(self.members.values())


def find_unreachable(members: Iterable[Member]) -> frozenset[str]:
    """Return the data centres of which control hears nobody."""
    heard = {m.data_centre for m in members if m.live and not m.suspect}
    return frozenset(m.data_centre for m in members) - heard
