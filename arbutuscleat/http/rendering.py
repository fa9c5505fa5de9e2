"""JSON representations of configuration objects for the operator API."""

from typing import Any

from arbutuscleat.core import AssignmentPhase, Instance, Pool, SelectorRule
from arbutuscleat.maintenance import WavePlanner, WaveView, view_wave
from arbutuscleat.state import FleetConfiguration, LabelSet
from arbutuscleat.wire.gen.ttypes import ChangeResult, NodeStatus


def pool_json(pool: Pool, configuration: FleetConfiguration) -> dict[str, Any]:
    """Return a pool with its capacity and its instances."""
    members = sorted(
        instance.instance_id for instance in configuration.instances_of(pool.name)
    )
    return {
        "name": pool.name,
        "service": pool.service,
        "min_available": pool.min_available,
        "spare": pool.spare,
        "membership": pool.membership,
        "version": pool.version,
        "available": configuration.available(pool.name),
        "headroom": configuration.headroom(pool.name),
        "instances": members,
    }


def labels_json(label_set: LabelSet) -> dict[str, Any]:
    """Return a label set."""
    return {
        "target": label_set.kind.value,
        "name": label_set.name,
        "labels": dict(label_set.labels),
        "version": label_set.version,
    }


def selector_json(rule: SelectorRule) -> dict[str, Any]:
    """Return a stored selector."""
    return {
        "name": rule.name,
        "purpose": rule.purpose.value,
        "jobs": rule.jobs,
        "instances": rule.instances,
        "pool": rule.pool,
        "version": rule.version,
    }


def instance_json(
    instance: Instance, configuration: FleetConfiguration
) -> dict[str, Any]:
    """Return an instance with its pool assignment and maintenance state."""
    assignment = instance.assignment
    return {
        "instance_id": instance.instance_id,
        "incarnation": instance.incarnation,
        "address": f"{instance.host}:{instance.port}",
        "data_centre": instance.data_centre,
        "rack": instance.rack,
        "labels": configuration.instance_labels(instance),
        "services": list(instance.services),
        "slots": instance.slots,
        "state": instance.state.value,
        "pool": assignment.pool,
        "epoch": assignment.epoch,
        "phase": assignment.phase.value,
        "conflict": assignment.conflict,
        "maintenance": instance.maintenance.phase.value,
        "wave": instance.maintenance.wave,
        "maintenance_detail": instance.maintenance.detail,
        "available": configuration.is_available(instance),
    }


def wave_json(rule: SelectorRule, configuration: FleetConfiguration) -> dict[str, Any]:
    """Return the progress of a wave, and why its instances are waiting."""
    view = view_wave(rule, configuration)
    planner = WavePlanner()
    return {
        "name": rule.name,
        "instances": rule.instances,
        "version": rule.version,
        "state": _wave_state(view),
        "paused_because": view.paused_because(),
        "done": len(view.done),
        "under_way": {i.instance_id: i.maintenance.phase.value for i in view.under_way},
        "failed": {i.instance_id: i.maintenance.detail for i in view.failed},
        "waiting": {
            i.instance_id: planner.why_waiting(i, view, configuration)
            for i in view.waiting
        },
    }


def _wave_state(view: WaveView) -> str:
    if view.paused_because():
        return "paused"
    return "over" if view.is_over() else "running"


def explain_instance(
    instance: Instance, configuration: FleetConfiguration
) -> dict[str, Any]:
    """Return an instance, the pools that it matches and the reason for its pool."""
    content = instance_json(instance, configuration)
    matching = sorted(configuration.pools_matching(instance.instance_id))
    content["matches"] = matching
    content["because"] = _assignment_reason(instance, matching, configuration)
    return content


def change_json(result: ChangeResult) -> dict[str, Any]:
    """Return the result of a change: its version, or why it was refused."""
    return {
        "change_id": result.change_id,
        "accepted": result.accepted,
        "version": result.version,
        "reason": result.reason or "",
        "detail": result.detail or "",
        "source": result.source or "",
    }


def node_json(node: NodeStatus) -> dict[str, Any]:
    """Return the last report of an entry instance."""
    return {
        "node_id": node.node_id,
        "data_centre": node.data_centre,
        "in_force_version": node.in_force_version,
        "age_ms": node.age_ms,
    }


def _assignment_reason(
    instance: Instance, matching: list[str], configuration: FleetConfiguration
) -> str:
    assignment = instance.assignment
    if assignment.conflict:
        return f"conflict: the instance {assignment.conflict}"
    if assignment.phase is AssignmentPhase.UNASSIGNED:
        return "no pool's membership selector matches its labels"
    pool = configuration.pools[assignment.pool]
    if assignment.pool in matching:
        return f"membership selector of pool {pool.name}: {pool.membership}"
    return (
        f"assigned to pool {pool.name} earlier; it no longer matches {pool.membership}"
    )
