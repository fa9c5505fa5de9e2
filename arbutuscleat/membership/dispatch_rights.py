"""Dispatch rights: whether this entry instance may send work to instances now.

It may while it holds an unexpired lease of control, or unexpired leases of every
other member of its data centre that the log lists as live.  It must itself be
listed under its own incarnation.  Nobody grants a lease to a holder of an older
version.  Leases are measured from the moment the holder asked for them.
"""

import threading
from collections.abc import Iterable

from arbutuscleat.core import Clock
from arbutuscleat.state import Member

EXPIRED = float("-inf")
FOREVER = float("inf")


class DispatchRights:
    """The leases that one entry instance holds, and whether it may grant any.

    Parameters
    ----------
    node_id, incarnation, data_centre : str
        Identity and place of this process.
    clock : Clock
        Source of time.
    """

    def __init__(self, node_id: str, incarnation: str, data_centre: str, clock: Clock):
        self._node_id = node_id
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._clock = clock
        self._lock = threading.Lock()
        self._version = -1
        self._is_listed = False
        self._peers: dict[str, str] = {}
        self._control_until = EXPIRED
        self._peer_until: dict[tuple[str, str], float] = {}
        self._until = EXPIRED

    def update_version(self, version: int, members: Iterable[Member]) -> None:
        """Take note of the members that a newly held version lists."""
        with self._lock:
            if version < self._version:
                return
            self._version = version
            live = {
                member.node_id: member.incarnation
                for member in members
                if member.live and member.data_centre == self._data_centre
            }
            self._is_listed = live.pop(self._node_id, None) == self._incarnation
            self._peers = live
            self._update()

    def record_control_lease(self, sent_at: float, seconds: float) -> None:
        """Take a lease of control, asked for at `sent_at`."""
        with self._lock:
            self._control_until = max(self._control_until, sent_at + seconds)
            self._update()

    def record_peer_lease(
        self, peer: str, incarnation: str, sent_at: float, seconds: float
    ) -> None:
        """Take a lease of a peer, asked for at `sent_at`."""
        with self._lock:
            key = (peer, incarnation)
            until = max(self._peer_until.get(key, EXPIRED), sent_at + seconds)
            self._peer_until[key] = until
            self._update()

    def may_dispatch(self) -> bool:
        """Return whether this process may send work to instances at this moment."""
        return self._clock.monotonic() < self._until

    def may_grant(self, holder_version: int) -> bool:
        """Return whether a lease may be granted to the holder of a version."""
        with self._lock:
            return self._is_listed and holder_version >= self._version

    def is_listed(self) -> bool:
        """Return whether the version held lists this very process as live."""
        return self._is_listed

    def control_lease_expires_within(self, within: float) -> bool:
        """Return whether the lease of control ends within some seconds."""
        return self._control_until < self._clock.monotonic() + within

    def _update(self) -> None:
        """Derive the end of the right; reading it must cost one comparison."""
        if not self._is_listed:
            self._until = EXPIRED
            return
        peers = [self._peer_until.get(item, EXPIRED) for item in self._peers.items()]
        # A data centre with one member goes on alone.
        peers_until = min(peers, default=FOREVER)
        self._until = max(self._control_until, peers_until)
