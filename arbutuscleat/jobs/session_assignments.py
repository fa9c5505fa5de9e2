"""Session assignments: which control instance holds the sessions with which workers.

Every worker belongs to one shard, and one process at a time holds the sessions with the
workers of a shard. The replicated log holds the assignment, with a fence that rises
with each change; workers reject calls with a lower fence than the highest they have
seen. A shard that was never assigned belongs to the leader.
"""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from arbutuscleat.wire.gen_jobs.ttypes import (
    AssignSessions,
    SessionAssignmentRecord,
    SessionHolderRecord,
)

SHARD_COUNT = 32
"""Number of shards: several for each control instance, so that they share evenly, and
those of a lost instance are spread over the others. A worker keeps its shard."""


class SessionHolder(NamedTuple):
    """One process of a control instance; a restarted process is another holder."""

    node_id: str
    process: str

    @classmethod
    def of(cls, record: SessionHolderRecord) -> "SessionHolder":
        """Return the holder in a record."""
        return cls(record.node_id, record.process)

    def to_record(self) -> SessionHolderRecord:
        """Return the holder as a record."""
        return SessionHolderRecord(node_id=self.node_id, process=self.process)

    def __str__(self) -> str:
        """Return the holder as written in logs."""
        return f"{self.node_id}/{self.process}"


@dataclass(frozen=True, slots=True)
class SessionAssignment:
    """Who holds the sessions of one shard.

    Parameters
    ----------
    holder : SessionHolder or None
        The holder; None while nobody holds the sessions.
    fence : int
        Rises with each change of any shard.
    former : SessionHolder or None
        The last holder, which must have stopped before the next one begins.
    index : int
        Index of the log entry that made the assignment.
    """

    holder: SessionHolder | None
    fence: int
    former: SessionHolder | None
    index: int


class SessionAssignments:
    """The assignments of all shards, part of the replicated job table.

    Attributes
    ----------
    by_shard : dict of int to SessionAssignment
        The assigned shards. Records are replaced, never changed, so that a thread may
        read one without a lock.
    last_fence : int
        Highest fence used so far.
    last_index : int
        Index of the latest entry that has changed an assignment.
    """

    def __init__(self) -> None:
        self.by_shard: dict[int, SessionAssignment] = {}
        self.last_fence = 0
        self.last_index = 0

    def fence(self, shard: int) -> int:
        """Return the fence of a shard; 0 if it was never assigned."""
        current = self.by_shard.get(shard)
        return 0 if current is None else current.fence

    def apply(self, index: int, command: AssignSessions) -> list[bool]:
        """Apply changes; return for each whether its expected fence was the current."""
        results = []
        for change in command.changes:
            current = self.by_shard.get(change.shard)
            is_valid = self.fence(change.shard) == change.expected_fence
            results.append(is_valid)
            if not is_valid:
                continue
            holder = None if change.holder is None else SessionHolder.of(change.holder)
            former = None
            if current is not None:
                former = current.holder or current.former
            self.last_fence = max(self.last_fence, command.min_fence) + 1
            self.last_index = index
            self.by_shard[change.shard] = SessionAssignment(
                holder, self.last_fence, former, index
            )
        return results

    def records(self) -> list[SessionAssignmentRecord]:
        """Return the assignments in their snapshot format."""
        return [
            SessionAssignmentRecord(
                shard=shard,
                holder=item.holder and item.holder.to_record(),
                fence=item.fence,
                former=item.former and item.former.to_record(),
                index=item.index,
            )
            for shard, item in self.by_shard.items()
        ]

    def restore(
        self, records: Iterable[SessionAssignmentRecord], last_fence: int
    ) -> None:
        """Replace all assignments by those of a snapshot."""
        self.by_shard = {
            item.shard: SessionAssignment(
                None if item.holder is None else SessionHolder.of(item.holder),
                item.fence,
                None if item.former is None else SessionHolder.of(item.former),
                item.index,
            )
            for item in records
        }
        self.last_fence = last_fence
        self.last_index = max(
            (item.index for item in self.by_shard.values()), default=0
        )


def shard_of(worker_id: str) -> int:
    """Return the shard of a worker, from 0 to `SHARD_COUNT` - 1."""
    return zlib.crc32(worker_id.encode()) % SHARD_COUNT
