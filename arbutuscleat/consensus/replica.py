"""A replica of the group: its steps and what others may ask of it.

The steps that its tasks take are methods of their own, so a test can take them
without any task.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from arbutuscleat.core import Clock, Deadline, InvariantError
from arbutuscleat.wire.gen.ttypes import (
    AppendAnswer,
    AppendRequest,
    EntryKind,
    IdentityRecord,
    SnapshotAnswer,
    SnapshotChunk,
    TakeOverAnswer,
    TakeOverRequest,
    VoteAnswer,
    VoteRequest,
)

from .config import ReplicaConfig
from .disk import Disk
from .elections import Elections
from .peer import Peer, PeerAnswer, PeerRequest
from .progress import Progress
from .proposal import PendingProposal, ProposalError, ProposalErrorKind
from .reconfiguration import Reconfiguration
from .replica_state import ReplicaState
from .replica_threads import ReplicaThreads
from .replication import Replication
from .role import Role
from .snapshots import Snapshots
from .state_machine import StateMachine


@dataclass(frozen=True)
class ReplicaStatus:
    """What a replica says about itself; no leader unless heard a moment ago."""

    node_id: str
    incarnation: str
    role: Role
    term: int
    leader: str
    commit_index: int
    voter: bool
    failure: str


class Replica:
    """One member of the consensus group.

    Parameters
    ----------
    identity : IdentityRecord
        Who the replica is, from its data folder.
    cfg : ReplicaConfig
        Timing and size limits.
    disk : Disk
        The data folder.
    peers : sequence of Peer
        The other replicas.
    state_machine : StateMachine
        What the committed commands act upon.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of election timeouts.
    make_peer : callable, optional
        Makes the peer of a node id; without it the group is the given peers.
    """

    def __init__(
        self,
        identity: IdentityRecord,
        cfg: ReplicaConfig,
        disk: Disk,
        peers: Sequence[Peer],
        state_machine: StateMachine,
        clock: Clock,
        rng: random.Random,
        make_peer: Callable[[str], Peer] | None = None,
    ):
        self._state = ReplicaState(
            identity.node_id, identity.incarnation, cfg, disk, state_machine, clock, rng
        )
        self._make_peer = make_peer
        self._state.progress = {peer.node_id: Progress() for peer in peers}
        self._elections = Elections(self._state)
        self._replication = Replication(self._state)
        self._snapshots = Snapshots(self._state, self._replication)
        self._reconfiguration = Reconfiguration(self._state)
        self._threads = ReplicaThreads(
            self._state,
            {peer.node_id: peer for peer in peers},
            self.tick,
            self.write_unsynced,
            self._next_request,
            self.handle_answer,
        )

    # ---- life ----

    def start(self) -> None:
        """Start the tasks."""
        self._update_peers()
        self._threads.start()

    def stop(self) -> None:
        """Hand the leadership over, stop the tasks and wait for them."""
        self.transfer_leadership()
        self._threads.stop()

    def transfer_leadership(self) -> bool:
        """Step down and let the peer that holds everything ask for votes.

        Returns
        -------
        bool
            Whether a peer has taken the request.
        """
        state = self._state
        with state.lock:
            if state.role is not Role.LEADER:
                return False
            last = state.log.last_index
            ready = [n for n, p in state.progress.items() if p.match_index >= last]
            voters = [name for name in state.membership.voters() if name in ready]
            request = TakeOverRequest(term=state.term)
            state.become_follower("")
        for name in voters:
            peer = self._threads.peer(name)
            if peer is None:
                continue  # No longer listed.
            answer = peer.send(request, state.cfg.call_seconds)
            if isinstance(answer, Success) and answer.unwrap().accepted:
                return True
        return False

    # ---- for clients ----

    def propose(self, payload: bytes, timeout: float) -> Result[object, ProposalError]:
        """Put a command through the log and return the machine's result."""
        state = self._state
        with state.lock:
            if state.role is not Role.LEADER:
                return Failure(self._error(ProposalErrorKind.NOT_LEADER))
            if not state.leads():
                return Failure(self._error(ProposalErrorKind.NO_QUORUM))
            entry = state.append(EntryKind.COMMAND, payload)
            pending = PendingProposal(entry.term)
            state.pending_proposals[entry.index] = pending
        self._write_or_notify_writer()
        if not state.clock.sleep(pending.done, timeout):
            with state.lock:
                if state.pending_proposals.get(entry.index) is pending:
                    del state.pending_proposals[entry.index]
        with state.lock:
            return self._proposal_result(pending)

    def read_barrier(self, timeout: float) -> Result[int, ProposalError]:
        """Return the commit index once a quorum has confirmed the leadership."""
        state = self._state
        deadline = Deadline.after(state.clock, timeout)
        asked_at = state.clock.monotonic()
        with state.lock:
            for progress in list(state.progress.values()):
                progress.send_at = asked_at
            state.send_ready.notify_all()
            while state.role is Role.LEADER:
                if self._has_committed_in_term() and state.quorum_heard_since(asked_at):
                    return Success(state.commit_index)
                if deadline.expired():
                    return Failure(self._error(ProposalErrorKind.NO_QUORUM))
                state.clock.wait(state.peer_answered, deadline.remaining())
            return Failure(self._error(ProposalErrorKind.NOT_LEADER))

    def leads(self) -> bool:
        """Return whether this replica leads, hears a quorum and is up to date."""
        with self._state.lock:
            return self._state.leads() and self._has_committed_in_term()

    def led_since(self) -> float:
        """Return the monotonic time at which this replica last became leader.

        It takes no lock: the planner asks while it holds the state machine's, which
        is taken after the replica's when an entry is applied.
        """
        return self._state.led_since

    def status(self) -> ReplicaStatus:
        """Return what the replica says about itself."""
        state = self._state
        with state.lock:
            return ReplicaStatus(
                node_id=state.node_id,
                incarnation=state.incarnation,
                role=state.role,
                term=state.term,
                leader=state.known_leader(),
                commit_index=state.commit_index,
                voter=state.is_voter(),
                failure=state.failure,
            )

    def admit(self, node_id: str, incarnation: str) -> bool:
        """Let a replica that asks to join be listed; False unless this one leads.

        Parameters
        ----------
        node_id, incarnation : str
            How the replica presents itself.
        """
        state = self._state
        with state.lock:
            if state.role is not Role.LEADER or self._make_peer is None:
                return False
            record = state.membership.record(node_id)
            progress = self._ensure_peer(node_id)
            if record is None or record.incarnation != incarnation:
                progress.unlisted_incarnation = incarnation
        return True

    def members(self) -> list[str]:
        """Return the node ids that the log lists."""
        with self._state.lock:
            return [item.node_id for item in self._state.membership.current.replicas]

    def term(self) -> int:
        """Return the current term."""
        return self._state.term

    # ---- for peers ----

    def handle_vote(self, request: VoteRequest) -> VoteAnswer:
        """Answer a replica that asks for a vote."""
        return self._elections.handle(request)

    def handle_append(self, request: AppendRequest) -> AppendAnswer:
        """Answer a leader that sends entries or a heartbeat."""
        return self._replication.handle(request)

    def handle_install(self, request: SnapshotChunk) -> SnapshotAnswer:
        """Answer a leader that sends a piece of a snapshot."""
        return self._snapshots.handle(request)

    def handle_take_over(self, request: TakeOverRequest) -> TakeOverAnswer:
        """Answer a leader that is about to stop."""
        return self._elections.handle_take_over(request)

    # ---- steps of the tasks ----

    def tick(self) -> None:
        """Look at the timers once."""
        self._update_peers()
        self._step_down_without_quorum()
        self._elections.tick()
        self._reconfiguration.tick()
        if self._snapshots.is_due():
            self._snapshots.write()

    def write_unsynced(self) -> bool:
        """Write and sync the entries that wait; return whether there were any."""
        return self._replication.write_unsynced()

    def next_request(self, peer: str) -> PeerRequest | None:
        """Return what is to be sent to `peer` now, if anything."""
        with self._state.lock:
            return self._next_request(peer)

    def handle_answer(
        self, peer: str, request: PeerRequest, answer: PeerAnswer, sent_at: float
    ) -> None:
        """Take the answer of `peer` to a request sent at `sent_at`."""
        if peer not in self._state.progress:
            return  # No longer listed.
        match request, answer:
            case VoteRequest(), VoteAnswer():
                self._elections.handle_answer(peer, request, answer)
            case AppendRequest(), AppendAnswer():
                self._replication.handle_answer(peer, request, answer, sent_at)
            case SnapshotChunk(), SnapshotAnswer():
                self._snapshots.handle_answer(peer, request, answer, sent_at)
            case _:
                raise InvariantError(f"{type(answer)} answers {type(request)}")

    # ---- details ----

    def _update_peers(self) -> None:
        """Converse with each replica that the log lists, and with no other."""
        state = self._state
        if self._make_peer is None:
            return
        with state.lock:
            listed = {item.node_id for item in state.membership.current.replicas}
            for node_id in listed - {state.node_id}:
                self._ensure_peer(node_id)
            for node_id in set(state.progress) - listed:
                if (
                    state.progress[node_id].unlisted_incarnation
                    and state.role is Role.LEADER
                ):
                    continue
                del state.progress[node_id]
                self._threads.remove_peer(node_id)

    def _ensure_peer(self, node_id: str) -> Progress:
        """Return the progress of a peer, made when it is new; `lock` is held."""
        state = self._state
        progress = state.progress.get(node_id)
        if progress is None:
            assert self._make_peer is not None
            progress = Progress(next_index=state.log.last_index + 1)
            if state.role is Role.LEADER:
                progress.acknowledged_at = state.clock.monotonic()
            state.progress[node_id] = progress
            self._threads.add_peer(self._make_peer(node_id))
        return progress

    def _write_or_notify_writer(self) -> None:
        """Write at once when nobody writes; else the writer takes all that wait.

        A lone proposer is spared two switches between tasks; under load one sync
        carries all the entries that have come meanwhile.
        """
        state = self._state
        if state.disk_lock.acquire(blocking=False):
            try:
                self._replication.write_unsynced_locked()
            finally:
                state.disk_lock.release()
        with state.lock:
            if state.log.synced_index < state.log.last_index:
                state.write_ready.notify()

    def _next_request(self, peer: str) -> PeerRequest | None:
        state = self._state
        if state.role is not Role.LEADER:
            return self._elections.next_request(peer)
        progress = state.progress.get(peer)
        if progress is None:
            return None
        request: PeerRequest | None = self._replication.next_request(peer)
        behind_base = state.log.term_at(progress.next_index - 1) is None
        if request is None and behind_base and self._replication.may_send(progress):
            request = self._snapshots.next_request(peer)
        if request is not None:
            progress.send_at = state.clock.monotonic() + state.cfg.heartbeat_seconds
        return request

    def _step_down_without_quorum(self) -> None:
        state = self._state
        with state.lock:
            if state.role is Role.LEADER and not state.leads():
                state.become_follower("")

    def _has_committed_in_term(self) -> bool:
        state = self._state
        return state.log.term_at(state.commit_index) == state.term

    def _proposal_result(
        self, pending: PendingProposal
    ) -> Result[object, ProposalError]:
        if pending.applied:
            return Success(pending.result)
        if pending.done.is_set() and pending.overwritten:
            return Failure(self._error(ProposalErrorKind.LOST))
        return Failure(self._error(ProposalErrorKind.UNKNOWN))

    def _error(self, kind: ProposalErrorKind) -> ProposalError:
        return ProposalError(kind, self._state.leader)
