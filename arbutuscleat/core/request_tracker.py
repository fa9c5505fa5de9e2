"""Work in progress: what a graceful shutdown waits for."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager


class RequestTracker:
    """Counts the requests that are being served.

    Examples
    --------
    >>> work = RequestTracker()
    >>> with work.track():
    ...     work.count
    1
    >>> work.wait_idle(0.0)
    True
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._count = 0

    @property
    def count(self) -> int:
        """Requests in progress."""
        return self._count

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one request for the length of a block."""
        with self._changed:
            self._count += 1
        try:
            yield
        finally:
            with self._changed:
                self._count -= 1
                self._changed.notify_all()

    def wait_idle(self, timeout: float) -> bool:
        """Wait until nothing is in progress; return whether that was reached."""
        with self._changed:
            return self._changed.wait_for(lambda: self._count == 0, timeout)
