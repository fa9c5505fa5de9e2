"""Elections: choosing the leader of a term, with a pre-vote.

A replica whose election timeout has expired asks for pre-votes first.  The others
refuse them while they hear a leader, so a replica that returns after a long
isolation does not depose that leader.

A leader that restarts asks for votes almost at once.  Voters need not refuse it when
they have heard a leader recently: that leader is the candidate itself, and a majority
would know of any later term.
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
    """Asks for votes and answers the vote requests of other replicas.

    Parameters
    ----------
    state : ReplicaState
        The replica.
    """

    def __init__(self, state: ReplicaState):
        self._state = state

    def tick(self) -> None:
        """Start a pre-vote if the election timeout has expired."""
        state = self._state
        with state.lock:
            if state.role in (Role.LEADER, Role.FAILED) or not state.is_voter():
                return
            if state.clock.monotonic() < state.election_due:
                return
            state.role = Role.PRE_CANDIDATE
            state.leader = ""
            self._start_round()
        self._count_votes()

    def next_request(self, peer: str) -> VoteRequest | None:
        """Return the vote request to send to `peer` in this round, or None.

        The caller holds `lock`.
        """
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
        """Count the vote of `peer` if it is for the current term and kind of vote.

        A refusal with a later term makes this replica adopt that term.

        Parameters
        ----------
        peer : str
            Node id of the peer.
        request : VoteRequest
            The answered request.
        answer : VoteAnswer
            The peer's answer.
        """
        state = self._state
        with state.disk_lock, state.lock:
            if state.role is Role.FAILED:
                return
            if answer.term > state.term and not answer.granted:
                state.adopt_term(answer.term)
                return
            if not self._is_valid_vote(peer, request, answer):
                return
            state.votes.add(peer)
        self._count_votes()

    def handle(self, request: VoteRequest) -> VoteAnswer:
        """Answer a vote or pre-vote request of a candidate."""
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
        """Start an election at once, because the leader of this term is about to stop.

        The leader stepped down before it sent the request, so no pre-vote is needed.
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
            self._count_votes()
        return TakeOverAnswer(request_id=request.request_id, accepted=accepted)

    def _start_round(self) -> None:
        state = self._state
        state.round += 1
        state.votes = {state.node_id}
        state.reset_election_timer()
        state.send_ready.notify_all()

    def _is_valid_vote(
        self, peer: str, request: VoteRequest, answer: VoteAnswer
    ) -> bool:
        state = self._state
        record = state.membership.record(peer)
        if not answer.granted or record is None or not record.voter:
            return False
        if record.incarnation != answer.incarnation:
            return False  # The vote of a replica that has lost its disk.
        if request.pre_vote:
            return state.role is Role.PRE_CANDIDATE and request.term == state.term + 1
        return state.role is Role.CANDIDATE and request.term == state.term

    def _count_votes(self) -> None:
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
        logging.info("replica %s: candidate in term %d", state.node_id, state.term)
        self._start_round()

    def _has_current_log(self, request: VoteRequest) -> bool:
        """Return whether the candidate's log is at least as up to date as this one."""
        state = self._state
        own = (state.log.last_term, state.log.last_index)
        return (request.last_term, request.last_index) >= own

    def _is_listed(self) -> bool:
        """Return whether the log lists this incarnation, as a voter or as a learner.

        A learner may have been promoted by an entry that it does not hold yet.  Its
        vote counts only for a candidate that holds that entry.
        """
        state = self._state
        record = state.membership.record(state.node_id)
        return record is not None and record.incarnation == state.incarnation

    def _grant_pre_vote(self, request: VoteRequest) -> bool:
        state = self._state
        if not self._is_listed() or request.term <= state.term:
            return False
        if state.leads():
            return False
        if state.hears_leader() and not self._is_returning_leader(request):
            return False
        return self._has_current_log(request)

    def _is_returning_leader(self, request: VoteRequest) -> bool:
        """Return whether no leader but the returning candidate itself was heard."""
        return request.returns and self._state.leader in ("", request.candidate)

    def _grant_vote(self, request: VoteRequest) -> bool:
        state = self._state
        if request.term < state.term:
            return False
        if request.term > state.term and not state.adopt_term(request.term):
            return False
        if not self._is_listed() or not self._has_current_log(request):
            return False
        if state.voted_for not in ("", request.candidate):
            return False
        if not state.persist_vote(request.term, request.candidate):
            return False
        state.reset_election_timer()
        return True
