"""Conversion between the value types of the library and thrift records."""

from arbutuscleat.core import (
    Assignment,
    AssignmentPhase,
    Instance,
    InstanceState,
    Maintenance,
    MaintenancePhase,
    Pool,
    SelectorPurpose,
    SelectorRule,
)
from arbutuscleat.wire.gen.ttypes import (
    InstanceRecord,
    LabelsRecord,
    MemberRecord,
    PoolRecord,
    SelectorRecord,
)

from .label_set import LabelKind, LabelSet
from .member import Member


def pool_from(record: PoolRecord) -> Pool:
    """Convert a thrift record to a pool."""
    return Pool(
        name=record.name,
        service=record.service_name,
        min_available=record.min_available,
        spare=record.spare,
        membership=record.membership,
        version=record.version or 0,
    )


def pool_record(pool: Pool) -> PoolRecord:
    """Convert a pool to a thrift record."""
    return PoolRecord(
        name=pool.name,
        service_name=pool.service,
        min_available=pool.min_available,
        spare=pool.spare,
        membership=pool.membership,
        version=pool.version,
    )


def label_set_from(record: LabelsRecord) -> LabelSet:
    """Convert a thrift record to a label set."""
    return LabelSet(
        kind=LabelKind(record.kind),
        name=record.name,
        labels=dict(record.labels or {}),
        version=record.version or 0,
    )


def labels_record(label_set: LabelSet) -> LabelsRecord:
    """Convert a label set to a thrift record."""
    return LabelsRecord(
        kind=label_set.kind.value,
        name=label_set.name,
        labels=dict(label_set.labels),
        version=label_set.version,
    )


def selector_rule_from(record: SelectorRecord) -> SelectorRule:
    """Convert a thrift record to a selector rule."""
    return SelectorRule(
        name=record.name,
        purpose=SelectorPurpose(record.purpose),
        jobs=record.jobs or "",
        instances=record.instances or "",
        pool=record.pool or "",
        version=record.version or 0,
    )


def selector_record(rule: SelectorRule) -> SelectorRecord:
    """Convert a selector rule to a thrift record."""
    return SelectorRecord(
        name=rule.name,
        purpose=rule.purpose.value,
        jobs=rule.jobs,
        instances=rule.instances,
        pool=rule.pool,
        version=rule.version,
    )


def instance_from(record: InstanceRecord) -> Instance:
    """Convert a thrift record to an instance."""
    return Instance(
        instance_id=record.instance_id,
        incarnation=record.incarnation,
        host=record.host,
        port=record.port,
        data_centre=record.data_centre,
        rack=record.rack,
        labels=dict(record.labels or {}),
        services=tuple(record.services or ()),
        slots=record.slots,
        connections=record.connections,
        state=InstanceState(record.state),
        sequence=record.sequence,
        assignment=Assignment(
            pool=record.pool or "",
            epoch=record.epoch or 0,
            phase=AssignmentPhase(record.phase or AssignmentPhase.UNASSIGNED),
            conflict=record.conflict or "",
            since_version=record.since_version or 0,
        ),
        maintenance=Maintenance(
            phase=MaintenancePhase(record.maintenance_phase or MaintenancePhase.NONE),
            wave=record.wave or "",
            wave_version=record.wave_version or 0,
            since_version=record.maintenance_since or 0,
            incarnation_before=record.incarnation_before or "",
            detail=record.maintenance_detail or "",
            maintained=dict(record.maintained or {}),
        ),
    )


def instance_record(instance: Instance) -> InstanceRecord:
    """Convert an instance to a thrift record."""
    return InstanceRecord(
        instance_id=instance.instance_id,
        incarnation=instance.incarnation,
        host=instance.host,
        port=instance.port,
        data_centre=instance.data_centre,
        rack=instance.rack,
        labels=dict(instance.labels),
        services=list(instance.services),
        slots=instance.slots,
        connections=instance.connections,
        state=instance.state.value,
        sequence=instance.sequence,
        pool=instance.assignment.pool,
        epoch=instance.assignment.epoch,
        phase=instance.assignment.phase.value,
        conflict=instance.assignment.conflict,
        since_version=instance.assignment.since_version,
        maintenance_phase=instance.maintenance.phase.value,
        wave=instance.maintenance.wave,
        wave_version=instance.maintenance.wave_version,
        maintenance_since=instance.maintenance.since_version,
        incarnation_before=instance.maintenance.incarnation_before,
        maintenance_detail=instance.maintenance.detail,
        maintained=dict(instance.maintenance.maintained),
    )


def member_from(record: MemberRecord) -> Member:
    """Convert a thrift record to a member."""
    return Member(
        node_id=record.node_id,
        incarnation=record.incarnation,
        data_centre=record.data_centre,
        host=record.host,
        port=record.port,
        durable=record.durable,
        live=record.live,
        suspect=bool(record.suspect),
        since_version=record.since_version or 0,
    )


def member_record(member: Member) -> MemberRecord:
    """Convert a member to a thrift record."""
    return MemberRecord(
        node_id=member.node_id,
        incarnation=member.incarnation,
        data_centre=member.data_centre,
        host=member.host,
        port=member.port,
        durable=member.durable,
        live=member.live,
        suspect=member.suspect,
        since_version=member.since_version,
    )
