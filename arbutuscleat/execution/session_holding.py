"""Session holding: with which workers this process may have a session now.

A session is held by permit of a shard's assignment in the replicated log. A permit ends
when the assignment changes, and cannot be used while the lease of this process has run
out. Shards that were never assigned are held by the leader.
"""

from dataclasses import dataclass

from arbutuscleat.consensus import Replica
from arbutuscleat.core import Clock
from arbutuscleat.jobs import JobTable, SessionHolder, shard_of

from .session_lease import SessionLease


@dataclass(frozen=True, slots=True)
class SessionPermit:
    """Permission to hold the sessions of a shard.

    Parameters
    ----------
    shard : int
        The shard.
    fence : int
        Fence of the assignment, or the leader's term if the shard was never assigned.
    since : float
        Monotonic time in seconds from which on no other process holds the sessions.
    is_assigned : bool
        Whether the permit comes from an assignment.
    """

    shard: int
    fence: int
    since: float
    is_assigned: bool


class SessionHolding:
    """Issues and checks the permits of this process.

    Parameters
    ----------
    replica : Replica
        This process's member of the consensus group.
    table : JobTable
        The replicated job table.
    clock : Clock
        Source of time.
    holder : SessionHolder
        This process.
    lease : SessionLease
        The lease of this process.
    """

    def __init__(
        self,
        replica: Replica,
        table: JobTable,
        clock: Clock,
        holder: SessionHolder,
        lease: SessionLease,
    ):
        self._replica = replica
        self._table = table
        self._clock = clock
        self.holder = holder
        self._lease = lease
        self._permits: dict[int, SessionPermit] = {}
        self._leadership: tuple[int, float] | None = None
        """Term of this process as leader, and since when it leads; None otherwise."""

    def observe_leadership(self) -> None:
        """Read whether this process leads; the table's lock must not be held."""
        if self._replica.leads():
            term = self._replica.term()
            self._leadership = (term, self._replica.led_since())
        else:
            self._leadership = None

    def permit(self, worker_id: str) -> SessionPermit | None:
        """Return the permit for a worker's session; the table's lock must be held.

        Returns
        -------
        SessionPermit or None
            None if another process holds the session, or nobody.
        """
        shard = shard_of(worker_id)
        assignment = self._table.session_assignments.by_shard.get(shard)
        if assignment is None:
            if self._leadership is None:
                return None
            return SessionPermit(shard, *self._leadership, is_assigned=False)
        if assignment.holder != self.holder:
            self._permits.pop(shard, None)
            return None
        permit = self._permits.get(shard)
        if permit is None or permit.fence != assignment.fence:
            # The former holder had stopped when the assignment was proposed.
            now = self._clock.monotonic()
            permit = SessionPermit(shard, assignment.fence, now, is_assigned=True)
            self._permits[shard] = permit
        return permit

    def may_order(self, permit: SessionPermit) -> bool:
        """Return whether calls may be sent under a permit at this moment."""
        assignment = self._table.session_assignments.by_shard.get(permit.shard)
        if not permit.is_assigned:
            return (
                assignment is None
                and self._replica.leads()
                and self._replica.term() == permit.fence
            )
        return (
            assignment is not None
            and assignment.holder == self.holder
            and assignment.fence == permit.fence
            and self._lease.is_valid()
        )
