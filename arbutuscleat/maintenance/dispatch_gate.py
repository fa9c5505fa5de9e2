"""The dispatch gate: may control act on what a version has forbidden?

Control changes anything about a data centre's instances only when every listed
member has acknowledged the version that forbids them new work; or when at least
one has, and every lease that the silent ones may hold has ended: those of the
member that acknowledged, granted before, and those of control itself.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from arbutuscleat.core import Clock
from arbutuscleat.membership import AckTable
from arbutuscleat.state import Member


@dataclass(frozen=True)
class GateVerdict:
    """Whether control may act on a data centre.

    Parameters
    ----------
    is_open : bool
        Whether no member can dispatch under an older version.
    unacknowledged : tuple of str
        Members that have not acknowledged.
    reason : str
        Why the gate is open or shut, for operators.
    """

    is_open: bool
    unacknowledged: tuple[str, ...]
    reason: str


class DispatchGate:
    """Judges by acknowledgements and leases.

    Parameters
    ----------
    acks : AckTable
        What was heard and granted.
    clock : Clock
        Source of time.
    wait_seconds : float
        The longest lease plus a margin for the drift of clocks.
    led_since : callable
        Returns when this control instance became leader: an earlier leader may
        have granted leases until then.
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
        """Judge one data centre.

        Parameters
        ----------
        members : iterable of Member
            All members of the data centre, those marked down as well.
        version : int
            The version that forbids new work.
        """
        acked_at = {m.node_id: self._acked_at(m, version) for m in members}
        members = list(members)
        silent = [m for m in members if acked_at[m.node_id] is None]
        silent_live = tuple(m.node_id for m in silent if m.live)
        if silent_live:
            known = [at for at in acked_at.values() if at is not None]
            if not known:
                return GateVerdict(False, silent_live, "no member has acknowledged")
            if not self._is_over(min(known)):
                return GateVerdict(False, silent_live, "leases of members may hold")
        if not all(self._is_over(self._last_grant(member)) for member in silent):
            return GateVerdict(False, silent_live, "leases of control may hold")
        reason = "all leases have ended" if silent_live else "all have acknowledged"
        return GateVerdict(True, silent_live, reason)

    def _acked_at(self, member: Member, version: int) -> float | None:
        return self._acks.acked_at(member.node_id, member.incarnation, version)

    def _last_grant(self, member: Member) -> float:
        return max(self._acks.last_grant(member.node_id), self._led_since())

    def _is_over(self, moment: float) -> bool:
        return self._clock.monotonic() >= moment + self._wait_seconds
