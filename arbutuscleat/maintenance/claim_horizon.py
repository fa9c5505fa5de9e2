"""The claim horizon: the time before which claims of idempotency keys are forgotten.

The claims of time-ordered keys older than the horizon are forgotten, and requests with
such keys are refused.  The horizon follows the wall clock of the leading control
instance.  It never moves back, so a key whose claim was forgotten stays refused.
"""

from arbutuscleat.core import Clock
from arbutuscleat.wire.gen.ttypes import Command, ForgetClaims

ADVANCE_INTERVAL_SECONDS = 60.0
"""Interval between two commands that advance the horizon."""


class ClaimHorizon:
    """Proposes the commands that advance the horizon.

    Parameters
    ----------
    clock : Clock
        Source of time.
    retention_seconds : float
        How long the claim of a time-ordered key is kept.
    """

    def __init__(self, clock: Clock, retention_seconds: float):
        self._clock = clock
        self._retention_seconds = retention_seconds
        self._advanced_at = clock.monotonic()

    def decide(self) -> list[Command]:
        """Return the command that advances the horizon; none if it is not due."""
        now = self._clock.monotonic()
        if now - self._advanced_at < ADVANCE_INTERVAL_SECONDS:
            return []
        self._advanced_at = now
        before = self._clock.now().timestamp() - self._retention_seconds
        return [Command(forget_claims=ForgetClaims(before_ms=int(before * 1000)))]
