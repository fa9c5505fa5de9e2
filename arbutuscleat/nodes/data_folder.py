"""Data folders: the identity that a control node needs before it can start.

A node that has an identity starts although its disk refuses writes, and its replica
recovers later. Without one there is no replica, so a node with an empty folder waits
for its disk. It keeps its process, which its supervisor would else restart in vain.
"""

import threading
from collections.abc import Callable, Sequence

from absl import logging

from arbutuscleat.consensus import Disk, initialise, open_identity
from arbutuscleat.consensus.stores import load_identity
from arbutuscleat.core import Clock
from arbutuscleat.wire.gen.ttypes import IdentityRecord

RETRY_SECONDS = 1.0
"""Interval between attempts to write an identity."""


def wait_for_identity(
    disk: Disk,
    node_id: str,
    make_incarnation: Callable[[], str],
    founders: Sequence[str],
    clock: Clock,
) -> IdentityRecord:
    """Return the identity in a data folder, and write one to an empty folder.

    Parameters
    ----------
    disk : Disk
        The data folder.
    node_id : str
        Node id of the replica.
    make_incarnation : callable
        Returns the incarnation for an empty folder.
    founders : sequence of str
        Node ids that create the group, if this is its first start; otherwise empty.
    clock : Clock
        Source of time.

    Raises
    ------
    DamagedFileError
        If the folder belongs to another replica or lacks some of its files.
    """
    while True:
        try:
            if node_id in founders and load_identity(disk) is None:
                record = initialise(disk, node_id, founders)
                logging.info("created a consensus group of %s", ", ".join(founders))
                return record
            return open_identity(disk, node_id, make_incarnation())
        except OSError as exc:
            logging.warning(
                "no identity yet, the data folder refuses writes; next attempt in "
                "%.1f s: %s",
                RETRY_SECONDS,
                exc,
            )
            clock.sleep(threading.Event(), RETRY_SECONDS)
