"""The acknowledgement table: what control has heard of each entry instance.

It is volatile.  A control instance that has just become leader knows no
acknowledgement, and takes its own election as the moment of the last lease that
an earlier leader may have granted.
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
    """What was heard of one member under one incarnation.

    `acks` holds versions and when each was first acknowledged, oldest first.
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
    """What a member last said."""

    node_id: str
    incarnation: str
    held_version: int
    in_force_version: int
    heard_at: float


class AckTable:
    """Acknowledgements and leases of entry instances.

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
        """Take what a member said, itself or through a peer."""
        now = self._clock.monotonic()
        with self._lock:
            record = self._records.get(ack.node_id)
            if record is None or record.incarnation != ack.incarnation:
                record = self._records[ack.node_id] = _MemberRecord(ack.incarnation)
            newest = record.acks[-1][0] if record.acks else -1
            if ack.held_version < newest:
                return  # Passed on late by a peer.
            # Passed on by a peer, a word is as old as when the member said it.
            reported_at = now - (ack.age_ms or 0) / 1000.0
            record.heard_at = max(record.heard_at, reported_at)
            if ack.held_version > newest:
                record.acks.append((ack.held_version, now))
            record.in_force_version = ack.in_force_version
            record.busy = frozenset(ack.busy or ())

    def record_grant(self, node_id: str) -> None:
        """Note that a lease is being granted now."""
        with self._lock:
            self._last_grants[node_id] = self._clock.monotonic()

    def last_grant(self, node_id: str) -> float:
        """Return when this control instance last granted a lease."""
        with self._lock:
            return self._last_grants.get(node_id, NEVER)

    def heard_at(self, node_id: str, incarnation: str) -> float:
        """Return when a member was last heard under this incarnation."""
        with self._lock:
            record = self._records.get(node_id)
            if record is None or record.incarnation != incarnation:
                return NEVER
            return record.heard_at

    def held_version(self, node_id: str, incarnation: str) -> int:
        """Return the newest version that a member acknowledged; -1 for none."""
        with self._lock:
            record = self._records.get(node_id)
            if record is None or record.incarnation != incarnation or not record.acks:
                return -1
            return record.acks[-1][0]

    def acked_at(self, node_id: str, incarnation: str, version: int) -> float | None:
        """Return when a member first acknowledged `version` or a later one."""
        with self._lock:
            record = self._records.get(node_id)
            if record is None or record.incarnation != incarnation:
                return None
            return next((at for held, at in record.acks if held >= version), None)

    def is_busy(self, node_id: str, instance_id: str) -> bool:
        """Return whether a member said that its work still runs on an instance."""
        with self._lock:
            record = self._records.get(node_id)
            return record is not None and instance_id in record.busy

    def heard(self) -> list[MemberStatus]:
        """Return what every member last said."""
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
