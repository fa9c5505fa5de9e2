"""End batcher: commits the run ends that several workers report in one log entry.

Each entry costs the leader processor time for encoding, syncing, replicating and
applying it, and for another plan. While one entry of ends is being committed, the ends
that other sessions report meanwhile therefore wait and share the next one. Under low
load nothing waits; the higher the load, the more ends share an entry.
"""

import threading
from collections import deque

from arbutuscleat.core import Clock
from arbutuscleat.wire.gen_jobs.ttypes import JobCommand, RunEnds

from .run_end_recorder import Propose

MAX_ENDS = 1_000
"""Number of ends from which on a batch accepts no further ones: about 100 kB."""

CHECK_SECONDS = 0.1
"""Interval at which a waiting thread checks again whether its batch is due or done."""


class _Batch:
    """Ends that share an entry; the thread that adds the first ones proposes it."""

    def __init__(self) -> None:
        self.ends = RunEnds(ends=[], at_ms=0)
        self.is_committed = False
        self.may_propose = threading.Event()
        self.is_finished = threading.Event()


class EndBatcher:
    """Proposes run ends to the replicated log, one entry at a time.

    Parameters
    ----------
    propose : callable
        Proposes a command to the replicated log.
    clock : Clock
        Source of time.
    """

    def __init__(self, propose: Propose, clock: Clock):
        self._propose = propose
        self._clock = clock
        self._lock = threading.Lock()
        self._is_proposing = False
        self._waiting: deque[_Batch] = deque()

    def propose(self, command: JobCommand) -> bool:
        """Propose a command, together with others if it consists of run ends.

        Returns
        -------
        bool
            False if its commit is not confirmed.
        """
        if command.ends is None:
            return self._propose(command)
        batch, is_first = self._add(command.ends)
        if not is_first:
            self._wait(batch.is_finished)
            return batch.is_committed
        self._wait(batch.may_propose)
        try:
            batch.is_committed = self._propose(JobCommand(ends=batch.ends))
        finally:
            batch.is_finished.set()
            self._start_next()
        return batch.is_committed

    def _add(self, ends: RunEnds) -> tuple[_Batch, bool]:
        """Add ends to the latest batch; return it, and whether they are its first."""
        with self._lock:
            is_first = not self._waiting
            if not is_first:
                is_first = len(self._waiting[-1].ends.ends) >= MAX_ENDS
            if is_first:
                self._waiting.append(_Batch())
            batch = self._waiting[-1]
            batch.ends.ends.extend(ends.ends)
            batch.ends.at_ms = max(batch.ends.at_ms, ends.at_ms)
            if not self._is_proposing:
                self._is_proposing = True
                self._waiting.popleft().may_propose.set()
            return batch, is_first

    def _start_next(self) -> None:
        """Let the next batch be proposed; from then on it accepts no further ends."""
        with self._lock:
            self._is_proposing = bool(self._waiting)
            if self._waiting:
                self._waiting.popleft().may_propose.set()

    def _wait(self, event: threading.Event) -> None:
        while not self._clock.sleep(event, CHECK_SECONDS):
            pass
