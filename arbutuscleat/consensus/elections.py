"""Elections: who leads, with pre-vote.

A replica that was cut off for long asks for pre-votes first.  They are refused
while others hear a leader, so its return does not unseat that leader.

A leader that starts again stands at once: the leader that others have heard of its
term is itself, and a later term would be known to a majority.
"""

from absl import logging

from arbutuscleat.wire.gen.ttypes import (
    TakeOverAnswer,
    TakeOverRequest,
    VoteAnswer,
    VoteRequest,
)

from .replica_state import ReplicaState
from .role import Role


class Elections:
    """Asks for votes and answers those who ask.

    Parameters
    ----------
    state : ReplicaState
        The replica.
    """

    def __init__(self, state: ReplicaState):
        self._state = state

    def tick(self) -> None:
        """Start a pre-vote when the election timeout has passed."""
        state = self._state
        with state.lock:
            if state.role in (Role.LEADER, Role.FAILED) or not state.is_voter():
                return
            if state.clock.monotonic() < state.election_due:
                return
            state.role = Role.PRE_CANDIDATE
            state.leader = ""
            self._start_round()
        self._count()

    def next_request(self, peer: str) -> VoteRequest | None:
        """Return what to ask `peer` in this round; `lock` is held."""
        state = self._state
        if state.role not in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            return None
        progress = state.progress[peer]
        if progress.asked_round == state.round or peer not in state.membership.voters():
            return None
        progress.asked_round = state.round
        pre_vote = state.role is Role.PRE_CANDIDATE
        return VoteRequest(
            term=state.term + 1 if pre_vote else state.term,
            candidate=state.node_id,
            incarnation=state.incarnation,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            pre_vote=pre_vote,
            returns=state.was_leader,
        )

    def handle_answer(
        self, peer: str, request: VoteRequest, answer: VoteAnswer
    ) -> None:
        """Count the vote of `peer`, unless it comes too late."""
        state = self._state
        with state.disk_lock, state.lock:
            if state.role is Role.FAILED:
                return
            if answer.term > state.term and not answer.granted:
                state.adopt_term(answer.term)
                return
            if not self._counts(peer, request, answer):
                return
            state.votes.add(peer)
        self._count()

    def handle(self, request: VoteRequest) -> VoteAnswer:
        """Answer a replica that asks for a vote."""
        state = self._state
        with state.disk_lock, state.lock:
            granted = False
            if state.role is not Role.FAILED:
                grant = self._grant_pre_vote if request.pre_vote else self._grant_vote
                granted = grant(request)
            return VoteAnswer(
                request_id=request.request_id,
                term=state.term,
                granted=granted,
                incarnation=state.incarnation,
            )

    def handle_take_over(self, request: TakeOverRequest) -> TakeOverAnswer:
        """Ask for votes at once, since the leader of this term is about to stop.

        The leader has stepped down before it asked, so no pre-vote is needed.
        """
        state = self._state
        with state.disk_lock, state.lock:
            accepted = (
                state.role is Role.FOLLOWER
                and state.is_voter()
                and request.term == state.term
            )
            if accepted:
                self._become_candidate()
        if accepted:
            self._count()
        return TakeOverAnswer(request_id=request.request_id, accepted=accepted)

    def _start_round(self) -> None:
        state = self._state
        state.round += 1
        state.votes = {state.node_id}
        state.reset_election_timer()
        state.send_ready.notify_all()

    def _counts(self, peer: str, request: VoteRequest, answer: VoteAnswer) -> bool:
        state = self._state
        record = state.membership.record(peer)
        if not answer.granted or record is None:
            return False
        if record.incarnation != answer.incarnation:
            return False  # A vote of a replica that has lost its disk.
        if request.pre_vote:
            return state.role is Role.PRE_CANDIDATE and request.term == state.term + 1
        return state.role is Role.CANDIDATE and request.term == state.term

    def _count(self) -> None:
        state = self._state
        with state.disk_lock, state.lock:
            while self._has_majority():
                if state.role is Role.CANDIDATE:
                    if state.persist_vote(state.term, state.node_id, led=True):
                        state.become_leader()
                    return
                self._become_candidate()

    def _has_majority(self) -> bool:
        state = self._state
        if state.role not in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            return False
        return len(state.votes) >= state.membership.quorum()

    def _become_candidate(self) -> None:
        state = self._state
        if not state.persist_vote(state.term + 1, state.node_id):
            return
        state.role = Role.CANDIDATE
        logging.info("replica %s: candidate of term %d", state.node_id, state.term)
        self._start_round()

    def _is_current(self, request: VoteRequest) -> bool:
        state = self._state
        own = (state.log.last_term, state.log.last_index)
        return (request.last_term, request.last_index) >= own

    def _grant_pre_vote(self, request: VoteRequest) -> bool:
        state = self._state
        if not state.is_voter() or request.term <= state.term:
            return False
        if state.leads():
            return False
        if state.hears_leader() and not self._is_returning_leader(request):
            return False
        return self._is_current(request)

    def _is_returning_leader(self, request: VoteRequest) -> bool:
        """Return whether the leader that was heard can only be the candidate itself."""
        return request.returns and self._state.leader in ("", request.candidate)

    def _grant_vote(self, request: VoteRequest) -> bool:
        state = self._state
        if request.term < state.term:
            return False
        if request.term > state.term and not state.adopt_term(request.term):
            return False
        if not state.is_voter() or not self._is_current(request):
            return False
        if state.voted_for not in ("", request.candidate):
            return False
        if not state.persist_vote(request.term, request.candidate):
            return False
        state.reset_election_timer()
        return True
