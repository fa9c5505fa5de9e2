"""The fleet configuration: what operators configured and what instances reported.

The same class runs in the control instances, which apply commands from the log,
and in the entry instances, which apply the same commands as deltas.  It must be
deterministic: it uses no clock, no random numbers and no state of the process.
"""

from dataclasses import replace

from arbutuscleat.core import (
    Pool,
    ValidationError,
    validate_pool,
    validate_selector_rule,
)
from arbutuscleat.wire.gen.ttypes import (
    Command,
    ConfigObject,
    Configuration,
)

from .fleet_index import find_unreachable
from .fleet_transitions import FleetTransitions, conflict_text
from .label_set import LabelKind, LabelSet, validate_label_set
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

MAX_CONFLICTS_LISTED = 5  # A selector can conflict on every instance of the fleet.


class FleetConfiguration(FleetTransitions):
    """The state of the fleet according to the log.

    It validates and accepts changes of operators, replays committed commands, and
    converts itself to and from a thrift record.
    """

    def validate(self, content: ConfigObject) -> list[ValidationError]:
        """Return the reasons why `content` cannot be accepted; empty if it can."""
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

    def accept(self, content: ConfigObject) -> None:
        """Store a validated object under the next configuration version."""
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

    def replay(self, command: Command) -> None:
        """Apply a command that was accepted when it was committed to the log."""
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

    def to_record(self) -> Configuration:
        """Return the complete configuration as a thrift record."""
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
        """Return the configuration that a thrift record describes."""
        configuration = cls()
        configuration.version = record.version
        configuration.pools = {item.name: pool_from(item) for item in record.pools}
        for item in record.labels:
            label_set = label_set_from(item)
            configuration.labels[(label_set.kind, label_set.name)] = label_set
        configuration.selectors = {
            r.name: selector_rule_from(r) for r in record.selectors
        }
        configuration.instances = {
            r.instance_id: instance_from(r) for r in record.instances
        }
        configuration.members = {r.node_id: member_from(r) for r in record.members}
        configuration._unreachable = find_unreachable(configuration.members.values())
        for pool in configuration.pools.values():
            configuration._matches.set_pool(pool.name, pool.membership)
        for instance in list(configuration.instances.values()):
            labels = configuration.instance_labels(instance)
            configuration._matches.set_instance(instance.instance_id, labels)
            configuration._store_instance(instance)
        return configuration

    def _pool_conflicts(self, pool: Pool) -> list[ValidationError]:
        matches = self._matches.matches_with_pool(pool.name, pool.membership)
        errors = []
        for instance_id, matching in matches.items():
            is_new = matching != self._matches.pools_of(instance_id)
            if len(matching) > 1 and is_new:
                message = f"instance {instance_id} {conflict_text(matching)}"
                errors.append(ValidationError(f"pool {pool.name}", message))
        return _truncate_errors(errors, f"pool {pool.name}")

    def _label_conflicts(self, label_set: LabelSet) -> list[ValidationError]:
        instance = self.instances.get(label_set.name)
        if label_set.kind is not LabelKind.INSTANCE or instance is None:
            return []
        labels = {**instance.placement_labels(), **label_set.labels}
        matching = self._matches.matches_with_labels(labels)
        if len(matching) < 2:
            return []
        message = f"instance {label_set.name} {conflict_text(matching)}"
        return [ValidationError(f"labels instance/{label_set.name}", message)]


def _truncate_errors(
    errors: list[ValidationError], source: str
) -> list[ValidationError]:
    if len(errors) <= MAX_CONFLICTS_LISTED:
        return errors
    hidden = len(errors) - MAX_CONFLICTS_LISTED
    more = ValidationError(source, f"and {hidden} instances more")
    return [*errors[:MAX_CONFLICTS_LISTED], more]
