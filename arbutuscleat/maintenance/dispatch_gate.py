"""The dispatch gate: whether work may still be dispatched under an older version.

A configuration version may forbid new work on an instance.  Before control reboots or
reassigns such an instance, no entry instance of its data centre may be able to
dispatch under an older version.  That holds in two cases:

- Every live member of the data centre has acknowledged the version.
- At least one member has, and every lease that the others may hold has expired.  A
  member that has acknowledged grants no lease for an older version, so the leases to
  wait for are those granted before its acknowledgement.

In both cases the leases that control itself granted to the members without an
acknowledgement must have expired, also those of members that are marked down.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from arbutuscleat.core import Clock
from arbutuscleat.membership import AckTable
from arbutuscleat.state import Member


@dataclass(frozen=True)
class GateVerdict:
    """Whether control may act on the instances of a data centre.

    Parameters
    ----------
    is_open : bool
        True if no member can dispatch under an older version.
    unacknowledged : tuple of str
        Node ids of the live members that have not acknowledged the version.
    reason : str
        Why the gate is open or closed, for operators.
    """

    is_open: bool
    unacknowledged: tuple[str, ...]
    reason: str


class DispatchGate:
    """Checks acknowledgements and the expiry of leases.

    Parameters
    ----------
    acks : AckTable
        Acknowledgements of the entry instances and leases granted to them.
    clock : Clock
        Source of time.
    wait_seconds : float
        The longest lease plus a margin for clock drift.
    led_since : callable
        Returns when this control instance became leader, in monotonic seconds.  An
        earlier leader may have granted leases until then.
    """

    def __init__(
        self,
        acks: AckTable,
        clock: Clock,
        wait_seconds: float,
        led_since: Callable[[], float],
    ):
        self._acks = acks
        self._clock = clock
        self._wait_seconds = wait_seconds
        self._led_since = led_since

    def check(self, members: Iterable[Member], version: int) -> GateVerdict:
        """Check one data centre.

        Parameters
        ----------
        members : iterable of Member
            All members of the data centre, including those marked down.
        version : int
            The configuration version that forbids new work.

        Returns
        -------
        GateVerdict
            Whether the gate is open, and which live members have not acknowledged.
        """
        acked_at = {m.node_id: self._acked_at(m, version) for m in members}
        members = list(members)
        pending = [m for m in members if acked_at[m.node_id] is None]
        pending_live = tuple(m.node_id for m in pending if m.live)
        if pending_live:
            ack_times = [at for at in acked_at.values() if at is not None]
            if not ack_times:
                return GateVerdict(False, pending_live, "no member has acknowledged")
            if not self._has_expired(min(ack_times)):
                return GateVerdict(
                    False, pending_live, "leases granted by members may be unexpired"
                )
        if not all(self._has_expired(self._last_grant(member)) for member in pending):
            return GateVerdict(
                False, pending_live, "leases granted by control may be unexpired"
            )
        reason = "all leases have expired" if pending_live else "all have acknowledged"
        return GateVerdict(True, pending_live, reason)

    def _acked_at(self, member: Member, version: int) -> float | None:
        return self._acks.acked_at(member.node_id, member.incarnation, version)

    def _last_grant(self, member: Member) -> float:
        """Return when a leader may last have granted a lease to a member."""
        return max(self._acks.last_grant(member.node_id), self._led_since())

    def _has_expired(self, granted_at: float) -> bool:
        """Return whether every lease granted until `granted_at` has expired."""
        return self._clock.monotonic() >= granted_at + self._wait_seconds
