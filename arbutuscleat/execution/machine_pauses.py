"""Machine pauses: machines for which no order is planned for some time.

An order that failed is not planned again at once, so that the machine's worker gets
runs meanwhile.
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
        """Plan no order for a machine for some seconds."""
        self._until[machine] = self._clock.monotonic() + seconds

    def is_paused(self, machine: str) -> bool:
        """Return whether no order for a machine may be planned at present."""
        return self._clock.monotonic() < self._until.get(machine, 0.0)
