"""Request tracking: a graceful shutdown waits for the requests in progress."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager


class RequestTracker:
    """Counts the requests in progress.

    Examples
    --------
    >>> tracker = RequestTracker()
    >>> with tracker.track():
    ...     tracker.count
    1
    >>> tracker.wait_idle(0.0)
    True
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._count = 0

    @property
    def count(self) -> int:
        """Number of requests in progress."""
        return self._count

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one request as in progress while the block runs."""
        with self._changed:
            self._count += 1
        try:
            yield
        finally:
            with self._changed:
                self._count -= 1
                self._changed.notify_all()

    def wait_idle(self, timeout: float) -> bool:
        """Wait until no request is in progress.

        Parameters
        ----------
        timeout : float
            Longest wait in seconds.

        Returns
        -------
        bool
            False if requests were still in progress at the timeout.
        """
        with self._changed:
            return self._changed.wait_for(lambda: self._count == 0, timeout)
