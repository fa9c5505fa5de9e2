"""The mover: takes instances from one pool to another, in logged steps.

Drain: the instance gets no new work.  Then every dispatcher of its data centre has
acknowledged that, and what ran on it has ended or timed out.  Only then is it
assigned to the pool that it matches, so it is in one pool at any moment.
"""

from arbutuscleat.core import AssignmentPhase, Clock, Instance
from arbutuscleat.state import FleetConfiguration
from arbutuscleat.wire.gen.ttypes import BeginDrain, Command, FinishDrain

from .drain_check import DrainCheck


class Mover:
    """Decides on moves.

    Parameters
    ----------
    drains : DrainCheck
        Judges drained instances.
    clock : Clock
        Source of time.
    """

    def __init__(self, drains: DrainCheck, clock: Clock):
        self._drains = drains
        self._clock = clock
        self._seen_draining: dict[tuple[str, int], float] = {}

    def decide(self, configuration: FleetConfiguration) -> list[Command]:
        """Return the commands that are due."""
        commands = []
        draining = {}
        for instance in configuration.in_transition():
            if instance.assignment.phase is not AssignmentPhase.DRAINING:
                continue
            key = (instance.instance_id, instance.assignment.epoch)
            since = self._seen_draining.get(key, self._clock.monotonic())
            draining[key] = since
            version = instance.assignment.since_version
            waited = self._clock.monotonic() - since
            if self._drains.is_drained(instance, configuration, version, waited):
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
        return configuration.can_reassign(instance)


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
