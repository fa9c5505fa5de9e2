"""The member failure detector: marks silent entry instances as down.

A member may still dispatch while it holds a lease.  Members that have acknowledged a
version grant no lease to a member that lacks it.  Once one of them has acknowledged
such a version and every lease granted before has expired, the silent member is marked
down.  The other members then no longer need its lease or its share of the slots.  If
there is no version that the silent member lacks, marking it as suspect creates one.
A data centre in which no member is heard from is left unchanged.
"""

from arbutuscleat.core import Clock
from arbutuscleat.membership import AckTable
from arbutuscleat.state import FleetConfiguration, Member
from arbutuscleat.wire.gen.ttypes import Command, MarkMemberDown, SuspectMember

from .dispatch_gate import DispatchGate


class MemberFailureDetector:
    """Decides which members to mark as suspect or down.

    Parameters
    ----------
    acks : AckTable
        Time of the last report and acknowledged version of each member.
    gate : DispatchGate
        Checks whether a silent member may still dispatch.
    clock : Clock
        Source of time.
    silence_seconds : float
        Time without a report after which a member is suspected.
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
        """Return the commands that are due.

        Parameters
        ----------
        configuration : FleetConfiguration
            The current configuration with its members.
        led_since : float
            When this control instance became leader, in monotonic seconds.

        Returns
        -------
        list of Command
            Commands that mark a member as suspect or down.
        """
        commands = []
        for member in list(configuration.members.values()):
            if not member.live or not self._is_silent(member, led_since):
                continue
            lacking = self._acks.held_version(member.node_id, member.incarnation) + 1
            if lacking > configuration.version:
                commands.append(_suspect(member))
            elif self._may_mark_down(member, lacking, configuration):
                commands.append(_mark_down(member))
        return commands

    def _is_silent(self, member: Member, led_since: float) -> bool:
        heard = self._acks.heard_at(member.node_id, member.incarnation)
        # A new leader has no reports yet, so silence counts from its election.
        return self._clock.monotonic() - max(heard, led_since) > self._silence_seconds

    def _may_mark_down(
        self, member: Member, version: int, configuration: FleetConfiguration
    ) -> bool:
        local_members = [
            other
            for other in configuration.members.values()
            if other.data_centre == member.data_centre
        ]
        verdict = self._gate.check(local_members, version)
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
