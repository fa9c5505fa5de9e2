"""Session balance: which control instance should hold the sessions of each shard.

The load of the sessions (calls to workers, their answers, the ends of runs) is the
largest part of a fleet's work, and each queue's demand peaks in its turn. A service's
workers are therefore spread over all shards, so that every holder gets its part of a
peak. The leader holds none while two others can: it schedules and commits for all.

Shards of holders that are gone are taken by the others at once. Shards are moved
between holders that are present only for a difference of more than one shard.
"""

from collections.abc import Mapping, Sequence
from typing import TypeVar

HolderT = TypeVar("HolderT")

MIN_OTHERS = 2
"""Number of holders beside the leader from which on the leader holds no sessions: with
a single one, the loss of that one would stop all sessions."""


def balance_sessions(
    current: Mapping[int, HolderT],
    holders: Sequence[HolderT],
    leader: HolderT,
    max_moves: int,
) -> dict[int, HolderT]:
    """Return the shards that should have another holder.

    Parameters
    ----------
    current : mapping of int to holder
        The present holder of every shard; it need not be one of `holders`.
    holders : sequence of holder
        The holders that may be given shards, in a fixed order.
    leader : holder
        The one that leads.
    max_moves : int
        Largest number of shards that are moved away from holders that are present.

    Returns
    -------
    dict of int to holder
        The new holders by shard; empty if nothing should change.
    """
    others = [holder for holder in holders if holder != leader]
    targets = others if len(others) >= MIN_OTHERS else list(holders)
    if not targets:
        return {}
    shards: dict[HolderT, list[int]] = {holder: [] for holder in targets}
    free: list[int] = []
    movable: list[int] = []
    for shard, holder in sorted(current.items()):
        if holder in shards:
            shards[holder].append(shard)
        elif holder in holders:
            movable.append(shard)
        else:
            free.append(shard)
    changes: dict[int, HolderT] = {}

    def give(shard: int) -> None:
        target = min(targets, key=lambda holder: len(shards[holder]))
        shards[target].append(shard)
        changes[shard] = target

    for shard in free:
        give(shard)
    for shard in movable[:max_moves]:
        give(shard)
    for _ in range(max_moves - len(movable)):
        most = max(targets, key=lambda holder: len(shards[holder]))
        least = min(targets, key=lambda holder: len(shards[holder]))
        if len(shards[most]) - len(shards[least]) <= 1:
            break
        give(shards[most].pop())
    return {s: holder for s, holder in changes.items() if current[s] != holder}
