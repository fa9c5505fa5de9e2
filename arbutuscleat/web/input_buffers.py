"""The memory that requests take while they arrive, for all connections of a server."""

import threading


class InputBuffers:
    """Counts the buffered bytes of incomplete requests up to a limit; thread-safe.

    Parameters
    ----------
    max_bytes : int
        Limit for all connections together, in bytes.
    free_bytes : int
        What each connection may hold besides, for the headers of a request.
    """

    def __init__(self, max_bytes: int, free_bytes: int):
        self._max_bytes = max_bytes
        self._free_bytes = free_bytes
        self._lock = threading.Lock()
        self._total = 0

    def resize(self, held: int, size: int) -> int | None:
        """Count a buffer that has grown, or that is given up.

        Parameters
        ----------
        held : int
            What the connection holds so far: the latest result, 0 at first.
        size : int
            The new size of its buffer, in bytes.

        Returns
        -------
        int or None
            What it holds now; None if that would be too much for all connections
            together, and nothing has changed.
        """
        wanted = max(0, size - self._free_bytes)
        if wanted == held:
            return held
        with self._lock:
            if wanted > held and self._total + wanted - held > self._max_bytes:
                return None
            self._total += wanted - held
        return wanted

    def is_scarce(self) -> bool:
        """Return whether more than half of the limit is taken."""
        return 2 * self._total > self._max_bytes
