"""Identity of a replica: its node id and the incarnation of its data folder.

A replica that starts with an empty data folder has lost its votes.  It is given a
new incarnation and does not vote until the group has listed that incarnation
through the log.  Only `initialise`, an explicit first start, makes a founder.
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
    """The data folder holds an identity, which a first start would discard."""


def initialise(disk: Disk, node_id: str, founders: Sequence[str]) -> IdentityRecord:
    """Initialise the data folder of a founder of the group.

    Parameters
    ----------
    disk : Disk
        The data folder.
    node_id : str
        Node id of the replica.
    founders : sequence of str
        Node ids of all founders, which are the first voters.

    Returns
    -------
    IdentityRecord
        The identity that was written.

    Raises
    ------
    AlreadyInitialisedError
        If the folder holds an identity.
    """
    if load_identity(disk) is not None:
        raise AlreadyInitialisedError(
            f"the data folder of {node_id} is already initialised"
        )
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
    """Return the identity in the data folder; an empty folder is given a new one.

    Parameters
    ----------
    disk : Disk
        The data folder.
    node_id : str
        Node id of the replica.
    new_incarnation : str
        Incarnation to write to an empty folder.

    Raises
    ------
    DamagedFileError
        If the folder belongs to another replica or lacks some of its files.
    """
    record = load_identity(disk)
    if record is None:
        return _create(disk, node_id, new_incarnation)
    if record.node_id != node_id:
        raise DamagedFileError(f"the data folder belongs to replica {record.node_id}")
    if disk.read(LOG_FILE) is None:
        raise DamagedFileError(f"{LOG_FILE}: missing, but there is an identity file")
    if record.incarnation == FOUNDER_INCARNATION and disk.read(SNAPSHOT_FILE) is None:
        raise DamagedFileError(
            f"{SNAPSHOT_FILE}: missing, but the identity is that of a founder"
        )
    return record


def _create(disk: Disk, node_id: str, incarnation: str) -> IdentityRecord:
    # The identity is written last, so a folder without one has never voted.
    empty = LogBatch(base_index=0, base_term=0, entries=[])
    disk.replace(LOG_FILE, frame(encode(empty)))
    save_vote(disk, VoteRecord(term=0, voted_for=""))
    record = IdentityRecord(node_id=node_id, incarnation=incarnation)
    save_identity(disk, record)
    return record
