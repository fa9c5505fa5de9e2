"""State transitions of instances and members.

The preconditions of every transition are checked here, when the command is applied
in log order.  So neither a race nor a change of leader can spend a budget twice or
perform a step out of order.
"""

from dataclasses import replace

from arbutuscleat.core import (
    PHASE_TRANSITIONS,
    Assignment,
    AssignmentPhase,
    Instance,
    InstanceState,
    MaintenancePhase,
)
from arbutuscleat.wire.gen.ttypes import (
    AdvanceMaintenance,
)

from .fleet_index import FleetIndex
from .member import Member


class FleetTransitions(FleetIndex):
    """Transitions for announcements, moves, maintenance and member failures.

    Each method checks its preconditions and returns whether it changed the state.
    """

    def report_instance(self, reported: Instance) -> bool:
        """Store an announcement unless the one held is as new or newer."""
        known = self.instances.get(reported.instance_id)
        if known is not None and reported.order() <= known.order():
            return False
        self.version += 1
        if known is not None:
            reported = replace(
                reported, assignment=known.assignment, maintenance=known.maintenance
            )
        self._store_instance(reported)
        self._match_and_assign(reported.instance_id)
        return True

    def report_lost(self, instance_id: str, incarnation: str, sequence: int) -> bool:
        """Mark an endpoint as lost.

        Parameters
        ----------
        instance_id, incarnation : str
            The endpoint that no longer sends announcements.
        sequence : int
            Sequence number of its last announcement; the report is ignored if the
            log holds a later one.
        """
        known = self.instances.get(instance_id)
        if known is None or known.incarnation != incarnation:
            return False
        if known.sequence > sequence or known.state is InstanceState.LOST:
            return False
        self.version += 1
        self._store_instance(
            replace(known, state=InstanceState.LOST, sequence=sequence)
        )
        return True

    def report_member(self, member: Member) -> bool:
        """Register or update a member; return whether anything changed."""
        known = self.members.get(member.node_id)
        if known == replace(member, since_version=known.since_version if known else 0):
            return False
        self._store_member(member)
        return True

    def suspect_member(self, node_id: str, incarnation: str) -> bool:
        """Mark a member as suspect: control no longer hears from it."""
        known = self.members.get(node_id)
        if known is None or known.incarnation != incarnation or known.suspect:
            return False
        self._store_member(replace(known, suspect=True))
        return True

    def mark_member_down(self, node_id: str, incarnation: str) -> bool:
        """Mark a silent member as down; its leases are no longer required."""
        known = self.members.get(node_id)
        if known is None or known.incarnation != incarnation or not known.live:
            return False
        self._store_member(replace(known, suspect=True, live=False))
        return True

    def begin_drain(self, instance_id: str, epoch: int) -> bool:
        """Stop assigning work to an instance, as the first step of a move."""
        instance = self.instances.get(instance_id)
        if instance is None or instance.assignment.epoch != epoch:
            return False
        if instance.assignment.phase is not AssignmentPhase.ASSIGNED:
            return False
        if instance.maintenance.phase.is_under_way():
            return False  # Maintenance must finish before a move starts.
        # The budget is checked when the command is applied in log order: neither a
        # race nor a change of leader can spend it twice.
        if not self.can_reassign(instance):
            return False
        self.version += 1
        self._set_assignment(
            instance, replace(instance.assignment, phase=AssignmentPhase.DRAINING)
        )
        return True

    def finish_drain(self, instance_id: str, epoch: int) -> bool:
        """Assign a drained instance to the pool that it currently matches, if any."""
        instance = self.instances.get(instance_id)
        if instance is None or instance.assignment.epoch != epoch:
            return False
        if instance.assignment.phase is not AssignmentPhase.DRAINING:
            return False
        self.version += 1
        released = Assignment(epoch=epoch, since_version=self.version)
        self._store_instance(instance.with_assignment(released))
        self._assign(self.instances[instance_id])
        return True

    def grant_maintenance(self, instance_id: str, wave: str, wave_version: int) -> bool:
        """Start maintenance of an instance if it is due and its pool can spare it."""
        instance = self.instances.get(instance_id)
        rule = self.selectors.get(wave)
        if instance is None or rule is None or rule.version != wave_version:
            return False
        if not self.is_due(instance, rule) or not self.can_spare(instance):
            return False
        self.version += 1
        self._store_instance(
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
        """Advance an instance to the next maintenance phase of its wave."""
        instance = self.instances.get(step.instance_id)
        if instance is None:
            return False
        current = instance.maintenance
        next_phase = MaintenancePhase(step.to_phase)
        if (current.wave, current.wave_version) != (step.wave, step.wave_version):
            return False
        if (
            current.phase != step.from_phase
            or next_phase not in PHASE_TRANSITIONS[current.phase]
        ):
            return False
        self.version += 1
        maintained = dict(current.maintained)
        if next_phase is MaintenancePhase.NONE:
            maintained[current.wave] = current.wave_version
        changed = replace(
            current,
            phase=next_phase,
            since_version=self.version,
            detail=step.detail or "",
            maintained=maintained,
        )
        self._store_instance(replace(instance, maintenance=changed))
        return True

    def _match_and_assign(self, instance_id: str) -> None:
        instance = self.instances.get(instance_id)
        if instance is None:
            return  # Operators may label an instance before it first announces itself.
        self._matches.set_instance(instance_id, self.instance_labels(instance))
        self._assign(instance)

    def _assign_all(self) -> None:
        for instance in list(self.instances.values()):
            self._assign(instance)

    def _assign(self, instance: Instance) -> None:
        """Assign an unassigned instance to its pool, or store the conflict."""
        assignment = instance.assignment
        matching = self._matches.pools_of(instance.instance_id)
        conflict = conflict_text(matching) if len(matching) > 1 else ""
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
            self._store_instance(instance.with_assignment(assignment))
        else:
            self._update_misplaced(instance)

    def _set_assignment(self, instance: Instance, assignment: Assignment) -> None:
        versioned = replace(assignment, since_version=self.version)
        self._store_instance(instance.with_assignment(versioned))


def conflict_text(pools: frozenset[str]) -> str:
    """Return the error message for an instance that matches several pools."""
    return f"would match {len(pools)} pools: {', '.join(sorted(pools))}"
