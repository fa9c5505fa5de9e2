"""The version in force: the newest version that every live peer holds as well.

A version is used to place requests only once all live peers in the data centre hold
it.  An entry instance without a disk may restart while its data centre is
partitioned from control; any peer then still has at least the version that the
instance had put in force.
"""

import threading
from collections.abc import Iterable

from arbutuscleat.state import Member

UNKNOWN_VERSION = -1


class InForceTracker:
    """Derives the version in force from the versions that peers hold.

    Parameters
    ----------
    node_id, data_centre : str
        Identity and location of this process.
    """

    def __init__(self, node_id: str, data_centre: str):
        self._node_id = node_id
        self._data_centre = data_centre
        self._lock = threading.Lock()
        self._held = UNKNOWN_VERSION
        self._peers: frozenset[str] = frozenset()
        self._peer_versions: dict[str, int] = {}
        self._version = UNKNOWN_VERSION

    @property
    def version(self) -> int:
        """The version in force, which never decreases; -1 before the first one."""
        return self._version

    def update_version(self, version: int, members: Iterable[Member]) -> None:
        """Update the held version and the peers from a new configuration version."""
        with self._lock:
            self._held = max(self._held, version)
            self._peers = frozenset(
                member.node_id
                for member in members
                if member.live
                and member.data_centre == self._data_centre
                and member.node_id != self._node_id
            )
            self._update()

    def record_peer_version(self, peer: str, version: int) -> None:
        """Record the version that a peer holds."""
        with self._lock:
            self._peer_versions[peer] = version
            self._update()

    def _update(self) -> None:
        versions = [self._peer_versions.get(p, UNKNOWN_VERSION) for p in self._peers]
        self._version = max(self._version, min([self._held, *versions]))
