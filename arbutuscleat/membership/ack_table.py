"""The acknowledgement table: which version each entry instance has acknowledged.

It is kept in memory only.  A newly elected leader has no acknowledgements, and
assumes that an earlier leader granted its last lease at the time of the election.
"""

import threading
from collections import deque
from dataclasses import dataclass, field

from arbutuscleat.core import Clock
from arbutuscleat.wire.gen.ttypes import MemberAck

MAX_ACKS_PER_MEMBER = 64
NEVER = float("-inf")


@dataclass
class _MemberRecord:
    """Latest report and acknowledgements of one incarnation of a member.

    `acks` holds each acknowledged version and the time of its first
    acknowledgement, oldest first.
    """

    incarnation: str
    heard_at: float = NEVER
    in_force_version: int = -1
    busy: frozenset[str] = frozenset()
    acks: deque[tuple[int, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_ACKS_PER_MEMBER)
    )


@dataclass(frozen=True)
class MemberStatus:
    """Latest report of a member.

    Parameters
    ----------
    node_id, incarnation : str
        Identity of the member and of the run of its process.
    held_version : int
        Newest configuration version that it acknowledged; -1 for none.
    in_force_version : int
        Version that it uses to place requests.
    heard_at : float
        Time of the report in monotonic seconds of this process.
    """

    node_id: str
    incarnation: str
    held_version: int
    in_force_version: int
    heard_at: float


class AckTable:
    """Acknowledgements of entry instances, and the leases granted to them.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._records: dict[str, _MemberRecord] = {}
        self._last_grants: dict[str, float] = {}

    def record(self, ack: MemberAck) -> None:
        """Record an acknowledgement, received directly or relayed by a peer."""
        now = self._clock.monotonic()
        with self._lock:
            record = self._records.get(ack.node_id)
            if record is None or record.incarnation != ack.incarnation:
                record = self._records[ack.node_id] = _MemberRecord(ack.incarnation)
            newest = record.acks[-1][0] if record.acks else -1
            if ack.held_version < newest:
                return  # An outdated acknowledgement, relayed late by a peer.
            # Dates a relayed acknowledgement back to when the member sent it.
            reported_at = now - (ack.age_ms or 0) / 1000.0
            record.heard_at = max(record.heard_at, reported_at)
            if ack.held_version > newest:
                record.acks.append((ack.held_version, now))
            record.in_force_version = ack.in_force_version
            record.busy = frozenset(ack.busy or ())

    def record_grant(self, node_id: str) -> None:
        """Record that a lease is granted to a member at this moment."""
        with self._lock:
            self._last_grants[node_id] = self._clock.monotonic()

    def last_grant(self, node_id: str) -> float:
        """Return when this control instance last granted a lease to a member.

        Returns
        -------
        float
            Monotonic seconds; minus infinity if it never granted one.
        """
        with self._lock:
            return self._last_grants.get(node_id, NEVER)

    def heard_at(self, node_id: str, incarnation: str) -> float:
        """Return when a member was last heard from under this incarnation.

        Returns
        -------
        float
            Monotonic seconds; minus infinity if it was never heard from.
        """
        with self._lock:
            record = self._records.get(node_id)
            if record is None or record.incarnation != incarnation:
                return NEVER
            return record.heard_at

    def held_version(self, node_id: str, incarnation: str) -> int:
        """Return the newest version that a member acknowledged, or -1 for none."""
        with self._lock:
            record = self._records.get(node_id)
            if record is None or record.incarnation != incarnation or not record.acks:
                return -1
            return record.acks[-1][0]

    def acked_at(self, node_id: str, incarnation: str, version: int) -> float | None:
        """Return when a member first acknowledged `version` or a later one.

        Returns
        -------
        float or None
            Monotonic seconds; None if it has acknowledged no such version.
        """
        with self._lock:
            record = self._records.get(node_id)
            if record is None or record.incarnation != incarnation:
                return None
            return next((at for held, at in record.acks if held >= version), None)

    def is_busy(self, node_id: str, instance_id: str) -> bool:
        """Return whether a member reported that its work still runs on an instance."""
        with self._lock:
            record = self._records.get(node_id)
            return record is not None and instance_id in record.busy

    def statuses(self) -> list[MemberStatus]:
        """Return the latest report of every member, ordered by node id."""
        with self._lock:
            return [
                MemberStatus(
                    node_id=node_id,
                    incarnation=record.incarnation,
                    held_version=record.acks[-1][0] if record.acks else -1,
                    in_force_version=record.in_force_version,
                    heard_at=record.heard_at,
                )
                for node_id, record in sorted(self._records.items())
            ]
