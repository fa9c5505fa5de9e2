"""The view store: the configuration of an entry instance with a disk.

A version is written and synced before it is acknowledged, so the acknowledgement
remains valid after a restart.
"""

import uuid

from arbutuscleat.consensus import Disk
from arbutuscleat.consensus.frames import frame, read_frames
from arbutuscleat.wire import decode, encode
from arbutuscleat.wire.gen.ttypes import (
    ConfigDelta,
    Configuration,
    FetchAnswer,
    IdentityRecord,
)

VIEW_FILE = "view"
DELTAS_FILE = "view-deltas"
IDENTITY_FILE = "entry-identity"
COMPACTION_THRESHOLD_BYTES = 4 * 1024 * 1024


class ViewStore:
    """Stores a configuration and the deltas after it.

    Parameters
    ----------
    disk : Disk
        The data folder.
    """

    def __init__(self, disk: Disk):
        self._disk = disk
        self._deltas_bytes = 0

    def incarnation(self, node_id: str) -> str:
        """Return the incarnation of this data folder, created on first use."""
        data = self._disk.read(IDENTITY_FILE)
        if data is not None:
            payloads, _ = read_frames(data, IDENTITY_FILE)
            return decode(IdentityRecord, payloads[0]).incarnation
        record = IdentityRecord(node_id=node_id, incarnation=uuid.uuid4().hex)
        self._disk.replace(IDENTITY_FILE, frame(encode(record)))
        return record.incarnation

    def load(self) -> tuple[Configuration | None, list[ConfigDelta]]:
        """Return the stored configuration, or None, and the deltas after it.

        An incomplete record at the end of the delta file is truncated.
        """
        data = self._disk.read(VIEW_FILE)
        if data is None:
            return None, []
        payloads, _ = read_frames(data, VIEW_FILE)
        record = decode(Configuration, payloads[0])
        tail = self._disk.read(DELTAS_FILE) or b""
        batches, valid_size = read_frames(tail, DELTAS_FILE)
        if valid_size < len(tail):
            self._disk.truncate(DELTAS_FILE, valid_size)
        self._deltas_bytes = valid_size
        deltas = [d for batch in batches for d in decode(FetchAnswer, batch).deltas]
        return record, deltas

    def save_full(self, record: Configuration) -> None:
        """Store a complete configuration and remove the deltas.

        If the process stops between the two, the version tells which deltas are old.
        """
        self._disk.replace(VIEW_FILE, frame(encode(record)))
        self._disk.replace(DELTAS_FILE, b"")
        self._deltas_bytes = 0

    def save_deltas(self, deltas: list[ConfigDelta]) -> None:
        """Append deltas."""
        data = frame(encode(FetchAnswer(deltas=deltas)))
        self._disk.append(DELTAS_FILE, data)
        self._deltas_bytes += len(data)

    def needs_compaction(self) -> bool:
        """Return whether to replace the deltas by a complete configuration."""
        return self._deltas_bytes > COMPACTION_THRESHOLD_BYTES
