"""The drain check: has an instance ended everything that was sent to it?

Moves and maintenance ask the same: nobody may send new work under an older version,
and what was sent has ended or has had its time.
"""

from arbutuscleat.core import Instance
from arbutuscleat.membership import AckTable
from arbutuscleat.state import FleetConfiguration

from .dispatch_gate import DispatchGate


class DrainCheck:
    """Judges drained instances.

    Parameters
    ----------
    acks : AckTable
        What was heard of the entry instances.
    gate : DispatchGate
        Judges whether work may still be dispatched.
    drain_seconds : float
        After this time the work of silent members, or work that does not end, is
        waited for no longer.
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
        """Return whether an instance may be given to somebody else.

        Parameters
        ----------
        instance : Instance
            The instance.
        configuration : FleetConfiguration
            Its members are the dispatchers.
        version : int
            The configuration version that forbids new work.
        waited : float
            Seconds since then.
        """
        here = [
            member
            for member in configuration.members.values()
            if member.data_centre == instance.data_centre
        ]
        verdict = self._gate.check(here, version)
        if not verdict.is_open:
            return False
        if waited >= self._drain_seconds:
            return True
        busy = any(self._acks.is_busy(m.node_id, instance.instance_id) for m in here)
        # What silent members have sent may still run.
        return not busy and not verdict.unacknowledged
