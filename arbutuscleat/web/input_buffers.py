"""The memory that requests take while they arrive, for all connections of a server."""

import threading


class InputBuffers:
    """Counts the buffered bytes of incomplete requests up to a limit; thread-safe.

    Parameters
    ----------
    max_bytes : int
        Limit for all connections together, in bytes.
    """

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._total = 0

    def resize(self, held: int, size: int) -> bool:
        """Count a buffer that has grown, or that is given up.

        Parameters
        ----------
        held : int
            What the connection holds so far, in bytes.
        size : int
            What it is to hold.

        Returns
        -------
        bool
            False if that would be too much for all connections together; then nothing
            has changed.
        """
        if size == held:
            return True
        with self._lock:
            if size > held and self._total + size - held > self._max_bytes:
                return False
            self._total += size - held
        return True

    def is_scarce(self) -> bool:
        """Return whether more than half of the limit is taken."""
        return 2 * self._total > self._max_bytes
