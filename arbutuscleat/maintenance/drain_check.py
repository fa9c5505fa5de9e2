"""The drain check: whether an instance has finished all work dispatched to it.

Moves between pools and maintenance share this check.  An instance is drained when no
member can dispatch new work to it under an older version, and the work dispatched
earlier has ended or the drain timeout has passed.
"""

from arbutuscleat.core import Instance
from arbutuscleat.membership import AckTable
from arbutuscleat.state import FleetConfiguration

from .dispatch_gate import DispatchGate


class DrainCheck:
    """Checks whether instances are drained.

    Parameters
    ----------
    acks : AckTable
        Reports of the entry instances on the work that is still running.
    gate : DispatchGate
        Checks whether work may still be dispatched under an older version.
    drain_seconds : float
        Drain timeout.  After it, the check no longer waits for work that does not
        end, nor for work of members that have not acknowledged.
    """

    def __init__(self, acks: AckTable, gate: DispatchGate, drain_seconds: float):
        self._acks = acks
        self._gate = gate
        self._drain_seconds = drain_seconds

    def is_drained(
        self,
        instance: Instance,
        configuration: FleetConfiguration,
        version: int,
        waited: float,
    ) -> bool:
        """Return whether an instance may be rebooted or reassigned.

        Parameters
        ----------
        instance : Instance
            The instance.
        configuration : FleetConfiguration
            Its members are the entry instances that dispatch work.
        version : int
            The configuration version that forbids new work.
        waited : float
            Seconds since this control instance first saw the drain.
        """
        local_members = [
            member
            for member in configuration.members.values()
            if member.data_centre == instance.data_centre
        ]
        verdict = self._gate.check(local_members, version)
        if not verdict.is_open:
            return False
        if waited >= self._drain_seconds:
            return True
        busy = any(
            self._acks.is_busy(m.node_id, instance.instance_id) for m in local_members
        )
        # Work that members without an acknowledgement dispatched may still be running.
        return not busy and not verdict.unacknowledged
