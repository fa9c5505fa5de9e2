"""Slot transfers: parts of an instance's slots that have moved between members.

A member that is short asks a peer, which gives up what it can spare before it
answers.  So at any moment the parts add up to no more than the whole; an answer
that is lost leaves slots with nobody until the same transfer is asked for again.
Transfers to or from an earlier run of a process are void: whoever restarts begins
with its plain share, once the others hold the version that lists it again.
"""

import threading
from collections.abc import Iterable
from dataclasses import dataclass

from arbutuscleat.state import Member


@dataclass(frozen=True)
class _Party:
    """The other side of a transfer: one run of one peer."""

    node_id: str
    incarnation: str


class SlotTransfers:
    """What this process has received and given, by instance."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listed: frozenset[_Party] = frozenset()
        self._net: dict[tuple[_Party, str], int] = {}
        self._answered: dict[_Party, tuple[int, int]] = {}
        self._adjustments: dict[str, int] = {}

    def apply_version(self, members: Iterable[Member]) -> None:
        """Void the transfers of runs that a newly held version does not list."""
        with self._lock:
            self._listed = frozenset(
                _Party(m.node_id, m.incarnation) for m in members if m.live
            )
            self._net = {
                key: count for key, count in self._net.items() if key[0] in self._listed
            }
            self._answered = {
                party: answer
                for party, answer in self._answered.items()
                if party in self._listed
            }
            self._update()

    def adjustment(self, instance_id: str) -> int:
        """Return the slots received less the slots given, for one instance."""
        return self._adjustments.get(instance_id, 0)

    def give(
        self,
        node_id: str,
        incarnation: str,
        instance_id: str,
        transfer_id: int,
        count: int,
    ) -> int:
        """Give slots to a peer; return how many, the first answer again on resend."""
        party = _Party(node_id, incarnation)
        with self._lock:
            if party not in self._listed:
                return 0
            last_id, last_count = self._answered.get(party, (0, 0))
            if transfer_id <= last_id:
                return last_count if transfer_id == last_id else 0
            self._answered[party] = (transfer_id, count)
            self._add(party, instance_id, -count)
            return count

    def receive(
        self, node_id: str, incarnation: str, instance_id: str, count: int
    ) -> None:
        """Take over the slots that a peer has given."""
        party = _Party(node_id, incarnation)
        with self._lock:
            if party in self._listed:
                self._add(party, instance_id, count)

    def _add(self, party: _Party, instance_id: str, count: int) -> None:
        key = (party, instance_id)
        self._net[key] = self._net.get(key, 0) + count
        self._update()

    def _update(self) -> None:
        adjustments: dict[str, int] = {}
        for (_, instance_id), count in self._net.items():
            adjustments[instance_id] = adjustments.get(instance_id, 0) + count
        self._adjustments = adjustments
