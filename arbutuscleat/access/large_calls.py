"""Limit on the large requests that one process passes on at the same time.

A parsed request takes many times its bytes, here and at the leader, which gets them
from all entry instances.
"""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

LARGE_BYTES = 32 * 1_024
"""Requests from this size on are large: those of most jobs are far smaller."""

MAX_AT_ONCE = 2
MAX_WAITING = 6
"""Further ones wait up to this number; with those in progress, a third of the threads
that serve callers, and as many as an operator sends at once."""


class LargeCalls:
    """Lets a few large requests in at the same time; thread-safe."""

    def __init__(self) -> None:
        self._in_progress = threading.Semaphore(MAX_AT_ONCE)
        self._present = threading.Semaphore(MAX_AT_ONCE + MAX_WAITING)

    @contextmanager
    def enter(self, size: int, seconds: float) -> Iterator[bool]:
        """Hold a place while the block runs.

        Parameters
        ----------
        size : int
            Size of the request, in bytes; a small one needs no place.
        seconds : float
            How long to wait for a place.

        Yields
        ------
        bool
            Whether there is one.
        """
        if size < LARGE_BYTES:
            yield True
            return
        if not self._present.acquire(blocking=False):
            yield False
            return
        try:
            if not self._in_progress.acquire(timeout=seconds):
                yield False
                return
            try:
                yield True
            finally:
                self._in_progress.release()
        finally:
            self._present.release()
