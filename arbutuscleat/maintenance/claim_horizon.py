"""The claim horizon: how far back keys are remembered.

The horizon moves forward with the wall clock of whichever control instance leads.
It never moves back, so a key that was forgotten stays refused.
"""

from arbutuscleat.core import Clock
from arbutuscleat.wire.gen.ttypes import Command, ForgetClaims

MOVE_SECONDS = 60.0


class ClaimHorizon:
    """Decides when the horizon moves.

    Parameters
    ----------
    clock : Clock
        Source of time.
    retention_seconds : float
        How long the claim of a time-ordered key is remembered.
    """

    def __init__(self, clock: Clock, retention_seconds: float):
        self._clock = clock
        self._retention_seconds = retention_seconds
        self._moved_at = clock.monotonic()

    def decide(self) -> list[Command]:
        """Return the command that moves the horizon, when it is due."""
        now = self._clock.monotonic()
        if now - self._moved_at < MOVE_SECONDS:
            return []
        self._moved_at = now
        before = self._clock.now().timestamp() - self._retention_seconds
        return [Command(forget_claims=ForgetClaims(before_ms=int(before * 1000)))]
