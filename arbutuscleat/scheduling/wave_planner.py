"""The wave planner: which machines of a wave are emptied and ordered next.

Machines that are off or idle come first.  Of the busy ones no more are emptied at a
time than the wave's pace asks for, and never more than its cap are away.

It answers waves that begin in a queue's turn: while tasks wait for machines, the wave
gives way for as long as it can still be in time.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

SECONDS_A_MACHINE = 5.0
"""From the decision to empty a machine until it is back: tasks end, then upkeep."""

SECONDS_AN_IDLE_MACHINE = 3.0
"""The same for a machine on which nothing runs: its upkeep and the looks around it."""

IDLE_RESERVE = 2.0
"""Factor on the time that a wave of idle machines takes, for machines that are busy
by then."""

RESERVE = 2.5
"""Factor on the pace, for machines that take longer to become empty."""


@dataclass(frozen=True, slots=True)
class WaveMachine:
    """A machine of a wave that has not begun its upkeep.

    Parameters
    ----------
    machine : str
        Which one it is.
    is_up : bool
        Whether its upkeep may be ordered.
    is_empty : bool
        Whether nothing runs on it.
    is_closing : bool
        Whether nothing new starts on it already.
    load : int
        Thousandths of a core in use.
    """

    machine: str
    is_up: bool
    is_empty: bool
    is_closing: bool
    load: int


def choose_machines(
    left: Sequence[WaveMachine],
    cap: int,
    away: int,
    seconds_left: float,
    is_short: bool = False,
) -> list[str]:
    """Return the machines that are to be emptied, those already closing included.

    Parameters
    ----------
    left : sequence of WaveMachine
        What the wave still needs.
    cap : int
        Machines that may be away at once.
    away : int
        Machines away now.
    seconds_left : float
        Until the wave is due.
    is_short : bool
        Whether tasks wait for machines.
    """
    room = cap - away
    rounds = math.ceil(len(left) / max(1, cap))
    least = rounds * SECONDS_AN_IDLE_MACHINE * IDLE_RESERVE
    if room <= 0 or (is_short and seconds_left > least):
        return [item.machine for item in left if item.is_closing]
    usable = [item for item in left if item.is_up]
    pace = len(left) * SECONDS_A_MACHINE * RESERVE / max(seconds_left, 1.0)
    at_once = min(room, max(1, math.ceil(pace) - away))
    chosen = [item.machine for item in usable if item.is_empty][:room]
    closing = [i for i in usable if i.is_closing and not i.is_empty]
    chosen += [item.machine for item in closing]
    busy = [i for i in usable if not i.is_closing and not i.is_empty]
    busy.sort(key=lambda item: item.load)
    free = max(0, at_once - len(closing))
    chosen += [item.machine for item in busy[:free]]
    return chosen
