"""The thrift service of a control instance.

It commits commands, answers lookups, and grants leases to entry instances that
hold the current configuration version.
"""

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
    """Serves calls of other replicas, of entry instances and of the operator API.

    Parameters
    ----------
    replica : Replica
        This instance's replica of the log.
    machine : ControlStateMachine
        The state machine to which the log is applied.
    acks : AckTable
        Acknowledgements of the entry instances and leases granted to them.
    clock : Clock
        Source of time.
    lease_ms : int
        Duration of a lease granted with a fetch answer, in milliseconds.
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
        """Commit a command to the log, and return its result."""
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
        """Return the claim of a key, as a linearisable read."""
        answer = ClaimLookupAnswer(request_id=request.request_id, status=Status.OK)
        # Leadership is confirmed first, so that no committed claim is missed.
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
        """Record acknowledgements, wait for a newer version, and grant a lease."""
        for ack in request.acks or ():
            self._acks.record(ack)
        answer = answer_fetch(self._machine, request, self._clock)
        self._grant_lease(request, answer)
        return answer

    def status(self, request: StatusRequest) -> StatusAnswer:
        """Return the status of this instance and the latest reports of members."""
        replica_status = self._replica.status()
        leads = self._replica.leads()
        answer = StatusAnswer(
            request_id=request.request_id,
            status=Status.OK if leads else Status.NOT_LEADER,
            node_id=replica_status.node_id,
            leader=replica_status.leader,
            term=replica_status.term,
            commit_index=replica_status.commit_index,
            version=self._machine.version,
            entries=[self._node_status(status) for status in self._acks.statuses()],
        )
        if request.change_id:
            answer.change = self._machine.change_result(request.change_id)
        return answer

    def _grant_lease(self, request: FetchRequest, answer: FetchAnswer) -> None:
        """Add a lease if this instance leads and the caller is live and up to date."""
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
            # Recorded before it is sent: the dispatch gate must wait for its expiry.
            self._acks.record_grant(request.node_id)
        answer.lease_ms = self._lease_ms

    def _node_status(self, status: MemberStatus) -> NodeStatus:
        with self._machine.changed:
            member = self._machine.configuration.members.get(status.node_id)
        age = self._clock.monotonic() - status.heard_at
        return NodeStatus(
            node_id=status.node_id,
            data_centre=member.data_centre if member is not None else "",
            in_force_version=status.in_force_version,
            age_ms=int(age * 1000),
        )


def _is_live(member: Member, incarnation: str) -> bool:
    return member.live and not member.suspect and member.incarnation == incarnation
