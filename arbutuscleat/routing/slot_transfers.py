"""Slot transfers: slots of an instance that members have lent to each other.

A lender gives up slots before it answers the borrower.  The slots that all members use
therefore never exceed the slots of the instance.  If the answer is lost, nobody uses
these slots until the borrower repeats the same transfer.

Transfers to or from an earlier incarnation of a process are void.  A restarted process
starts with its plain share, once the other members hold the version that lists its new
incarnation.
"""

import threading
from collections.abc import Iterable
from dataclasses import dataclass

from arbutuscleat.state import Member


@dataclass(frozen=True)
class _Peer:
    """The other side of a transfer: one incarnation of one peer."""

    node_id: str
    incarnation: str


class SlotTransfers:
    """Accounts for the slots that this process has borrowed and lent."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listed: frozenset[_Peer] = frozenset()
        # Slots borrowed minus slots lent, by peer and instance.
        self._net: dict[tuple[_Peer, str], int] = {}
        # Id and slot count of the last transfer that each peer asked for.
        self._last_given: dict[_Peer, tuple[int, int]] = {}
        # Sums of `_net` by instance.
        self._adjustments: dict[str, int] = {}

    def apply_version(self, members: Iterable[Member]) -> None:
        """Drop the transfers of incarnations that a new version does not list."""
        with self._lock:
            self._listed = frozenset(
                _Peer(m.node_id, m.incarnation) for m in members if m.live
            )
            self._net = {
                key: count for key, count in self._net.items() if key[0] in self._listed
            }
            self._last_given = {
                peer: answer
                for peer, answer in self._last_given.items()
                if peer in self._listed
            }
            self._update()

    def adjustment(self, instance_id: str) -> int:
        """Return the slots of an instance borrowed minus those lent."""
        return self._adjustments.get(instance_id, 0)

    def give(
        self,
        node_id: str,
        incarnation: str,
        instance_id: str,
        transfer_id: int,
        count: int,
    ) -> int:
        """Give slots to a peer.

        Parameters
        ----------
        node_id, incarnation : str
            Node id and incarnation of the borrower.
        instance_id : str
            The instance whose slots are given.
        transfer_id : int
            Increasing number of the transfer, chosen by the borrower.
        count : int
            How many slots to give.

        Returns
        -------
        int
            The number of slots given.  It is 0 for an unlisted borrower or an outdated
            transfer.  A repeated transfer returns the first result and gives nothing
            more.
        """
        peer = _Peer(node_id, incarnation)
        with self._lock:
            if peer not in self._listed:
                return 0
            last_id, last_count = self._last_given.get(peer, (0, 0))
            if transfer_id <= last_id:
                return last_count if transfer_id == last_id else 0
            self._last_given[peer] = (transfer_id, count)
            self._add(peer, instance_id, -count)
            return count

    def receive(
        self, node_id: str, incarnation: str, instance_id: str, count: int
    ) -> None:
        """Add the slots that a peer has given; ignored if the peer is not listed."""
        peer = _Peer(node_id, incarnation)
        with self._lock:
            if peer in self._listed:
                self._add(peer, instance_id, count)

    def _add(self, peer: _Peer, instance_id: str, count: int) -> None:
        key = (peer, instance_id)
        self._net[key] = self._net.get(key, 0) + count
        self._update()

    def _update(self) -> None:
        adjustments: dict[str, int] = {}
        for (_, instance_id), count in self._net.items():
            adjustments[instance_id] = adjustments.get(instance_id, 0) + count
        self._adjustments = adjustments
