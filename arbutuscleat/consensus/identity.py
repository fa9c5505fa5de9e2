"""Identity: who a replica is, and whether its data folder remembers it.

A replica that starts with an empty data folder has forgotten its votes.  It gets
a new incarnation and does not vote until the group has admitted that incarnation
through the log.  Only an explicit first start makes a founder.
"""

from collections.abc import Sequence

from arbutuscleat.wire import encode
from arbutuscleat.wire.gen.ttypes import (
    IdentityRecord,
    LogBatch,
    ReplicaRecord,
    ReplicaSet,
    SnapshotRecord,
    VoteRecord,
)

from .disk import Disk
from .frames import DamagedFileError, frame
from .log import LOG_FILE
from .stores import (
    SNAPSHOT_FILE,
    load_identity,
    save_identity,
    save_snapshot,
    save_vote,
)

FOUNDER_INCARNATION = "founder"


class AlreadyInitialisedError(Exception):
    """The data folder holds an identity; a first start would forget it."""


def initialise(disk: Disk, node_id: str, founders: Sequence[str]) -> IdentityRecord:
    """Make the data folder of a founder of the group.

    Raises
    ------
    AlreadyInitialisedError
        If the folder holds an identity.
    """
    if load_identity(disk) is not None:
        raise AlreadyInitialisedError(f"the data folder of {node_id} is in use")
    records = [
        ReplicaRecord(node_id=founder, incarnation=FOUNDER_INCARNATION, voter=True)
        for founder in founders
    ]
    snapshot = SnapshotRecord(
        last_index=0, last_term=0, replicas=ReplicaSet(replicas=records), data=b""
    )
    save_snapshot(disk, snapshot)
    return _create(disk, node_id, FOUNDER_INCARNATION)


def open_identity(disk: Disk, node_id: str, new_incarnation: str) -> IdentityRecord:
    """Return the identity of the data folder; an empty one gets a new incarnation.

    Raises
    ------
    DamagedFileError
        If the folder belongs to another replica or lacks some of its files.
    """
    record = load_identity(disk)
    if record is None:
        return _create(disk, node_id, new_incarnation)
    if record.node_id != node_id:
        raise DamagedFileError(f"the data folder belongs to {record.node_id}")
    if disk.read(LOG_FILE) is None:
        raise DamagedFileError(f"{LOG_FILE}: missing beside an identity")
    if record.incarnation == FOUNDER_INCARNATION and disk.read(SNAPSHOT_FILE) is None:
        raise DamagedFileError(f"{SNAPSHOT_FILE}: missing beside a founder's identity")
    return record


def _create(disk: Disk, node_id: str, incarnation: str) -> IdentityRecord:
    # The identity is written last: a folder without it has never voted.
    empty = LogBatch(base_index=0, base_term=0, entries=[])
    disk.replace(LOG_FILE, frame(encode(empty)))
    save_vote(disk, VoteRecord(term=0, voted_for=""))
    record = IdentityRecord(node_id=node_id, incarnation=incarnation)
    save_identity(disk, record)
    return record
