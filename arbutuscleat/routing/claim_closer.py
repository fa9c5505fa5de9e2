"""The claim closer: records the end of claims in the log, in background threads.

A caller receives its answer without waiting until the end of its claim is committed.
A claim that was never used is released in the background as well; the release is
retried until it is known to be committed.
"""

import queue
import threading

from absl import logging

from arbutuscleat.core import Clock

from .claims import Claim, ClaimRegistry

ATTEMPT_TIMEOUT_SECONDS = 2.0
RETRY_INTERVAL_SECONDS = 0.5
MAX_QUEUED_CLAIMS = 10_000
WORKER_THREADS = 4


class ClaimCloser:
    """Finishes and releases claims in background threads.

    Parameters
    ----------
    claims : ClaimRegistry
        The registry that holds the claims.
    clock : Clock
        Source of time.
    """

    def __init__(self, claims: ClaimRegistry, clock: Clock):
        self._claims = claims
        self._clock = clock
        # Claims with whether they are released; None stops one thread.
        self._pending: queue.Queue[tuple[Claim, bool] | None] = queue.Queue(
            MAX_QUEUED_CLAIMS
        )
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, name=f"claim-ender-{n}", daemon=True)
            for n in range(WORKER_THREADS)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self, timeout: float) -> None:
        """Close the pending claims for at most `timeout` seconds, then stop."""
        for _ in self._threads:
            self._enqueue(None)
        for thread in self._threads:
            thread.join(timeout / len(self._threads))
        self._stopping.set()

    def finish(self, claim: Claim) -> None:
        """Record in the background that a request has finished."""
        self._enqueue((claim, False))

    def release(self, claim: Claim) -> None:
        """Release in the background the key of a request that was never sent."""
        self._enqueue((claim, True))

    def _close(self, claim: Claim, released: bool) -> bool:
        """Try once to close a claim; return whether no further attempt is needed."""
        if not released:
            self._claims.finish(claim, ATTEMPT_TIMEOUT_SECONDS)
            return True
        return self._claims.release(claim, ATTEMPT_TIMEOUT_SECONDS)

    def _enqueue(self, item: tuple[Claim, bool] | None) -> None:
        try:
            self._pending.put_nowait(item)
        except queue.Full:
            # Dropping it is safe: the key stays claimed, so nothing can run twice.
            logging.warning("the queue of claims to close is full, dropping an entry")

    def _run(self) -> None:
        while (item := self._pending.get()) is not None:
            while not self._stopping.is_set() and not self._close(*item):
                self._clock.sleep(self._stopping, RETRY_INTERVAL_SECONDS)
