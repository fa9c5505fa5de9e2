"""Replicas: the members of a consensus group.

The steps that the threads of a replica run are public methods, so that a test can
run them without any thread.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from absl import logging
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
from .disk_recovery import DiskRecovery
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
    """Status of a replica, as it reports it.

    Parameters
    ----------
    node_id, incarnation : str
        Node id and incarnation of the replica.
    role : Role
        Its current role.
    term : int
        The latest term it knows of.
    leader : str
        Node id of the leader; empty if none is known or it was not heard recently.
    commit_index : int
        Index of the last committed entry that is applied.
    voter : bool
        Whether the log lists this incarnation as a voter.
    failure : str
        The disk error because of which the replica is failed; empty if it is not.
    """

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
        Node id and incarnation of the replica, from its data folder.
    cfg : ReplicaConfig
        Timing and size limits.
    disk : Disk
        The data folder.
    peers : sequence of Peer
        The other replicas.
    state_machine : StateMachine
        State machine to which the committed commands are applied.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of random election timeouts.
    make_peer : callable, optional
        Creates the peer for a node id that the log lists.  Without it, the group
        consists of the given peers.
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
        self._disk_recovery = DiskRecovery(self._state)
        self._threads = ReplicaThreads(
            self._state,
            {peer.node_id: peer for peer in peers},
            self.tick,
            self.write_unsynced,
            self._next_request,
            self.handle_answer,
        )

    # ---- start and stop ----

    def start(self) -> None:
        """Start the threads."""
        self._update_peers()
        self._threads.start()

    def stop(self) -> None:
        """Transfer the leadership, stop the threads and wait for them."""
        self.transfer_leadership()
        self._threads.stop()

    def transfer_leadership(self) -> bool:
        """Step down and ask a voter that holds every entry to start an election.

        Returns
        -------
        bool
            Whether a voter has accepted the request.
        """
        state = self._state
        with state.lock:
            if state.role is not Role.LEADER:
                return False
            last = state.log.last_index
            current = [n for n, p in state.progress.items() if p.match_index >= last]
            voters = [name for name in state.membership.voters() if name in current]
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
        """Append a command to the log and wait until it is applied.

        Parameters
        ----------
        payload : bytes
            The command.
        timeout : float
            Longest wait, in seconds.

        Returns
        -------
        Result of object
            The result from the state machine, or why there is none.
        """
        state = self._state
        with state.lock:
            if state.role is not Role.LEADER:
                return Failure(self._error(ProposalErrorKind.NOT_LEADER))
            if not state.leads():
                return Failure(self._error(ProposalErrorKind.NO_QUORUM))
            unapplied = state.log.bytes_between(
                state.applied_index + 1, state.log.last_index
            )
            if unapplied + len(payload) > max(
                state.cfg.max_unapplied_bytes, len(payload)
            ):
                return Failure(self._error(ProposalErrorKind.NO_QUORUM))
            entry = state.append(EntryKind.COMMAND, payload)
            pending = PendingProposal(entry.term)
            state.pending_proposals[entry.index] = pending
            state.write_ready.notify()
        if not state.clock.sleep(pending.done, timeout):
            with state.lock:
                if state.pending_proposals.get(entry.index) is pending:
                    del state.pending_proposals[entry.index]
        with state.lock:
            return self._proposal_result(pending)

    def read_barrier(self, timeout: float) -> Result[int, ProposalError]:
        """Return the commit index once a quorum has confirmed the leadership.

        Parameters
        ----------
        timeout : float
            Longest wait, in seconds.

        Returns
        -------
        Result of int
            The commit index, or the error NOT_LEADER or NO_QUORUM.
        """
        state = self._state
        deadline = Deadline.after(state.clock, timeout)
        asked_at = state.clock.monotonic()
        with state.lock:
            for voter in state.membership.voters():
                if voter in state.progress:
                    state.progress[voter].send_at = asked_at
            state.send_ready.notify_all()
            while state.role is Role.LEADER:
                if self._has_committed_in_term() and state.quorum_heard_since(asked_at):
                    return Success(state.commit_index)
                if deadline.expired():
                    return Failure(self._error(ProposalErrorKind.NO_QUORUM))
                state.clock.wait(state.peer_answered, deadline.remaining())
            return Failure(self._error(ProposalErrorKind.NOT_LEADER))

    def leads(self) -> bool:
        """Return whether this replica leads, hears a quorum and is up to date.

        It is up to date once an entry of its term is applied.  This takes no lock: it
        is asked before each call, and would wait while entries are applied.
        """
        state = self._state
        return state.leads() and state.applied_term == state.term

    def led_since(self) -> float:
        """Return the monotonic time at which this replica last became leader.

        This takes no lock, to avoid a deadlock: the control planner and the executor
        call it while they hold the lock of their state machine, and applying an entry
        takes that lock while it holds the lock of the replica.
        """
        return self._state.led_since

    def status(self) -> ReplicaStatus:
        """Return the status of the replica; like `leads`, this takes no lock."""
        state = self._state
        return ReplicaStatus(
            node_id=state.node_id,
            incarnation=state.incarnation,
            role=state.role,
            term=state.term,
            leader=state.known_leader(),
            commit_index=state.applied_index,
            voter=state.is_voter(),
            failure=state.failure,
        )

    def accept_join(self, node_id: str, incarnation: str) -> bool:
        """Accept the request of a replica to be listed in the log.

        Parameters
        ----------
        node_id, incarnation : str
            Node id and incarnation of the replica that asks to join.

        Returns
        -------
        bool
            False if this replica is not the leader or its group is fixed.
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
        """Return the node ids of the replicas that the log lists."""
        with self._state.lock:
            return [item.node_id for item in self._state.membership.current.replicas]

    def voters(self) -> list[str]:
        """Return the node ids of the voters that the log lists."""
        with self._state.lock:
            return list(self._state.membership.voters())

    def term(self) -> int:
        """Return the current term."""
        return self._state.term

    # ---- for peers ----

    def handle_vote(self, request: VoteRequest) -> VoteAnswer:
        """Answer a vote or pre-vote request of a candidate."""
        return self._elections.handle(request)

    def handle_append(self, request: AppendRequest) -> AppendAnswer:
        """Answer an append request, entries or a heartbeat, of a leader."""
        return self._replication.handle(request)

    def handle_install(self, request: SnapshotChunk) -> SnapshotAnswer:
        """Answer a leader that sends a snapshot chunk."""
        return self._snapshots.handle(request)

    def handle_take_over(self, request: TakeOverRequest) -> TakeOverAnswer:
        """Answer a stopping leader that asks this replica to start an election."""
        return self._elections.handle_take_over(request)

    # ---- steps of the threads ----

    def tick(self) -> None:
        """Check the timers once and do what is due."""
        self._update_peers()
        self._step_down_if_unfit()
        self._elections.tick()
        self._reconfiguration.tick()
        self._disk_recovery.tick()
        if self._snapshots.is_due():
            self._snapshots.write()

    def write_unsynced(self) -> bool:
        """Write and sync the leader's unsynced entries; return whether any were."""
        return self._replication.write_unsynced()

    def next_request(self, peer: str) -> PeerRequest | None:
        """Return the request to send to `peer` now, or None if nothing is due."""
        with self._state.lock:
            return self._next_request(peer)

    def handle_answer(
        self, peer: str, request: PeerRequest, answer: PeerAnswer, sent_at: float
    ) -> None:
        """Process the answer of a peer.

        Parameters
        ----------
        peer : str
            Node id of the peer.
        request : PeerRequest
            The answered request.
        answer : PeerAnswer
            The peer's answer.
        sent_at : float
            When the request was sent, in monotonic seconds.
        """
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

    # ---- internal ----

    def _update_peers(self) -> None:
        """Add the peers that the log lists, and remove those it no longer lists.

        The leader keeps a peer that waits to be listed.
        """
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
        """Return the progress of a peer, and add the peer if it is new.

        The caller holds `lock`.
        """
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

    def _next_request(self, peer: str) -> PeerRequest | None:
        state = self._state
        if state.role is not Role.LEADER:
            return self._elections.next_request(peer)
        progress = state.progress.get(peer)
        if progress is None:
            return None
        request: PeerRequest | None = self._replication.next_request(peer)
        needs_snapshot = state.log.term_at(progress.next_index - 1) is None
        if request is None and needs_snapshot and self._replication.may_send(progress):
            request = self._snapshots.next_request(peer)
        if request is not None:
            progress.sent_at = state.clock.monotonic()
            progress.send_at = progress.sent_at + state.cfg.heartbeat_seconds
        return request

    def _step_down_if_unfit(self) -> None:
        """Give up the leadership without a quorum, or with a disk that hangs.

        With that disk a leader would keep its vote, as it is never silent to itself.
        """
        state = self._state
        with state.lock:
            if state.role is not Role.LEADER:
                return
            if not state.leads():
                state.become_follower("")
                return
            hangs = state.does_disk_hang()
        if hangs:
            logging.warning("replica %s: the disk hangs", state.node_id)
            self.transfer_leadership()

    def _has_committed_in_term(self) -> bool:
        """Return whether an entry of the current term is committed."""
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
