"""The mover: takes instances from one pool to another, in logged steps.

Drain: the instance gets no new work.  Then every dispatcher of its data centre has
acknowledged that, and what ran on it has ended or timed out.  Only then is it
assigned to the pool that it matches, so it is in one pool at any moment.
"""

from dataclasses import dataclass

from arbutuscleat.core import AssignmentPhase, Clock, Instance
from arbutuscleat.membership import AckTable
from arbutuscleat.state import FleetConfiguration, Member
from arbutuscleat.wire.gen.ttypes import BeginDrain, Command, FinishDrain

from .dispatch_gate import DispatchGate


@dataclass(frozen=True)
class MoveLimits:
    """Bounds of moves.

    Parameters
    ----------
    drain_seconds : float
        After this time an instance is assigned even if a silent member's work may
        still run on it.
    """

    drain_seconds: float = 120.0


class Mover:
    """Decides on moves.

    Parameters
    ----------
    acks : AckTable
        What was heard of the entry instances.
    gate : DispatchGate
        Judges whether work may still be dispatched.
    clock : Clock
        Source of time.
    limits : MoveLimits
        Bounds of moves.
    """

    def __init__(
        self, acks: AckTable, gate: DispatchGate, clock: Clock, limits: MoveLimits
    ):
        self._acks = acks
        self._gate = gate
        self._clock = clock
        self._limits = limits
        self._seen_draining: dict[tuple[str, int], float] = {}

    def decide(self, configuration: FleetConfiguration) -> list[Command]:
        """Return the commands that are due."""
        commands = []
        draining = {}
        for instance in configuration.unsettled():
            if instance.assignment.phase is not AssignmentPhase.DRAINING:
                continue
            key = (instance.instance_id, instance.assignment.epoch)
            since = self._seen_draining.get(key, self._clock.monotonic())
            draining[key] = since
            if self._is_drained(instance, configuration, since):
                commands.append(_finish(instance))
        for instance in configuration.misplaced():
            if self._may_leave(instance, configuration):
                commands.append(_begin(instance, "move"))
        self._seen_draining = draining
        return commands

    def _may_leave(self, instance: Instance, configuration: FleetConfiguration) -> bool:
        """Return whether an instance should move and its pool can spare it."""
        pool_name = instance.assignment.pool
        matching = configuration.pools_matching(instance.instance_id)
        if pool_name in matching or len(matching) > 1:
            return False
        return configuration.can_give_up(instance)

    def _is_drained(
        self, instance: Instance, configuration: FleetConfiguration, since: float
    ) -> bool:
        here = _members_at(configuration, instance.data_centre)
        verdict = self._gate.check(here, instance.assignment.since_version)
        if not verdict.is_open:
            return False
        waited = self._clock.monotonic() - since
        if waited >= self._limits.drain_seconds:
            return True
        if verdict.silent:
            return False  # What they have sent may still run.
        return not any(
            self._acks.is_busy(member.node_id, instance.instance_id) for member in here
        )


def _members_at(configuration: FleetConfiguration, data_centre: str) -> list[Member]:
    return [
        member
        for member in configuration.members.values()
        if member.data_centre == data_centre
    ]


def _begin(instance: Instance, reason: str) -> Command:
    return Command(
        begin_drain=BeginDrain(
            instance_id=instance.instance_id,
            epoch=instance.assignment.epoch,
            reason=reason,
        )
    )


def _finish(instance: Instance) -> Command:
    return Command(
        finish_drain=FinishDrain(
            instance_id=instance.instance_id, epoch=instance.assignment.epoch
        )
    )
