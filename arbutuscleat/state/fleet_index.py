"""The fleet index: the objects of the configuration and lookups derived from them.

Availability is derived from the log alone, so every control instance and every
entry instance computes the same result.
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
    """Pools, labels, selectors, instances and members of one configuration version."""

    def __init__(self) -> None:
        self.version = 0
        self.pools: dict[str, Pool] = {}
        self.labels: dict[tuple[LabelKind, str], LabelSet] = {}
        self.selectors: dict[str, SelectorRule] = {}
        self.instances: dict[str, Instance] = {}
        self.members: dict[str, Member] = {}
        self._matches = PoolMatches()
        self._pool_instances = PoolInstances()
        # Indexed so that a round of the planner need not scan the whole fleet.
        self._in_transition: dict[str, Instance] = {}
        self._misplaced: set[str] = set()
        self._unreachable: frozenset[str] = frozenset()

    def labels_of(self, kind: LabelKind, name: str) -> Labels:
        """Return the labels that operators assigned to an instance or service."""
        label_set = self.labels.get((kind, name))
        return label_set.labels if label_set is not None else {}

    def instance_labels(self, instance: Instance) -> dict[str, str]:
        """Return the labels that selectors match.

        Labels that operators assigned override the announced ones.
        """
        operator_labels = self.labels_of(LabelKind.INSTANCE, instance.instance_id)
        return {**instance.placement_labels(), **operator_labels}

    def pools_matching(self, instance_id: str) -> frozenset[str]:
        """Return the pools whose membership selector matches an instance."""
        return self._matches.pools_of(instance_id)

    def instances_of(self, pool: str) -> Iterable[Instance]:
        """Return the instances that are assigned to a pool."""
        return self._pool_instances.of(pool)

    def is_available(self, instance: Instance) -> bool:
        """Return whether an instance counts towards the minimum of its pool."""
        if not instance.assignment.takes_work():
            return False
        if instance.maintenance.phase is not MaintenancePhase.NONE:
            return False
        if instance.state is not InstanceState.READY:
            return False
        return not self.is_unreachable(instance.data_centre)

    def is_unreachable(self, data_centre: str) -> bool:
        """Return whether control has lost contact with all members of a data centre."""
        return data_centre in self._unreachable

    def available(self, pool: str) -> int:
        """Return how many instances of a pool are available."""
        return sum(map(self.is_available, self.instances_of(pool)))

    def headroom(self, pool: str) -> int:
        """Return how many available instances a pool has above its minimum.

        The number is negative if the pool has fewer than its minimum.
        """
        found = self.pools.get(pool)
        minimum = found.min_available if found is not None else 0
        return self.available(pool) - minimum

    def can_spare(self, instance: Instance) -> bool:
        """Return whether the pool's budget allows maintenance of an instance.

        An unavailable instance needs headroom of at least 0.  A silent instance may
        recover by itself, and a pool below its minimum needs it back in service,
        not in the middle of a maintenance wave.  An instance whose maintenance failed
        can always be spared.
        """
        if instance.maintenance.phase is MaintenancePhase.FAILED:
            return True
        needed = 1 if self.is_available(instance) else 0
        return self.headroom(instance.assignment.pool) >= needed

    def can_reassign(self, instance: Instance) -> bool:
        """Return whether the pool's budget allows moving an instance to another pool.

        Moving a failed instance does not reduce the current availability, but the pool
        depends on its return.  So the instances in service are counted as well,
        whether they are available or not.
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
        """Return whether a maintenance wave still has to process an instance.

        An instance that a wave is processing, or that is being moved, is not due.
        """
        if rule.purpose is not SelectorPurpose.MAINTENANCE:
            return False
        maintenance = instance.maintenance
        if maintenance.phase.is_under_way():
            return False
        if instance.assignment.phase is AssignmentPhase.DRAINING:
            return False  # A move must finish before maintenance starts.
        if maintenance.has_completed(rule.name, rule.version):
            return False
        if maintenance.phase is MaintenancePhase.FAILED:
            # A wave retries a failed instance only if its selector was changed.
            last_attempt = (maintenance.wave, maintenance.wave_version)
            if last_attempt == (rule.name, rule.version):
                return False
        labels = self.instance_labels(instance)
        return parse_selector(rule.instances).matches(labels)

    def object_version(self, content: ConfigObject) -> int:
        """Return the version of the object that `content` replaces; 0 if it is new."""
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
        """Return the instances that are draining or not in maintenance phase NONE."""
        return list(self._in_transition.values())

    def misplaced(self) -> list[Instance]:
        """Return the instances that no longer match the pool they are assigned to."""
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
    """Return the data centres in which every member is down or suspect."""
    reachable = {m.data_centre for m in members if m.live and not m.suspect}
    return frozenset(m.data_centre for m in members) - reachable
