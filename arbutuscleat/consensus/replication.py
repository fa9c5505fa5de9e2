"""Replication: the leader sends the entries of its log to the other replicas.

A follower acknowledges entries only once they are synced.  The leader counts an
acknowledgement only from the incarnation that the log lists.
"""

from collections.abc import Sequence

from arbutuscleat.core import InvariantError
from arbutuscleat.wire.gen.ttypes import (
    AppendAnswer,
    AppendRequest,
    LogBatch,
    LogEntry,
)

from .progress import Progress
from .replica_state import ReplicaState
from .role import Role


class Replication:
    """Sends entries as leader and stores them as follower.

    Parameters
    ----------
    state : ReplicaState
        The replica.
    """

    def __init__(self, state: ReplicaState):
        self._state = state

    # ---- leader ----

    def next_request(self, peer: str) -> AppendRequest | None:
        """Return the next append request, entries or a heartbeat, for `peer`.

        The caller holds `lock`.

        Returns
        -------
        AppendRequest or None
            None if nothing is due, or if the peer needs entries that only the
            snapshot still covers.
        """
        state = self._state
        progress = state.progress[peer]
        previous = progress.next_index - 1
        previous_term = state.log.term_at(previous)
        if previous_term is None:
            return None
        behind = progress.next_index <= state.log.last_index
        may_send = self.may_send(progress) and not self._is_early(peer, progress)
        if not self.is_due(progress) and not (behind and may_send):
            return None
        entries: list[LogEntry] = []
        if not progress.disk_failed:  # Otherwise heartbeats show when it recovers.
            entries = state.log.slice(
                progress.next_index,
                state.cfg.max_batch_entries,
                state.cfg.max_batch_bytes,
            )
        return AppendRequest(
            term=state.term,
            leader=state.node_id,
            previous_index=previous,
            previous_term=previous_term,
            entries=entries,
            commit_index=state.commit_index,
        )

    def handle_answer(
        self, peer: str, request: AppendRequest, answer: AppendAnswer, sent_at: float
    ) -> None:
        """Record which entries `peer` holds and commit those that a majority holds.

        Parameters
        ----------
        peer : str
            Node id of the peer.
        request : AppendRequest
            The answered request.
        answer : AppendAnswer
            The peer's answer.
        sent_at : float
            When the request was sent, in monotonic seconds.
        """
        state = self._state
        state.observe_term(answer.term)
        with state.lock:
            if state.role is not Role.LEADER or request.term != state.term:
                return
            progress = state.progress[peer]
            if not self.is_listed(peer, answer.incarnation, progress):
                return
            progress.disk_failed = bool(answer.disk_failed)
            if progress.disk_failed:
                return  # Counts as silent: it can neither vote nor store entries.
            progress.acknowledged_at = max(progress.acknowledged_at, sent_at)
            if answer.accepted:
                progress.match_index = max(progress.match_index, answer.last_index)
                progress.next_index = progress.match_index + 1
                state.advance_commit()
            else:
                self._decrease_next_index(progress, answer.last_index)
            state.peer_answered.notify_all()

    def is_due(self, progress: Progress) -> bool:
        """Return whether the next heartbeat or retry to a peer is due."""
        return self._state.clock.monotonic() >= progress.send_at

    def may_send(self, progress: Progress) -> bool:
        """Return whether entries or a snapshot chunk may be sent to a peer at once.

        A peer that does not answer is retried only at the heartbeat interval.
        """
        return self._state.is_responsive(progress) or self.is_due(progress)

    def _is_early(self, peer: str, progress: Progress) -> bool:
        """Return whether a learner was sent a request too recently for another one."""
        state = self._state
        early_until = progress.sent_at + state.cfg.learner_interval_seconds
        return state.clock.monotonic() < early_until and state.is_learner(peer)

    def is_listed(self, peer: str, incarnation: str, progress: Progress) -> bool:
        """Return whether the log lists `peer` with this incarnation.

        An incarnation that is not listed is recorded in `progress`; the leader then
        adds it to the replica set.
        """
        record = self._state.membership.record(peer)
        if record is None or record.incarnation != incarnation:
            progress.unlisted_incarnation = incarnation
            return False
        progress.unlisted_incarnation = ""
        return True

    def write_unsynced(self) -> bool:
        """Write the unsynced entries of the leader to the disk with one sync.

        Returns
        -------
        bool
            Whether entries were written.  False if there are none, if this replica
            is not the leader or if the disk fails.
        """
        with self._state.disk_lock:
            return self.write_unsynced_locked()

    def write_unsynced_locked(self) -> bool:
        """Do the same as `write_unsynced`; the caller holds `disk_lock`."""
        state = self._state
        with state.lock:
            batch = state.log.unsynced()
            if batch is None or state.role is not Role.LEADER:
                return False
        if not self._write(batch):
            return False
        with state.lock:
            state.log.mark_synced(batch)
            if state.role is Role.LEADER:
                state.advance_commit()
        return True

    # ---- follower ----

    def handle(self, request: AppendRequest) -> AppendAnswer:
        """Store the entries of an append request and answer it."""
        state = self._state
        with state.disk_lock:
            with state.lock:
                if not self.follow(request.term, request.leader):
                    return self._answer(request, False, 0)
                conflict_hint = self._conflict_hint(request)
                if conflict_hint is not None:
                    return self._answer(request, False, conflict_hint)
                self._append_entries(request.entries)
                # A former leader may also hold entries that it never synced.
                batch = state.log.unsynced()
            if batch is not None and not self._write(batch):
                return self._answer(request, False, 0)
            with state.lock:
                if batch is not None:
                    state.log.mark_synced(batch)
                last = request.previous_index + len(request.entries)
                state.commit_to(min(request.commit_index, last))
                return self._answer(request, True, last)

    def follow(self, term: int, leader: str) -> bool:
        """Follow the leader of a term; the caller holds both locks.

        Returns
        -------
        bool
            False if the term is outdated or the disk has failed.

        Raises
        ------
        InvariantError
            If this replica itself leads the term.
        """
        state = self._state
        if state.role is Role.FAILED or term < state.term:
            return False
        if term > state.term and not state.adopt_term(term):
            return False
        if state.role is Role.LEADER:
            raise InvariantError(f"two leaders in term {term}")
        if state.role is not Role.FOLLOWER or state.leader != leader:
            state.become_follower(leader)
        state.last_heard = state.clock.monotonic()
        state.reset_election_timer()
        return True

    def _decrease_next_index(self, progress: Progress, hint: int) -> None:
        progress.next_index = max(1, min(progress.next_index - 1, hint + 1))

    def _conflict_hint(self, request: AppendRequest) -> int | None:
        """Return the last index that may match the leader's log, None if all fits."""
        log = self._state.log
        if request.previous_index > log.last_index:
            return log.last_index
        if request.previous_index < log.base_index:
            return None  # Covered by the snapshot, hence committed and identical.
        if log.term_at(request.previous_index) == request.previous_term:
            return None
        return min(self._state.commit_index, request.previous_index - 1)

    def _append_entries(self, entries: Sequence[LogEntry]) -> None:
        state = self._state
        missing = [entry for entry in entries if not self._holds(entry)]
        if not missing:
            return
        base = missing[0].index - 1
        if base < state.commit_index:
            raise InvariantError(f"entry {base + 1} conflicts with a committed entry")
        first = next(i for i, entry in enumerate(entries) if entry.index == base + 1)
        state.membership.truncate(base)
        state.log.replace_after(base, entries[first:])
        state.membership.add(entries[first:])

    def _holds(self, entry: LogEntry) -> bool:
        log = self._state.log
        return entry.index <= log.base_index or log.term_at(entry.index) == entry.term

    def _write(self, batch: LogBatch) -> bool:
        state = self._state
        state.write_began_at = state.clock.monotonic()
        try:
            state.log.write(batch)
        except OSError as exc:
            with state.lock:
                state.fail(exc)
            return False
        finally:
            state.write_began_at = None
        return True

    def _answer(
        self, request: AppendRequest, accepted: bool, last: int
    ) -> AppendAnswer:
        state = self._state
        return AppendAnswer(
            request_id=request.request_id,
            term=state.term,
            accepted=accepted,
            last_index=last,
            incarnation=state.incarnation,
            disk_failed=state.role is Role.FAILED,
        )
