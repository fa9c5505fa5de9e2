"""Wave planner: which machines of a maintenance wave are drained next.

Machines that are off or idle come first. Busy machines are drained only as fast as
needed to complete the wave in time, and the number of machines that are unavailable
never exceeds the wave's cap.

A wave can begin during a load peak. While tasks wait for machines, the wave is deferred
for as long as it can still be completed in time.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

BUSY_MACHINE_SECONDS = 5.0
"""Time from the decision to drain a machine until it has returned, in seconds: its
tasks end, then the upkeep follows."""

IDLE_MACHINE_SECONDS = 3.0
"""The same for an idle machine: the upkeep, plus the polling delay before and after."""

IDLE_TIME_FACTOR = 2.0
"""Safety factor on the duration of a wave of idle machines, because some of them may
have become busy by then."""

PACE_FACTOR = 2.5
"""Safety factor on the pace of a wave, for machines that take longer to drain."""


@dataclass(frozen=True, slots=True)
class WaveMachine:
    """A machine of a wave whose upkeep has not begun.

    Parameters
    ----------
    machine : str
        Name of the machine.
    is_up : bool
        Whether its upkeep may be ordered.
    is_empty : bool
        Whether no task runs on it.
    is_draining : bool
        Whether it is already being drained.
    load : int
        CPU in use, in thousandths of a core.
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
    """Return the machines to drain, including those that are already draining.

    Parameters
    ----------
    remaining : sequence of WaveMachine
        Machines of the wave whose upkeep has not begun.
    cap : int
        Maximum number of machines that may be unavailable at once.
    unavailable : int
        Number of machines that are unavailable now.
    seconds_left : float
        Time until the wave is due, in seconds.
    has_shortage : bool
        Whether tasks wait for machines.

    Returns
    -------
    list of str
        Names of the machines. An empty one is left out while the wave is deferred.
    """
    room = cap - unavailable
    rounds = math.ceil(len(remaining) / max(1, cap))
    min_seconds = rounds * IDLE_MACHINE_SECONDS * IDLE_TIME_FACTOR
    draining = [i for i in remaining if i.is_draining and i.is_up]
    if has_shortage and seconds_left > min_seconds:
        # An empty machine that was chosen before can still serve the waiting tasks.
        return [item.machine for item in draining if not item.is_empty]
    if room <= 0:
        return [item.machine for item in draining]
    usable = [item for item in remaining if item.is_up]
    pace = len(remaining) * BUSY_MACHINE_SECONDS * PACE_FACTOR / max(seconds_left, 1.0)
    at_once = min(room, max(1, math.ceil(pace) - unavailable))
    chosen = [item.machine for item in usable if item.is_empty][:room]
    draining = [item for item in draining if not item.is_empty]
    chosen += [item.machine for item in draining]
    busy = [i for i in usable if not i.is_draining and not i.is_empty]
    busy.sort(key=lambda item: item.load)
    free = max(0, at_once - len(draining))
    chosen += [item.machine for item in busy[:free]]
    return chosen
