"""History of the replica sets that the log has listed."""

from collections.abc import Iterable

from arbutuscleat.wire import decode
from arbutuscleat.wire.gen.ttypes import EntryKind, LogEntry, ReplicaRecord, ReplicaSet

EMPTY_SET = ReplicaSet(replicas=[])


class MembershipLog:
    """Replica sets, in the order of the log entries that list them.

    A set is in force as soon as its entry is in the log, committed or not.

    Parameters
    ----------
    base : ReplicaSet
        The replica set of the snapshot.
    base_index : int
        Index of the last entry covered by the snapshot.
    """

    def __init__(self, base: ReplicaSet, base_index: int):
        self._sets: list[tuple[int, ReplicaSet]] = [(base_index, base)]

    @property
    def current(self) -> ReplicaSet:
        """The replica set in force."""
        return self._sets[-1][1]

    @property
    def current_index(self) -> int:
        """Index of the entry that lists the set in force."""
        return self._sets[-1][0]

    def record(self, node_id: str) -> ReplicaRecord | None:
        """Return the record of a replica, or None if it is not listed."""
        for record in self.current.replicas:
            if record.node_id == node_id:
                return record
        return None

    def voters(self) -> list[str]:
        """Return the node ids of the voters."""
        return [record.node_id for record in self.current.replicas if record.voter]

    def quorum(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters()) // 2 + 1

    def add(self, entries: Iterable[LogEntry]) -> None:
        """Add the replica sets that new log entries list."""
        for entry in entries:
            if entry.kind == EntryKind.VOTERS:
                self._sets.append((entry.index, decode(ReplicaSet, entry.payload)))

    def truncate(self, last_kept: int) -> None:
        """Remove the replica sets that entries after index `last_kept` list."""
        kept = [item for item in self._sets if item[0] <= last_kept]
        self._sets = kept or self._sets[:1]

    def at(self, index: int) -> ReplicaSet:
        """Return the replica set that was in force at the entry `index`."""
        found = self._sets[0][1]
        for position, replicas in self._sets:
            if position <= index:
                found = replicas
        return found
