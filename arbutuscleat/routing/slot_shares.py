"""Shares: how the entry instances of a data centre divide an instance's slots.

Each listed member gets an equal part; the parts add up to the whole for any one
set of members.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from arbutuscleat.state import Member


@dataclass(frozen=True)
class SlotShares:
    """The place of one member among those of its data centre.

    Parameters
    ----------
    position : int
        Place of the member in the sorted list; -1 when it is not listed.
    members : int
        Number of members.

    Examples
    --------
    >>> [SlotShares(position, 3).of(8) for position in range(3)]
    [3, 3, 2]
    """

    position: int
    members: int

    def of(self, slots: int) -> int:
        """Return the member's part of the slots of one instance."""
        if self.position < 0:
            return 0
        return slots // self.members + (self.position < slots % self.members)


def slot_shares(
    members: Iterable[Member], node_id: str, data_centre: str
) -> SlotShares:
    """Return the place of `node_id` among the live members of its data centre."""
    names = sorted(
        member.node_id
        for member in members
        if member.live and member.data_centre == data_centre
    )
    position = names.index(node_id) if node_id in names else -1
    return SlotShares(position, len(names))
