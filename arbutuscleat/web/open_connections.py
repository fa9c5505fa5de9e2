"""The number of open connections of a server, in total and of each client address."""

import threading

from arbutuscleat.core import ClientLimits


class OpenConnections:
    """Counts open connections up to limits; thread-safe.

    Parameters
    ----------
    limits : ClientLimits
        The limits.
    """

    def __init__(self, limits: ClientLimits):
        self._limits = limits
        self._lock = threading.Lock()
        self._total = 0
        self._counts: dict[str, int] = {}

    def admit(self, address: str) -> bool:
        """Count a connection of a client address, unless there are too many."""
        with self._lock:
            count = self._counts.get(address, 0)
            if count >= self._limits.connections_per_address:
                return False
            if self._total >= self._limits.connections:
                return False
            self._counts[address] = count + 1
            self._total += 1
            return True

    def is_full(self, address: str) -> bool:
        """Return whether a client address has as many connections as it may have."""
        with self._lock:
            return self._counts.get(address, 0) >= self._limits.connections_per_address

    def release(self, address: str) -> None:
        """Count a connection as closed."""
        with self._lock:
            self._total -= 1
            self._counts[address] -= 1
            if not self._counts[address]:
                del self._counts[address]
