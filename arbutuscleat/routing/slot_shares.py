"""Slot shares: how the entry instances of a data centre divide an instance's slots.

Each live member gets an equal share; the first members in sorted order get one slot
more if the slots do not divide evenly.  For a given set of members, the shares add up
to exactly the slots of the instance.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from arbutuscleat.state import Member


@dataclass(frozen=True)
class SlotShares:
    """Computes the share of one member of a data centre.

    Parameters
    ----------
    position : int
        Index of the member in the sorted list of live members; -1 if it is not listed.
    members : int
        Number of live members.

    Examples
    --------
    >>> [SlotShares(position, 3).of(8) for position in range(3)]
    [3, 3, 2]
    """

    position: int
    members: int

    def of(self, slots: int) -> int:
        """Return the member's share of the slots of an instance."""
        if self.position < 0:
            return 0
        return slots // self.members + (self.position < slots % self.members)


def slot_shares(
    members: Iterable[Member], node_id: str, data_centre: str
) -> SlotShares:
    """Return the shares of `node_id` among the live members of its data centre."""
    node_ids = sorted(
        member.node_id
        for member in members
        if member.live and member.data_centre == data_centre
    )
    position = node_ids.index(node_id) if node_id in node_ids else -1
    return SlotShares(position, len(node_ids))
