"""Snapshots: they bound the log and catch up replicas that lag far behind."""

from arbutuscleat.wire.gen.ttypes import (
    LogBatch,
    SnapshotAnswer,
    SnapshotChunk,
    SnapshotRecord,
)

from .membership_log import MembershipLog
from .progress import Progress
from .replica_state import ReplicaState
from .replication import Replication
from .role import Role
from .stores import save_snapshot


class Snapshots:
    """Writes snapshots, sends them in chunks and installs those received.

    Parameters
    ----------
    state : ReplicaState
        The replica.
    replication : Replication
        Decides which leader to follow and which answers to count.
    """

    def __init__(self, state: ReplicaState, replication: Replication):
        self._state = state
        self._replication = replication
        self._incoming = b""

    def is_due(self) -> bool:
        """Return whether enough entries were applied since the last snapshot."""
        state = self._state
        applied = state.applied_index - state.snapshot.last_index
        max_bytes = max(state.cfg.snapshot_bytes, len(state.snapshot.data))
        is_due = (
            applied >= state.cfg.snapshot_entries or state.applied_bytes >= max_bytes
        )
        return is_due and state.role is not Role.FAILED

    def write(self) -> None:
        """Write a snapshot of the applied state and compact the log."""
        state = self._state
        # The timers call this, and must not wait for a disk that hangs.
        if not state.disk_lock.acquire(timeout=state.cfg.tick_seconds):
            return
        try:
            self._write_locked()
        finally:
            state.disk_lock.release()

    def _write_locked(self) -> None:
        state = self._state
        with state.lock:
            if not self.is_due():
                return
            record = self._capture()
            applied_bytes = state.applied_bytes
        try:
            save_snapshot(state.disk, record)
            with state.lock:
                state.snapshot = record
                state.applied_bytes -= applied_bytes
                first_kept = state.log.first_within(
                    record.last_index, state.cfg.kept_entries, state.cfg.kept_bytes
                )
                batch = state.log.compact(first_kept - 1)
            state.log.rewrite(batch)
        except OSError as exc:
            with state.lock:
                state.fail(exc)
            return
        with state.lock:
            # The rewritten file also holds entries that were not synced before.
            state.log.mark_synced(batch)
            if state.role is Role.LEADER:
                state.advance_commit()

    def next_request(self, peer: str) -> SnapshotChunk:
        """Return the next chunk for `peer`; the caller holds `lock`."""
        state = self._state
        progress = state.progress[peer]
        record = state.snapshot
        if progress.snapshot_index != record.last_index:
            progress.snapshot_index = record.last_index
            progress.snapshot_offset = 0
        start = progress.snapshot_offset
        data = record.data[start : start + state.cfg.snapshot_chunk_bytes]
        return SnapshotChunk(
            term=state.term,
            leader=state.node_id,
            last_index=record.last_index,
            last_term=record.last_term,
            replicas=record.replicas,
            offset=start,
            data=data,
            done=start + len(data) >= len(record.data),
        )

    def handle_answer(
        self, peer: str, request: SnapshotChunk, answer: SnapshotAnswer, sent_at: float
    ) -> None:
        """Record the chunk that `peer` has accepted or refused.

        Parameters
        ----------
        peer : str
            Node id of the peer.
        request : SnapshotChunk
            The answered chunk.
        answer : SnapshotAnswer
            The peer's answer.
        sent_at : float
            When the chunk was sent, in monotonic seconds.
        """
        state = self._state
        state.observe_term(answer.term)
        with state.lock:
            if state.role is not Role.LEADER or request.term != state.term:
                return
            progress = state.progress[peer]
            if not self._replication.is_listed(peer, answer.incarnation, progress):
                return
            progress.disk_failed = bool(answer.disk_failed)
            if progress.disk_failed:
                return  # Counts as silent.
            progress.acknowledged_at = max(progress.acknowledged_at, sent_at)
            self._advance_progress(progress, request, answer.accepted)
            state.peer_answered.notify_all()

    def handle(self, request: SnapshotChunk) -> SnapshotAnswer:
        """Answer a leader that sends a chunk; the last chunk installs the snapshot."""
        state = self._state
        with state.disk_lock:
            with state.lock:
                if not self._replication.follow(request.term, request.leader):
                    return self._answer(request, False)
            if request.offset == 0:
                self._incoming = b""
            if request.offset != len(self._incoming):
                return self._answer(request, False)
            self._incoming += request.data
            if request.done and not self._install(request):
                return self._answer(request, False)
            return self._answer(request, True)

    def _capture(self) -> SnapshotRecord:
        """Return a snapshot of the applied state; the caller holds `lock`."""
        state = self._state
        index = state.applied_index
        return SnapshotRecord(
            last_index=index,
            last_term=state.log.term_at(index),
            replicas=state.membership.at(index),
            data=state.state_machine.image(),
        )

    def _advance_progress(
        self, progress: Progress, request: SnapshotChunk, accepted: bool
    ) -> None:
        if not accepted:
            progress.snapshot_offset = 0
        elif request.done:
            progress.match_index = max(progress.match_index, request.last_index)
            progress.next_index = progress.match_index + 1
            progress.snapshot_index = 0
            self._state.advance_commit()
        else:
            progress.snapshot_offset = request.offset + len(request.data)

    def _install(self, request: SnapshotChunk) -> bool:
        """Save the received snapshot and restore it; return False if the disk fails."""
        state = self._state
        data, self._incoming = self._incoming, b""
        if request.last_index <= state.commit_index:
            return True
        record = SnapshotRecord(
            last_index=request.last_index,
            last_term=request.last_term,
            replicas=request.replicas,
            data=data,
        )
        try:
            save_snapshot(state.disk, record)
            with state.lock:
                batch = self._replace_state(record)
            state.log.rewrite(batch)
        except OSError as exc:
            with state.lock:
                state.fail(exc)
            return False
        return True

    def _replace_state(self, record: SnapshotRecord) -> LogBatch:
        """Restore a snapshot in memory and return the batch to rewrite the log with."""
        state = self._state
        if state.log.term_at(record.last_index) == record.last_term:
            batch = state.log.compact(record.last_index)
        else:
            batch = state.log.reset(record.last_index, record.last_term)
        state.state_machine.restore(record.data)
        state.snapshot = record
        state.applied_bytes = 0
        state.membership = MembershipLog(record.replicas, record.last_index)
        state.membership.add(batch.entries)
        state.commit_index = record.last_index
        state.applied_index = record.last_index
        state.applied_term = record.last_term
        # The results of proposals that the snapshot covers cannot be known.
        for index in [i for i in state.pending_proposals if i <= record.last_index]:
            state.pending_proposals.pop(index).done.set()
        return batch

    def _answer(self, request: SnapshotChunk, accepted: bool) -> SnapshotAnswer:
        return SnapshotAnswer(
            request_id=request.request_id,
            term=self._state.term,
            accepted=accepted,
            incarnation=self._state.incarnation,
            disk_failed=self._state.role is Role.FAILED,
        )
