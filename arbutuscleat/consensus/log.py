"""The log: entries in memory, and their durable copy.

Entries up to the base index are covered by the snapshot.  An entry is *synced* once
it is durable on the disk; a replica acknowledges synced entries only.

The file is a sequence of batches.  Each batch replaces the entries after its base
index, so a conflicting suffix is replaced by appending one more batch.
"""

from collections.abc import Callable, Sequence

from arbutuscleat.wire import decode, encode
from arbutuscleat.wire.gen.ttypes import LogBatch, LogEntry

from .disk import Disk
from .frames import DamagedFileError, frame, read_frames

LOG_FILE = "log"


class Log:
    """Log of one replica, loaded from its data folder.

    Parameters
    ----------
    disk : Disk
        The data folder.
    base_index, base_term : int
        Index and term of the last entry covered by the snapshot.

    Attributes
    ----------
    load_error : OSError or None
        Why the file could not be adapted to the loaded entries, so that it has to be
        rewritten before anything is appended; None if it fits.

    Raises
    ------
    DamagedFileError
        If the log file is damaged, or starts after the end of the snapshot.
    """

    def __init__(self, disk: Disk, base_index: int, base_term: int):
        self._disk = disk
        self._base_index = base_index
        self._base_term = base_term
        self._entries: list[LogEntry] = []
        self.load_error: OSError | None = None
        self._load(base_index, base_term)
        self._synced = self.last_index

    @property
    def base_index(self) -> int:
        """Index of the last entry that is no longer in the log."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """Index of the last entry in memory."""
        return self._base_index + len(self._entries)

    @property
    def synced_index(self) -> int:
        """Index of the last entry that is durable on the disk."""
        return self._synced

    @property
    def last_term(self) -> int:
        """Term of the last entry in memory."""
        return self._entries[-1].term if self._entries else self._base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not in the log.

        The term of the entry at `base_index` is known as well.
        """
        if index == self._base_index:
            return self._base_term
        entry = self.entry(index)
        return None if entry is None else entry.term

    def entry(self, index: int) -> LogEntry | None:
        """Return an entry, or None if it is not in the log."""
        offset = index - self._base_index - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset]
        return None

    def slice(self, first: int, limit: int, max_bytes: int) -> list[LogEntry]:
        """Return entries from index `first` on.

        Parameters
        ----------
        first : int
            Index of the first entry.
        limit : int
            Largest number of entries.
        max_bytes : int
            Largest total size of the payloads; one entry may exceed it.
        """
        offset = first - self._base_index - 1
        chosen: list[LogEntry] = []
        size = 0
        for entry in self._entries[offset : offset + limit]:
            size += len(entry.payload)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return chosen

    def bytes_between(self, first: int, last: int) -> int:
        """Return the size of the payloads of the entries from `first` to `last`."""
        start = max(0, first - self._base_index - 1)
        stop = max(0, last - self._base_index)
        return sum(len(entry.payload) for entry in self._entries[start:stop])

    def first_within(self, last: int, limit: int, max_bytes: int) -> int:
        """Return the first of the latest entries up to `last` within two limits.

        Parameters
        ----------
        last : int
            Index of the last entry.
        limit : int
            Largest number of entries.
        max_bytes : int
            Largest total size of their payloads.
        """
        size = 0
        first = last + 1
        while first - 1 > self._base_index and last - first + 1 < limit:
            size += len(self._entries[first - 2 - self._base_index].payload)
            if size > max_bytes:
                break
            first -= 1
        return first

    def append(self, entry: LogEntry) -> None:
        """Append an entry in memory; `Replication.write_unsynced` makes it durable."""
        self._entries.append(entry)

    def unsynced(self) -> LogBatch | None:
        """Return the batch that makes all entries durable, or None if they are."""
        if self._synced >= self.last_index:
            return None
        return self._batch_after(self._synced)

    def whole(self) -> LogBatch:
        """Return the batch of all entries, to be written with `rewrite`."""
        return self._batch_after(self._base_index)

    def replace_after(self, base: int, entries: Sequence[LogEntry]) -> None:
        """Replace the entries after index `base` by `entries` in memory."""
        del self._entries[base - self._base_index :]
        self._entries.extend(entries)
        self._synced = min(self._synced, base)

    def write(self, batch: LogBatch) -> None:
        """Append a batch to the file and sync it."""
        self._disk.append(LOG_FILE, frame(encode(batch)))

    def mark_synced(self, batch: LogBatch) -> None:
        """Record that the entries of a batch are durable."""
        self._synced = max(self._synced, batch.base_index + len(batch.entries))

    def compact(self, base_index: int) -> LogBatch:
        """Drop the entries up to `base_index` in memory and return the others.

        The caller writes the returned batch with `rewrite`.  Until then the file
        still holds the dropped entries, which is harmless.
        """
        base_term = self.term_at(base_index)
        assert base_term is not None
        del self._entries[: base_index - self._base_index]
        self._base_index = base_index
        self._base_term = base_term
        self._synced = max(self._synced, base_index)
        return self._batch_after(base_index)

    def rewrite(self, batch: LogBatch) -> None:
        """Replace the content of the file by one batch."""
        self._disk.replace(LOG_FILE, frame(encode(batch)))

    def reset(self, base_index: int, base_term: int) -> LogBatch:
        """Drop every entry in memory, so that the log starts after a snapshot.

        The caller writes the returned batch, which is empty, with `rewrite`.
        """
        self._entries.clear()
        self._base_index = base_index
        self._base_term = base_term
        self._synced = base_index
        return self._batch_after(base_index)

    def _batch_after(self, base: int) -> LogBatch:
        entries = self._entries[base - self._base_index :]
        base_term = self.term_at(base)
        return LogBatch(base_index=base, base_term=base_term, entries=list(entries))

    def _load(self, base_index: int, base_term: int) -> None:
        data = self._disk.read(LOG_FILE)
        if data is None:
            return
        payloads, valid_size = read_frames(data, LOG_FILE)
        if valid_size < len(data):
            self._repair_file(lambda: self._disk.truncate(LOG_FILE, valid_size))
        for position, payload in enumerate(payloads):
            self._replay(decode(LogBatch, payload), first=position == 0)
        self._align_with_snapshot(base_index, base_term)

    def _replay(self, batch: LogBatch, first: bool) -> None:
        """Apply a batch of the file to the entries in memory."""
        if first:
            self._base_index = batch.base_index
            self._base_term = batch.base_term
        if not self._base_index <= batch.base_index <= self.last_index:
            raise DamagedFileError(
                f"{LOG_FILE}: batch with base index {batch.base_index} does not fit a "
                f"log that ends at entry {self.last_index}"
            )
        del self._entries[batch.base_index - self._base_index :]
        self._entries.extend(batch.entries)

    def _align_with_snapshot(self, base_index: int, base_term: int) -> None:
        """Start the log after the snapshot if it does not continue the snapshot."""
        if self._base_index > base_index:
            raise DamagedFileError(
                f"{LOG_FILE}: starts after entry {self._base_index}, but the snapshot "
                f"ends at entry {base_index}"
            )
        if self.term_at(base_index) != base_term:
            batch = self.reset(base_index, base_term)
            self._repair_file(lambda: self.rewrite(batch))

    def _repair_file(self, write: Callable[[], None]) -> None:
        """Adapt the file to the entries that were loaded, if the disk accepts it."""
        try:
            write()
        except OSError as exc:
            self.load_error = exc
