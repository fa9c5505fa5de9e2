"""Disk recovery: the return of a replica whose disk has refused a write.

A write or sync that failed is never retried: it is unknown which of its bytes are on
the disk, and a later sync of the same file may succeed without them. The replica
neither votes nor acknowledges anything from then on. What it has acknowledged before
is all in memory, so at intervals it writes its whole state to new files and syncs
them. Once that has succeeded, the disk accepts writes and holds all that this replica
has ever answered for; it then takes part again, as if it had restarted.

A crash in between is harmless: each file is replaced atomically, and the snapshot is
written before the log, which may start no later than the snapshot ends.
"""

from absl import logging

from arbutuscleat.wire.gen.ttypes import VoteRecord

from .replica_state import ReplicaState
from .role import Role
from .stores import save_snapshot, save_vote

RETRY_SECONDS = 0.5
"""Interval between attempts: short beside an election, long beside the writes."""


class DiskRecovery:
    """Attempts to recover a failed replica.

    Parameters
    ----------
    state : ReplicaState
        The replica.
    """

    def __init__(self, state: ReplicaState):
        self._state = state
        self._attempts = 0
        self._failed_at = 0.0
        self._next_at: float | None = None
        """Monotonic time in seconds of the next attempt; None if none is due."""

    def tick(self) -> None:
        """Make an attempt, if the replica is failed and one is due."""
        state = self._state
        now = state.clock.monotonic()
        with state.lock:
            if state.role is not Role.FAILED:
                return
        if self._next_at is None:
            self._attempts = 0
            self._failed_at = now
            self._next_at = now + RETRY_SECONDS
        if now < self._next_at:
            return
        self._attempts += 1
        self._next_at = None if self._recover() else now + RETRY_SECONDS

    def _recover(self) -> bool:
        """Write the whole state to new files; return False if the disk fails."""
        state = self._state
        with state.disk_lock:
            # The role is entered with `disk_lock` held and left only below, and in it
            # nothing else changes what is written here.
            with state.lock:
                snapshot = state.snapshot
                batch = state.log.whole()
                vote = VoteRecord(
                    term=state.term, voted_for=state.voted_for, led=state.has_led
                )
            try:
                save_snapshot(state.disk, snapshot)
                state.log.rewrite(batch)
                save_vote(state.disk, vote)
            except OSError as exc:
                self._log_failure(exc)
                return False
            with state.lock:
                state.log.mark_synced(batch)
                state.recover()
        logging.info(
            "replica %s: the disk accepts writes again after %.1f s and %d attempts",
            state.node_id,
            state.clock.monotonic() - self._failed_at,
            self._attempts,
        )
        return True

    def _log_failure(self, exc: OSError) -> None:
        """Log an attempt that failed, each time their number has doubled."""
        if self._attempts & (self._attempts - 1):
            return
        logging.warning(
            "replica %s: the disk still refuses writes, attempt %d: %s",
            self._state.node_id,
            self._attempts,
            exc,
        )
