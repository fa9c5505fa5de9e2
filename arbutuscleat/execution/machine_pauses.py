"""Machine pauses: machines that are not drained for some time.

A machine that could not be ordered is left alone before the next attempt, so that its
worker gets runs meanwhile.
"""

from arbutuscleat.core import Clock

ORDER_TIMEOUT_SECONDS = 4.0
"""How long a worker stays drained and idle without its machine being ordered. It spans
a few orders that are not answered."""

PAUSE_SECONDS = 2.0
"""Pause of a machine that was not ordered in time."""

REFUSED_PAUSE_SECONDS = 10.0
"""Pause after an invalid order: only a change of the machines would help."""


class MachinePauses:
    """Tracks the pauses of machines.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._until: dict[str, float] = {}

    def reset(self) -> None:
        """End all pauses."""
        self._until = {}

    def begin(self, machine: str, seconds: float) -> None:
        """Leave a machine alone for some seconds."""
        self._until[machine] = self._clock.monotonic() + seconds

    def is_paused(self, machine: str) -> bool:
        """Return whether a machine is left alone at present."""
        return self._clock.monotonic() < self._until.get(machine, 0.0)
