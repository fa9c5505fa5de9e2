"""The claim ender: tells the log, behind the callers' backs, how claims ended.

A caller's answer need not wait for the word that its request has ended.  A claim
that was never used is released here too, again and again until that is certain.
"""

import queue
import threading

from absl import logging

from arbutuscleat.core import Clock

from .claims import Claim, ClaimRegistry

TRY_SECONDS = 2.0
RETRY_PAUSE_SECONDS = 0.5
MAX_WAITING = 10_000
TASKS = 4


class ClaimCloser:
    """Ends claims in tasks of its own.

    Parameters
    ----------
    claims : ClaimRegistry
        Where claims are ended.
    clock : Clock
        Source of time.
    """

    def __init__(self, claims: ClaimRegistry, clock: Clock):
        self._claims = claims
        self._clock = clock
        self._waiting: queue.Queue[tuple[Claim, bool] | None] = queue.Queue(MAX_WAITING)
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, name=f"claim-ender-{n}", daemon=True)
            for n in range(TASKS)
        ]

    def start(self) -> None:
        """Start the tasks."""
        for thread in self._threads:
            thread.start()

    def stop(self, timeout: float) -> None:
        """End what waits, for at most `timeout` seconds, and stop."""
        for _ in self._threads:
            self._add(None)
        for thread in self._threads:
            thread.join(timeout / len(self._threads))
        self._stopping.set()

    def finish(self, claim: Claim) -> None:
        """Say that a request has ended."""
        self._add((claim, False))

    def release(self, claim: Claim) -> None:
        """Give back the key of a request of which no byte has left."""
        self._add((claim, True))

    def end_one(self, claim: Claim, released: bool) -> bool:
        """Tell the log once; return whether it is done with."""
        if not released:
            self._claims.finish(claim, TRY_SECONDS)
            return True
        return self._claims.release(claim, TRY_SECONDS)

    def _add(self, item: tuple[Claim, bool] | None) -> None:
        try:
            self._waiting.put_nowait(item)
        except queue.Full:
            # The key stays claimed: nothing can run twice.
            logging.warning("too many claims wait for their end")

    def _run(self) -> None:
        while (item := self._waiting.get()) is not None:
            while not self._stopping.is_set() and not self.end_one(*item):
                self._clock.sleep(self._stopping, RETRY_PAUSE_SECONDS)
