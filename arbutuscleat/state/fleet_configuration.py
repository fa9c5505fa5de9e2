"""The configuration of the fleet: what operators set and instances reported.

The same class runs in the control instances, which apply commands from the log,
and in the entry instances, which apply the same commands as deltas.  It must be
deterministic: no clock, no random numbers, no dependence on the process.
"""

from collections.abc import Iterable
from dataclasses import replace

from arbutuscleat.core import (
    FOLLOWING_PHASES,
    Assignment,
    AssignmentPhase,
    Instance,
    InstanceState,
    Labels,
    MaintenancePhase,
    Pool,
    SelectorPurpose,
    SelectorRule,
    ValidationError,
    parse_selector,
    validate_pool,
    validate_selector_rule,
)
from arbutuscleat.wire.gen.ttypes import (
    AdvanceMaintenance,
    Command,
    ConfigObject,
    Configuration,
)

from .label_set import LabelKind, LabelSet, validate_label_set
from .member import Member
from .pool_matches import PoolMatches
from .pool_members import PoolMembers
from .records import (
    instance_from,
    instance_record,
    label_set_from,
    labels_record,
    member_from,
    member_record,
    pool_from,
    pool_record,
    selector_record,
    selector_rule_from,
)

MAX_CONFLICTS_LISTED = 5


class FleetConfiguration:
    """Pools, labels, selectors, instances and members under one version."""

    def __init__(self) -> None:
        self.version = 0
        self.pools: dict[str, Pool] = {}
        self.labels: dict[tuple[LabelKind, str], LabelSet] = {}
        self.selectors: dict[str, SelectorRule] = {}
        self.instances: dict[str, Instance] = {}
        self.members: dict[str, Member] = {}
        self._matches = PoolMatches()
        self._pool_members = PoolMembers()
        self._cut_off: frozenset[str] = frozenset()

    # ---- reading ----

    def labels_of(self, kind: LabelKind, name: str) -> Labels:
        """Return the labels that operators put on an instance or service."""
        label_set = self.labels.get((kind, name))
        return label_set.labels if label_set is not None else {}

    def instance_labels(self, instance: Instance) -> dict[str, str]:
        """Return the labels that selectors see: announced, then the operators'."""
        overlay = self.labels_of(LabelKind.INSTANCE, instance.instance_id)
        return {**instance.placement_labels(), **overlay}

    def pools_matching(self, instance_id: str) -> frozenset[str]:
        """Return the pools whose membership selector matches an instance."""
        return self._matches.pools_of(instance_id)

    def instances_of(self, pool: str) -> Iterable[Instance]:
        """Return the instances of a pool."""
        return self._pool_members.of(pool)

    def is_available(self, instance: Instance) -> bool:
        """Return whether an instance counts for the budget of its pool."""
        if not instance.assignment.takes_work():
            return False
        if instance.maintenance.phase is not MaintenancePhase.NONE:
            return False
        if instance.state is not InstanceState.READY:
            return False
        return not self.is_cut_off(instance.data_centre)

    def is_cut_off(self, data_centre: str) -> bool:
        """Return whether control hears no member of a data centre."""
        return data_centre in self._cut_off

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

    def can_give_up(self, instance: Instance) -> bool:
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

    def validate(self, content: ConfigObject) -> list[ValidationError]:
        """Return why `content` cannot be accepted."""
        if content.pool is not None:
            pool = pool_from(content.pool)
            errors = validate_pool(pool)
            return errors or self._pool_conflicts(pool)
        if content.labels is not None:
            label_set = label_set_from(content.labels)
            errors = validate_label_set(label_set)
            return errors or self._label_conflicts(label_set)
        rule = selector_rule_from(content.selector)
        errors = validate_selector_rule(rule)
        if not errors and rule.pool and rule.pool not in self.pools:
            message = f"there is no pool {rule.pool!r}"
            errors.append(ValidationError(f"selector {rule.name}", message))
        return errors

    # ---- changing ----

    def accept(self, content: ConfigObject) -> None:
        """Put a validated object in place under the next version."""
        self.version += 1
        if content.pool is not None:
            pool = replace(pool_from(content.pool), version=self.version)
            self.pools[pool.name] = pool
            self._matches.set_pool(pool.name, pool.membership)
            self._assign_all()
        elif content.labels is not None:
            label_set = replace(label_set_from(content.labels), version=self.version)
            self.labels[(label_set.kind, label_set.name)] = label_set
            if label_set.kind is LabelKind.INSTANCE:
                self._match_and_assign(label_set.name)
        else:
            rule = replace(selector_rule_from(content.selector), version=self.version)
            self.selectors[rule.name] = rule

    def report_instance(self, reported: Instance) -> bool:
        """Take over what an instance announced; return whether it was new."""
        known = self.instances.get(reported.instance_id)
        if known is not None and reported.order() <= known.order():
            return False
        self.version += 1
        if known is not None:
            reported = replace(
                reported, assignment=known.assignment, maintenance=known.maintenance
            )
        self._put_instance(reported)
        self._match_and_assign(reported.instance_id)
        return True

    def report_lost(self, instance_id: str, incarnation: str, sequence: int) -> bool:
        """Note that an endpoint has fallen silent after this announcement."""
        known = self.instances.get(instance_id)
        if known is None or known.incarnation != incarnation:
            return False
        if known.sequence > sequence or known.state is InstanceState.LOST:
            return False
        self.version += 1
        self._put_instance(replace(known, state=InstanceState.LOST, sequence=sequence))
        return True

    def grant_maintenance(self, instance_id: str, wave: str, wave_version: int) -> bool:
        """Let a wave take an instance out of service, if its pool can spare it."""
        instance = self.instances.get(instance_id)
        rule = self.selectors.get(wave)
        if instance is None or rule is None or rule.version != wave_version:
            return False
        if not self.is_due(instance, rule) or not self.can_spare(instance):
            return False
        self.version += 1
        self._put_instance(
            replace(
                instance,
                maintenance=replace(
                    instance.maintenance,
                    phase=MaintenancePhase.DRAINING,
                    wave=wave,
                    wave_version=wave_version,
                    since_version=self.version,
                    incarnation_before=instance.incarnation,
                    detail="",
                ),
            )
        )
        return True

    def advance_maintenance(self, step: AdvanceMaintenance) -> bool:
        """Take an instance to the next step of its wave."""
        instance = self.instances.get(step.instance_id)
        if instance is None:
            return False
        now = instance.maintenance
        following = MaintenancePhase(step.to_phase)
        if (now.wave, now.wave_version) != (step.wave, step.wave_version):
            return False
        if now.phase != step.from_phase or following not in FOLLOWING_PHASES[now.phase]:
            return False
        self.version += 1
        maintained = dict(now.maintained)
        if following is MaintenancePhase.NONE:
            maintained[now.wave] = now.wave_version
        changed = replace(
            now,
            phase=following,
            since_version=self.version,
            detail=step.detail or "",
            maintained=maintained,
        )
        self._put_instance(replace(instance, maintenance=changed))
        return True

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

    def report_member(self, member: Member) -> bool:
        """List a member; return whether the log listed it otherwise before."""
        known = self.members.get(member.node_id)
        if known == replace(member, since_version=known.since_version if known else 0):
            return False
        self._put_member(member)
        return True

    def suspect_member(self, node_id: str, incarnation: str) -> bool:
        """Note that control has ceased to hear a member."""
        known = self.members.get(node_id)
        if known is None or known.incarnation != incarnation or known.suspect:
            return False
        self._put_member(replace(known, suspect=True))
        return True

    def mark_member_down(self, node_id: str, incarnation: str) -> bool:
        """Count no longer on a suspected member."""
        known = self.members.get(node_id)
        if known is None or known.incarnation != incarnation:
            return False
        if not known.suspect or not known.live:
            return False
        self._put_member(replace(known, live=False))
        return True

    def begin_drain(self, instance_id: str, epoch: int) -> bool:
        """Give an instance no new work, as the first step of a move."""
        instance = self.instances.get(instance_id)
        if instance is None or instance.assignment.epoch != epoch:
            return False
        if instance.assignment.phase is not AssignmentPhase.ASSIGNED:
            return False
        if instance.maintenance.phase.is_under_way():
            return False  # The wave ends first.
        # Judged here, where the log orders everything: no race and no change of
        # leader can spend a budget twice.
        if not self.can_give_up(instance):
            return False
        self.version += 1
        self._put_assignment(
            instance, replace(instance.assignment, phase=AssignmentPhase.DRAINING)
        )
        return True

    def finish_drain(self, instance_id: str, epoch: int) -> bool:
        """Assign a drained instance to the pool that it matches now, if any."""
        instance = self.instances.get(instance_id)
        if instance is None or instance.assignment.epoch != epoch:
            return False
        if instance.assignment.phase is not AssignmentPhase.DRAINING:
            return False
        self.version += 1
        released = Assignment(epoch=epoch, since_version=self.version)
        self._put_instance(instance.assigned(released))
        self._assign(self.instances[instance_id])
        return True

    def replay(self, command: Command) -> None:
        """Apply a command that the log has already accepted."""
        if command.change is not None:
            self.accept(command.change.content)
        elif command.instance is not None:
            self.report_instance(instance_from(command.instance.instance))
        elif command.member is not None:
            self.report_member(member_from(command.member.member))
        elif command.suspect_member is not None:
            suspect = command.suspect_member
            self.suspect_member(suspect.node_id, suspect.incarnation)
        elif command.mark_member_down is not None:
            down = command.mark_member_down
            self.mark_member_down(down.node_id, down.incarnation)
        elif command.lost is not None:
            lost = command.lost
            self.report_lost(lost.instance_id, lost.incarnation, lost.sequence)
        elif command.grant_maintenance is not None:
            grant = command.grant_maintenance
            self.grant_maintenance(grant.instance_id, grant.wave, grant.wave_version)
        elif command.advance_maintenance is not None:
            self.advance_maintenance(command.advance_maintenance)
        elif command.begin_drain is not None:
            drain = command.begin_drain
            self.begin_drain(drain.instance_id, drain.epoch)
        elif command.finish_drain is not None:
            finish = command.finish_drain
            self.finish_drain(finish.instance_id, finish.epoch)

    # ---- as a record ----

    def to_record(self) -> Configuration:
        """Return the whole configuration as a record."""
        return Configuration(
            version=self.version,
            pools=[pool_record(pool) for pool in self.pools.values()],
            labels=[labels_record(item) for item in self.labels.values()],
            selectors=[selector_record(rule) for rule in self.selectors.values()],
            instances=[instance_record(item) for item in self.instances.values()],
            members=[member_record(member) for member in self.members.values()],
        )

    @classmethod
    def from_record(cls, record: Configuration) -> "FleetConfiguration":
        """Return the configuration of a record."""
        found = cls()
        found.version = record.version
        found.pools = {item.name: pool_from(item) for item in record.pools}
        for item in record.labels:
            label_set = label_set_from(item)
            found.labels[(label_set.kind, label_set.name)] = label_set
        found.selectors = {r.name: selector_rule_from(r) for r in record.selectors}
        found.instances = {r.instance_id: instance_from(r) for r in record.instances}
        found.members = {r.node_id: member_from(r) for r in record.members}
        found._cut_off = _cut_off(found.members.values())
        for instance in found.instances.values():
            found._pool_members.put(instance)
        for pool in found.pools.values():
            found._matches.set_pool(pool.name, pool.membership)
        for instance in found.instances.values():
            labels = found.instance_labels(instance)
            found._matches.set_instance(instance.instance_id, labels)
        return found

    # ---- details ----

    def _match_and_assign(self, instance_id: str) -> None:
        instance = self.instances.get(instance_id)
        if instance is None:
            return  # Labelled before its first announcement.
        self._matches.set_instance(instance_id, self.instance_labels(instance))
        self._assign(instance)

    def _assign_all(self) -> None:
        for instance in list(self.instances.values()):
            self._assign(instance)

    def _assign(self, instance: Instance) -> None:
        """Give an unassigned instance its pool, or note the conflict."""
        assignment = instance.assignment
        matching = self._matches.pools_of(instance.instance_id)
        conflict = _conflict_text(matching) if len(matching) > 1 else ""
        if assignment.phase is AssignmentPhase.UNASSIGNED and len(matching) == 1:
            assignment = Assignment(
                pool=next(iter(matching)),
                epoch=assignment.epoch + 1,
                phase=AssignmentPhase.ASSIGNED,
                since_version=self.version,
            )
        elif assignment.conflict != conflict:
            assignment = replace(assignment, conflict=conflict)
        if assignment != instance.assignment:
            self._put_instance(instance.assigned(assignment))

    def _put_instance(self, instance: Instance) -> None:
        self.instances[instance.instance_id] = instance
        self._pool_members.put(instance)

    def _put_assignment(self, instance: Instance, assignment: Assignment) -> None:
        dated = replace(assignment, since_version=self.version)
        self._put_instance(instance.assigned(dated))

    def _put_member(self, member: Member) -> None:
        self.version += 1
        self.members[member.node_id] = replace(member, since_version=self.version)
        self._cut_off = _cut_off(self.members.values())

    def _pool_conflicts(self, pool: Pool) -> list[ValidationError]:
        would_match = self._matches.with_pool(pool.name, pool.membership)
        errors = []
        for instance_id, found in would_match.items():
            fresh = found != self._matches.pools_of(instance_id)
            if len(found) > 1 and fresh:
                message = f"instance {instance_id} {_conflict_text(found)}"
                errors.append(ValidationError(f"pool {pool.name}", message))
        return _bounded(errors, f"pool {pool.name}")

    def _label_conflicts(self, label_set: LabelSet) -> list[ValidationError]:
        instance = self.instances.get(label_set.name)
        if label_set.kind is not LabelKind.INSTANCE or instance is None:
            return []
        labels = {**instance.placement_labels(), **label_set.labels}
        found = self._matches.with_labels(labels)
        if len(found) < 2:
            return []
        message = f"instance {label_set.name} {_conflict_text(found)}"
        return [ValidationError(f"labels instance/{label_set.name}", message)]


def _cut_off(members: Iterable[Member]) -> frozenset[str]:
    """Return the data centres of which control hears nobody."""
    heard = {m.data_centre for m in members if m.live and not m.suspect}
    return frozenset(m.data_centre for m in members) - heard


def _conflict_text(pools: frozenset[str]) -> str:
    return f"would match {len(pools)} pools: {', '.join(sorted(pools))}"


def _bounded(errors: list[ValidationError], source: str) -> list[ValidationError]:
    if len(errors) <= MAX_CONFLICTS_LISTED:
        return errors
    hidden = len(errors) - MAX_CONFLICTS_LISTED
    more = ValidationError(source, f"and {hidden} instances more")
    return [*errors[:MAX_CONFLICTS_LISTED], more]
