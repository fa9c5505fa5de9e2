"""The wave planner: which machines of a wave are emptied and ordered next.

Machines that are off or idle come first.  Of the busy ones no more are emptied at a
time than the wave's pace asks for, and never more than its cap are away.

It answers waves that begin in a queue's turn: while tasks wait for machines, the wave
gives way for as long as it can still be in time.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

BUSY_MACHINE_SECONDS = 5.0
"""From the decision to empty a machine until it is back: tasks end, then upkeep."""

IDLE_MACHINE_SECONDS = 3.0
"""The same for a machine on which nothing runs: its upkeep and the looks around it."""

IDLE_TIME_FACTOR = 2.0
"""Factor on the time that a wave of idle machines takes, for machines that are busy
by then."""

PACE_FACTOR = 2.5
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
    is_draining : bool
        Whether nothing new starts on it already.
    load : int
        Thousandths of a core in use.
    """

    machine: str
    is_up: bool
    is_empty: bool
    is_draining: bool
    load: int


def choose_machines(
    remaining: Sequence[WaveMachine],
    cap: int,
    unavailable: int,
    seconds_left: float,
    has_shortage: bool = False,
) -> list[str]:
    """Return the machines that are to be emptied, those already closing included.

    Parameters
    ----------
    remaining : sequence of WaveMachine
        What the wave still needs.
    cap : int
        Machines that may be away at once.
    unavailable : int
        Machines away now.
    seconds_left : float
        Until the wave is due.
    has_shortage : bool
        Whether tasks wait for machines.
    """
    room = cap - unavailable
    rounds = math.ceil(len(remaining) / max(1, cap))
    min_seconds = rounds * IDLE_MACHINE_SECONDS * IDLE_TIME_FACTOR
    if room <= 0 or (has_shortage and seconds_left > min_seconds):
        return [item.machine for item in remaining if item.is_draining]
    usable = [item for item in remaining if item.is_up]
    pace = len(remaining) * BUSY_MACHINE_SECONDS * PACE_FACTOR / max(seconds_left, 1.0)
    at_once = min(room, max(1, math.ceil(pace) - unavailable))
    chosen = [item.machine for item in usable if item.is_empty][:room]
    draining = [i for i in usable if i.is_draining and not i.is_empty]
    chosen += [item.machine for item in draining]
    busy = [i for i in usable if not i.is_draining and not i.is_empty]
    busy.sort(key=lambda item: item.load)
    free = max(0, at_once - len(draining))
    chosen += [item.machine for item in busy[:free]]
    return chosen
