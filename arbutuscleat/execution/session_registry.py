"""Session registry: what the leader knows about the holders of sessions.

Each control instance renews its lease at the leader and reports the conditions of its
workers with it. The registry records the leases that were granted and the latest
reports. It is kept in memory only: a new leader starts with an empty one, and assumes
that every holder was granted a lease just before.
"""

import threading
from collections.abc import Mapping
from dataclasses import dataclass, field

from arbutuscleat.core import Clock
from arbutuscleat.jobs import SessionAssignments, SessionHolder, shard_of
from arbutuscleat.wire.gen_jobs.ttypes import RenewRequest

from .session_lease import LEASE_MARGIN_SECONDS, LEASE_SECONDS
from .worker_condition import ReportedCondition


@dataclass(frozen=True, slots=True)
class HolderStatus:
    """Status of a holder with a valid lease.

    Parameters
    ----------
    seconds : float
        For how long its lease has been renewed without a gap.
    leaving : bool
        Whether the process is about to stop.
    """

    seconds: float
    leaving: bool


@dataclass(slots=True)
class _Holder:
    since: float
    granted_at: float
    sequence: int = 0
    applied_index: int = 0
    leaving: bool = False
    is_complete: bool = False
    is_revoked: bool = False
    conditions: dict[str, ReportedCondition] = field(default_factory=dict)


class SessionRegistry:
    """Leases granted by this leader and the reports of their holders; thread-safe.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._term = -1
        self._since = float("-inf")
        self._required_index = 0
        self._holders: dict[SessionHolder, _Holder] = {}

    def observe_term(self, term: int, led_since: float) -> None:
        """Forget everything if a new term has begun.

        Parameters
        ----------
        term : int
            The term in which this process leads.
        led_since : float
            Monotonic time in seconds since which it does. Leases granted by former
            leaders were granted before.
        """
        with self._lock:
            if term != self._term:
                self._term = term
                self._since = led_since
                self._required_index = 0
                self._holders = {}

    def require_index(self, index: int) -> None:
        """Grant no leases to holders that have not applied the log up to here."""
        with self._lock:
            self._required_index = index

    def renew(
        self, request: RenewRequest, assigned_index: int = 0
    ) -> tuple[bool, bool]:
        """Record a request, and grant a lease unless its holder lags behind.

        Parameters
        ----------
        request : RenewRequest
            The request.
        assigned_index : int, default=0
            Index of the latest entry that has changed any assignment. A holder that has
            not applied it may not know that its sessions have another holder.

        Returns
        -------
        granted : bool
            Whether the lease is renewed.
        wants_complete : bool
            Whether the next report must name the conditions of all sessions.
        """
        holder_id = SessionHolder.of(request.holder)
        now = self._clock.monotonic()
        with self._lock:
            holder = self._holders.get(holder_id)
            if holder is None:
                holder = self._holders[holder_id] = _Holder(now, float("-inf"))
            if request.sequence <= holder.sequence:
                return False, True  # Its sender has given up on it.
            holder.sequence = request.sequence
            holder.applied_index = max(holder.applied_index, request.applied_index)
            holder.leaving = request.leaving
            if request.complete:
                holder.conditions = {}
                holder.is_complete = True
            for record in request.conditions:
                condition = ReportedCondition.of(record)
                holder.conditions[record.worker_id] = condition
            required_index = max(self._required_index, assigned_index)
            granted = holder.applied_index >= required_index and not holder.is_revoked
            if granted:
                if now - holder.granted_at > LEASE_SECONDS:
                    holder.since = now
                holder.granted_at = now
            return granted, not holder.is_complete

    def live_holders(self) -> dict[SessionHolder, HolderStatus]:
        """Return the holders whose lease, as granted, has not run out."""
        now = self._clock.monotonic()
        with self._lock:
            return {
                holder_id: HolderStatus(now - holder.since, holder.leaving)
                for holder_id, holder in self._holders.items()
                if now - holder.granted_at < LEASE_SECONDS
            }

    def revoke(self, holder_id: SessionHolder) -> bool:
        """Grant no more leases to a holder if every lease that it was granted is over.

        Its sessions may then be assigned to another holder. That takes a commit, and a
        lease that was granted meanwhile would be one for sessions that are gone.

        Returns
        -------
        bool
            False if a lease may still be valid; nothing is changed then.
        """
        now = self._clock.monotonic()
        with self._lock:
            holder = self._holders.get(holder_id)
            if holder is None:
                holder = self._holders[holder_id] = _Holder(now, float("-inf"))
            granted_at = max(self._since, holder.granted_at)
            if now - granted_at <= LEASE_SECONDS + LEASE_MARGIN_SECONDS:
                return False
            holder.is_revoked = True
            return True

    def end_revocations(self) -> None:
        """Grant leases to all holders again, once no assignment is being committed."""
        with self._lock:
            for holder in self._holders.values():
                holder.is_revoked = False

    def has_applied(self, holder_id: SessionHolder, index: int) -> bool:
        """Return whether a holder has applied the log entry with this index."""
        with self._lock:
            holder = self._holders.get(holder_id)
            return holder is not None and holder.applied_index >= index

    def conditions(
        self, assignments: SessionAssignments
    ) -> Mapping[str, ReportedCondition]:
        """Return the reported conditions by worker id.

        Only those of assigned sessions whose holder has a valid lease are returned.
        """
        now = self._clock.monotonic()
        found = {}
        with self._lock:
            for holder_id, holder in self._holders.items():
                if now - holder.granted_at >= LEASE_SECONDS:
                    continue
                for worker_id, condition in holder.conditions.items():
                    current = assignments.by_shard.get(shard_of(worker_id))
                    if (
                        current is not None
                        and current.holder == holder_id
                        and condition.record is not None
                        and condition.record.fence == current.fence
                    ):
                        found[worker_id] = condition
        return found
