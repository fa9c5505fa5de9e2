"""Session lease: how long a process may use the sessions that are assigned to it.

The leader renews the lease with each answered request. It assigns the sessions of a
silent process to another one only after the lease has run out, so the two never act at
the same time. The clock counts the time for which a machine is suspended.
"""

from arbutuscleat.core import Clock

LEASE_SECONDS = 1.2
"""Duration of a lease, from the time of the request for its renewal. Three requests in
a row may be lost, and the sessions of a lost process move within two seconds."""

LEASE_MARGIN_SECONDS = 0.15
"""How much longer the leader waits; covers clocks that differ in speed by a tenth."""


class SessionLease:
    """The lease of this process.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._until = float("-inf")

    def renew(self, asked_at: float) -> None:
        """Record a renewal that was requested at this monotonic time."""
        self._until = max(self._until, asked_at + LEASE_SECONDS)

    def is_valid(self) -> bool:
        """Return whether the lease has not run out."""
        return self._clock.monotonic() < self._until
