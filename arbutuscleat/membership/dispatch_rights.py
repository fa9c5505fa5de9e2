"""Dispatch rights: whether this entry instance may dispatch work to instances now.

It may dispatch while it holds an unexpired lease from control, or an unexpired
lease from every other live member of its data centre.  It must itself be registered
as live under its own incarnation.  No lease is granted to an instance that holds an
older version than the grantor.  A lease starts when its holder sends the request
for it, not when the answer arrives.
"""

import threading
from collections.abc import Iterable

from arbutuscleat.core import Clock
from arbutuscleat.state import Member

EXPIRED = float("-inf")
FOREVER = float("inf")


class DispatchRights:
    """The leases that this entry instance holds, and whether it may grant leases.

    Parameters
    ----------
    node_id, incarnation, data_centre : str
        Identity and location of this process.
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
        self._is_registered = False
        self._peers: dict[str, str] = {}
        self._control_until = EXPIRED
        self._peer_until: dict[tuple[str, str], float] = {}
        self._until = EXPIRED

    def update_version(self, version: int, members: Iterable[Member]) -> None:
        """Update the members from a newly held version; older versions are ignored."""
        with self._lock:
            if version < self._version:
                return
            self._version = version
            live = {
                member.node_id: member.incarnation
                for member in members
                if member.live and member.data_centre == self._data_centre
            }
            self._is_registered = live.pop(self._node_id, None) == self._incarnation
            self._peers = live
            self._update()

    def record_control_lease(self, sent_at: float, seconds: float) -> None:
        """Record a lease granted by control.

        Parameters
        ----------
        sent_at : float
            Time at which the request was sent, in monotonic seconds.
        seconds : float
            Duration of the lease from `sent_at`.
        """
        with self._lock:
            self._control_until = max(self._control_until, sent_at + seconds)
            self._update()

    def record_peer_lease(
        self, peer: str, incarnation: str, sent_at: float, seconds: float
    ) -> None:
        """Record a lease granted by a peer.

        Parameters
        ----------
        peer, incarnation : str
            The peer, and the run of its process that granted the lease.
        sent_at : float
            Time at which the request was sent, in monotonic seconds.
        seconds : float
            Duration of the lease from `sent_at`.
        """
        with self._lock:
            key = (peer, incarnation)
            until = max(self._peer_until.get(key, EXPIRED), sent_at + seconds)
            self._peer_until[key] = until
            self._update()

    def may_dispatch(self) -> bool:
        """Return whether this process may dispatch work to instances now."""
        return self._clock.monotonic() < self._until

    def may_grant(self, holder_version: int) -> bool:
        """Return whether a lease may be granted to a peer that holds a version."""
        with self._lock:
            return self._is_registered and holder_version >= self._version

    def is_registered(self) -> bool:
        """Return whether this run of the process is registered as live."""
        return self._is_registered

    def control_lease_expires_within(self, within: float) -> bool:
        """Return whether the lease from control expires within `within` seconds."""
        return self._control_until < self._clock.monotonic() + within

    def _update(self) -> None:
        """Recompute the expiry, so that checking it costs one comparison."""
        if not self._is_registered:
            self._until = EXPIRED
            return
        peers = [self._peer_until.get(item, EXPIRED) for item in self._peers.items()]
        # The only member of a data centre needs no lease from peers.
        peers_until = min(peers, default=FOREVER)
        self._until = max(self._control_until, peers_until)
