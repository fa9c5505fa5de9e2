"""The thrift handler of a control instance."""

from returns.result import Failure

from arbutuscleat.consensus import ProposalErrorKind, Replica, ReplicaHandlers
from arbutuscleat.core import Clock
from arbutuscleat.state import ControlStateMachine, Member
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen.ttypes import (
    ChangeResult,
    ClaimLookup,
    ClaimLookupAnswer,
    ClaimRecord,
    FetchAnswer,
    FetchRequest,
    NodeStatus,
    ProposeAnswer,
    ProposeRequest,
    Status,
    StatusAnswer,
    StatusRequest,
)

from .ack_table import AckTable, MemberStatus
from .configuration_fetch import answer_fetch

_STATUS = {
    ProposalErrorKind.NOT_LEADER: Status.NOT_LEADER,
    ProposalErrorKind.NO_QUORUM: Status.NO_QUORUM,
    ProposalErrorKind.LOST: Status.TIMEOUT,
    ProposalErrorKind.UNKNOWN: Status.UNKNOWN,
}


class ControlService(ReplicaHandlers):
    """Answers replicas, entry instances and the operator front.

    Parameters
    ----------
    replica : Replica
        The member of the consensus group.
    machine : ControlStateMachine
        What the log acts upon.
    acks : AckTable
        What was heard of the entry instances.
    clock : Clock
        Source of time.
    lease_ms : int
        Validity of a lease granted with a fetch answer.
    """

    def __init__(
        self,
        replica: Replica,
        machine: ControlStateMachine,
        acks: AckTable,
        clock: Clock,
        lease_ms: int,
    ):
        super().__init__(replica)
        self._machine = machine
        self._acks = acks
        self._clock = clock
        self._lease_ms = lease_ms

    # ---- commands ----

    def propose(self, request: ProposeRequest) -> ProposeAnswer:
        """Put a command through the log."""
        answer = ProposeAnswer(request_id=request.request_id, status=Status.OK)
        timeout = request.timeout_ms / 1000.0
        result = self._replica.propose(encode(request.command), timeout)
        if isinstance(result, Failure):
            error = result.failure()
            answer.status = _STATUS[error.kind]
            answer.leader = error.leader
            return answer
        value = result.unwrap()
        if isinstance(value, ChangeResult):
            answer.change = value
        elif isinstance(value, ClaimRecord):
            answer.claim = value
        answer.version = self._machine.version
        return answer

    def lookup(self, request: ClaimLookup) -> ClaimLookupAnswer:
        """Answer with the claim of a key, as of now."""
        answer = ClaimLookupAnswer(request_id=request.request_id, status=Status.OK)
        # The leadership is confirmed first, so no claim committed before is missed.
        barrier = self._replica.read_barrier(request.timeout_ms / 1000.0)
        if isinstance(barrier, Failure):
            error = barrier.failure()
            answer.status = _STATUS[error.kind]
            answer.leader = error.leader
            return answer
        answer.claim = self._machine.claim(request.key)
        return answer

    # ---- configuration ----

    def fetch(self, request: FetchRequest) -> FetchAnswer:
        """Answer with what is newer than the version known, waiting for it."""
        for ack in request.acks or ():
            self._acks.record(ack)
        answer = answer_fetch(self._machine, request, self._clock)
        self._grant_lease(request, answer)
        return answer

    def status(self, request: StatusRequest) -> StatusAnswer:
        """Answer with the state of this instance and, if it leads, of the fleet."""
        found = self._replica.status()
        leads = self._replica.leads()
        answer = StatusAnswer(
            request_id=request.request_id,
            status=Status.OK if leads else Status.NOT_LEADER,
            node_id=found.node_id,
            leader=found.leader,
            term=found.term,
            commit_index=found.commit_index,
            version=self._machine.version,
            entries=[self._node_status(member) for member in self._acks.heard()],
        )
        if request.change_id:
            answer.change = self._machine.change_result(request.change_id)
        return answer

    def _grant_lease(self, request: FetchRequest, answer: FetchAnswer) -> None:
        """Add a lease when this instance leads and the holder is up to date."""
        if not self._replica.leads():
            answer.status = Status.NOT_LEADER
            answer.leader = self._replica.status().leader
            return
        machine = self._machine
        with machine.changed:
            if request.known_version != machine.version:
                return
            member = machine.configuration.members.get(request.node_id)
            if member is None or not _is_live(member, request.incarnation):
                return
            # Noted before it is sent: who waits for its end must know of it.
            self._acks.record_grant(request.node_id)
        answer.lease_ms = self._lease_ms

    def _node_status(self, heard: MemberStatus) -> NodeStatus:
        with self._machine.changed:
            member = self._machine.configuration.members.get(heard.node_id)
        age = self._clock.monotonic() - heard.heard_at
        return NodeStatus(
            node_id=heard.node_id,
            data_centre=member.data_centre if member is not None else "",
            in_force_version=heard.in_force_version,
            age_ms=int(age * 1000),
        )


def _is_live(member: Member, incarnation: str) -> bool:
    return member.live and not member.suspect and member.incarnation == incarnation
