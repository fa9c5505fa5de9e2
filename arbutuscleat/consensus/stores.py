"""Durable records of a replica: identity, vote and snapshot, one file for each."""

from typing import TypeVar

from arbutuscleat.wire import decode, encode
from arbutuscleat.wire.gen.ttypes import IdentityRecord, SnapshotRecord, VoteRecord

from .disk import Disk
from .frames import DamagedFileError, frame, read_frames

IDENTITY_FILE = "identity"
VOTE_FILE = "vote"
SNAPSHOT_FILE = "snapshot"

T = TypeVar("T", IdentityRecord, VoteRecord, SnapshotRecord)


def load_identity(disk: Disk) -> IdentityRecord | None:
    """Return the identity in the data folder, or None if there is none."""
    return _load(disk, IDENTITY_FILE, IdentityRecord)


def save_identity(disk: Disk, record: IdentityRecord) -> None:
    """Write and sync the identity."""
    disk.replace(IDENTITY_FILE, frame(encode(record)))


def load_vote(disk: Disk) -> VoteRecord:
    """Return the durable term and vote.

    Raises
    ------
    DamagedFileError
        If the file is missing: a replica must not lose its votes.
    """
    record = _load(disk, VOTE_FILE, VoteRecord)
    if record is None:
        raise DamagedFileError(f"{VOTE_FILE}: missing, but there is an identity file")
    return record


def save_vote(disk: Disk, record: VoteRecord) -> None:
    """Write and sync the term and vote."""
    disk.replace(VOTE_FILE, frame(encode(record)))


def load_snapshot(disk: Disk) -> SnapshotRecord | None:
    """Return the latest snapshot, or None if there is none."""
    return _load(disk, SNAPSHOT_FILE, SnapshotRecord)


def save_snapshot(disk: Disk, record: SnapshotRecord) -> None:
    """Write and sync a snapshot, which replaces the previous one."""
    disk.replace(SNAPSHOT_FILE, frame(encode(record)))


def _load(disk: Disk, name: str, kind: type[T]) -> T | None:
    data = disk.read(name)
    if data is None:
        return None
    payloads, valid_size = read_frames(data, name)
    if len(payloads) != 1 or valid_size != len(data):
        # These files are replaced atomically, so a torn one is damaged.
        raise DamagedFileError(f"{name}: does not hold exactly one valid record")
    return decode(kind, payloads[0])
