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

MAX_BATCH_BYTES = 1024 * 1024
"""Checkpoints, in characters, from which on a batch accepts no further ends. The ends
of one answer, 500 with 4,000 bytes each, can be twice as many."""

CHECK_SECONDS = 0.1
"""Interval at which a waiting thread checks again whether its batch is due or done."""


class _Batch:
    """Ends that share an entry; the thread that adds the first ones proposes it."""

    def __init__(self) -> None:
        self.ends = RunEnds(ends=[], at_ms=0)
        self._checkpoint_size = 0
        self.is_committed = False
        self.may_propose = threading.Event()
        self.is_finished = threading.Event()

    def add(self, ends: RunEnds) -> None:
        """Add ends; the caller holds the lock of the batcher."""
        self.ends.ends.extend(ends.ends)
        self.ends.at_ms = max(self.ends.at_ms, ends.at_ms)
        self._checkpoint_size += sum(len(end.checkpoint) for end in ends.ends)

    def is_full(self) -> bool:
        """Return whether it accepts no further ends."""
        return (
            len(self.ends.ends) >= MAX_ENDS or self._checkpoint_size >= MAX_BATCH_BYTES
        )


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
            is_first = not self._waiting or self._waiting[-1].is_full()
            if is_first:
                self._waiting.append(_Batch())
            batch = self._waiting[-1]
            batch.add(ends)
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
