"""The mover: moves instances between pools, in steps that are commands in the log.

First the instance is drained: it is given no new work.  When every member of its data
centre has acknowledged that or has no lease left, and the work on the instance has
ended or timed out, the instance is assigned to the pool that it matches.  So it is in
at most one pool at any time.
"""

from arbutuscleat.core import AssignmentPhase, Clock, Instance
from arbutuscleat.state import FleetConfiguration
from arbutuscleat.wire.gen.ttypes import BeginDrain, Command, FinishDrain

from .drain_check import DrainCheck


class Mover:
    """Decides when a move begins and when it is completed.

    Parameters
    ----------
    drain_check : DrainCheck
        Checks whether instances are drained.
    clock : Clock
        Source of time.
    """

    def __init__(self, drain_check: DrainCheck, clock: Clock):
        self._drain_check = drain_check
        self._clock = clock
        # When this control instance first saw a drain, by instance id and epoch.
        self._drain_seen_at: dict[tuple[str, int], float] = {}

    def decide(self, configuration: FleetConfiguration) -> list[Command]:
        """Return the commands that begin or complete a drain."""
        commands = []
        draining = {}
        for instance in configuration.in_transition():
            if instance.assignment.phase is not AssignmentPhase.DRAINING:
                continue
            key = (instance.instance_id, instance.assignment.epoch)
            since = self._drain_seen_at.get(key, self._clock.monotonic())
            draining[key] = since
            version = instance.assignment.since_version
            waited = self._clock.monotonic() - since
            if self._drain_check.is_drained(instance, configuration, version, waited):
                commands.append(_finish_drain(instance))
        for instance in configuration.misplaced():
            if self._may_move(instance, configuration):
                commands.append(_begin_drain(instance, "move"))
        self._drain_seen_at = draining
        return commands

    def _may_move(self, instance: Instance, configuration: FleetConfiguration) -> bool:
        """Return whether an instance should move and its pool can spare it.

        An instance that matches several pools is in conflict and stays where it is.
        """
        pool_name = instance.assignment.pool
        matching = configuration.pools_matching(instance.instance_id)
        if pool_name in matching or len(matching) > 1:
            return False
        return configuration.can_reassign(instance)


def _begin_drain(instance: Instance, reason: str) -> Command:
    return Command(
        begin_drain=BeginDrain(
            instance_id=instance.instance_id,
            epoch=instance.assignment.epoch,
            reason=reason,
        )
    )


def _finish_drain(instance: Instance) -> Command:
    return Command(
        finish_drain=FinishDrain(
            instance_id=instance.instance_id, epoch=instance.assignment.epoch
        )
    )
