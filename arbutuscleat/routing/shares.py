"""Shares: how the entry instances of a data centre divide an instance's slots.

Until shares move with the load, each listed member gets an equal part; the parts
add up to the whole for any one configuration version.
"""

from collections.abc import Sequence

from arbutuscleat.state import Member


def slot_share(
    members: Sequence[Member], node_id: str, data_centre: str, slots: int
) -> int:
    """Return the slots of one instance that `node_id` may use.

    Parameters
    ----------
    members : sequence of Member
        The members that the log lists.
    node_id : str
        The member that asks.
    data_centre : str
        The data centre of the instance.
    slots : int
        The slots of the instance.
    """
    names = sorted(
        member.node_id
        for member in members
        if member.live and member.data_centre == data_centre
    )
    if node_id not in names:
        return 0
    position = names.index(node_id)
    return slots // len(names) + (position < slots % len(names))
