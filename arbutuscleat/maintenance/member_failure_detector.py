"""The member watch: marks silent entry instances down.

A silent member holds leases only of those who have not acknowledged a version that
it lacks.  Once somebody has, and every lease from before has ended, it is marked
down, and the others need its lease and its share of slots no longer.  Where no
newer version exists, suspecting the member makes one.  A data centre in which nobody
is heard stays as it is.
"""

from arbutuscleat.core import Clock
from arbutuscleat.membership import AckTable
from arbutuscleat.state import FleetConfiguration, Member
from arbutuscleat.wire.gen.ttypes import Command, MarkMemberDown, SuspectMember

from .dispatch_gate import DispatchGate


class MemberFailureDetector:
    """Decides on members.

    Parameters
    ----------
    acks : AckTable
        What was heard of them.
    gate : DispatchGate
        Judges whether a silent member may still dispatch.
    clock : Clock
        Source of time.
    silence_seconds : float
        Silence after which a member is suspected.
    """

    def __init__(
        self,
        acks: AckTable,
        gate: DispatchGate,
        clock: Clock,
        silence_seconds: float,
    ):
        self._acks = acks
        self._gate = gate
        self._clock = clock
        self._silence_seconds = silence_seconds

    def decide(
        self, configuration: FleetConfiguration, led_since: float
    ) -> list[Command]:
        """Return the commands that are due."""
        commands = []
        for member in list(configuration.members.values()):
            if not member.live or not self._is_silent(member, led_since):
                continue
            missing = self._acks.held_version(member.node_id, member.incarnation) + 1
            if missing > configuration.version:
                commands.append(_suspect(member))
            elif self._may_mark_down(member, missing, configuration):
                commands.append(_mark_down(member))
        return commands

    def _is_silent(self, member: Member, led_since: float) -> bool:
        heard = self._acks.heard_at(member.node_id, member.incarnation)
        # A new leader has heard nobody yet.
        return self._clock.monotonic() - max(heard, led_since) > self._silence_seconds

    def _may_mark_down(
        self, member: Member, version: int, configuration: FleetConfiguration
    ) -> bool:
        here = [
            other
            for other in configuration.members.values()
            if other.data_centre == member.data_centre
        ]
        verdict = self._gate.check(here, version)
        return verdict.is_open and member.node_id in verdict.unacknowledged


def _suspect(member: Member) -> Command:
    return Command(
        suspect_member=SuspectMember(
            node_id=member.node_id, incarnation=member.incarnation
        )
    )


def _mark_down(member: Member) -> Command:
    return Command(
        mark_member_down=MarkMemberDown(
            node_id=member.node_id, incarnation=member.incarnation
        )
    )
