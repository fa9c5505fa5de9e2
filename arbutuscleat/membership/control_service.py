"""The thrift handler of a control instance."""

import threading
from dataclasses import dataclass

from returns.result import Failure

from arbutuscleat.consensus import ProposalErrorKind, Replica
from arbutuscleat.core import Clock, Deadline
from arbutuscleat.state import ControlMachine
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen.ttypes import (
    AppendAnswer,
    AppendRequest,
    ChangeResult,
    ClaimRecord,
    FetchAnswer,
    FetchRequest,
    NodeStatus,
    ProposeAnswer,
    ProposeRequest,
    SnapshotAnswer,
    SnapshotChunk,
    Status,
    StatusAnswer,
    StatusRequest,
    VoteAnswer,
    VoteRequest,
)

MAX_WAIT_SECONDS = 5.0

_STATUS = {
    ProposalErrorKind.NOT_LEADER: Status.NOT_LEADER,
    ProposalErrorKind.NO_QUORUM: Status.NO_QUORUM,
    ProposalErrorKind.LOST: Status.TIMEOUT,
    ProposalErrorKind.UNKNOWN: Status.UNKNOWN,
}


@dataclass(frozen=True)
class _EntryView:
    """What an entry instance last said about itself."""

    data_centre: str
    in_force_version: int
    heard_at: float


class ControlService:
    """Answers replicas, entry instances and the operator front.

    Parameters
    ----------
    replica : Replica
        The member of the consensus group.
    machine : ControlMachine
        What the log acts upon.
    clock : Clock
        Source of time.
    lease_ms : int
        Validity of a lease granted with a fetch answer.
    """

    def __init__(
        self, replica: Replica, machine: ControlMachine, clock: Clock, lease_ms: int
    ):
        self._replica = replica
        self._machine = machine
        self._clock = clock
        self._lease_ms = lease_ms
        self._lock = threading.Lock()
        self._entries: dict[str, _EntryView] = {}

    # ---- consensus ----

    def vote(self, request: VoteRequest) -> VoteAnswer:
        """Answer a replica that asks for a vote."""
        return self._replica.handle_vote(request)

    def append(self, request: AppendRequest) -> AppendAnswer:
        """Answer a leader that sends entries."""
        return self._replica.handle_append(request)

    def install(self, request: SnapshotChunk) -> SnapshotAnswer:
        """Answer a leader that sends a snapshot."""
        return self._replica.handle_install(request)

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
        answer.version = self._machine.configuration.version
        return answer

    # ---- configuration ----

    def fetch(self, request: FetchRequest) -> FetchAnswer:
        """Answer with what is newer than the version known, waiting for it."""
        self._note_entry(request)
        wait = min(request.wait_ms / 1000.0, MAX_WAIT_SECONDS)
        deadline = Deadline.after(self._clock, wait)
        machine = self._machine
        with machine.changed:
            while machine.configuration.version <= request.known_version:
                if deadline.expired():
                    break
                self._clock.wait(machine.changed, deadline.remaining())
            answer = self._fetch_answer(request)
        self._grant(answer)
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
            version=self._machine.configuration.version,
            entries=self._entry_statuses(),
        )
        if request.change_id:
            answer.change = self._machine.change_result(request.change_id)
        return answer

    def _fetch_answer(self, request: FetchRequest) -> FetchAnswer:
        machine = self._machine
        answer = FetchAnswer(
            request_id=request.request_id,
            status=Status.OK,
            version=machine.configuration.version,
        )
        if answer.version <= request.known_version:
            return answer
        answer.deltas = machine.deltas_since(request.known_version)
        if request.known_version < 0 or answer.deltas is None:
            answer.deltas = None
            answer.full = machine.full()
        return answer

    def _grant(self, answer: FetchAnswer) -> None:
        """Add a lease when this instance leads, else point to the leader."""
        if self._replica.leads():
            answer.lease_ms = self._lease_ms
            return
        answer.status = Status.NOT_LEADER
        answer.leader = self._replica.status().leader
        answer.lease_ms = 0

    def _note_entry(self, request: FetchRequest) -> None:
        with self._machine.changed:
            member = self._machine.configuration.members.get(request.node_id)
        seen = _EntryView(
            data_centre=member.data_centre if member is not None else "",
            in_force_version=request.in_force_version,
            heard_at=self._clock.monotonic(),
        )
        with self._lock:
            self._entries[request.node_id] = seen

    def _entry_statuses(self) -> list[NodeStatus]:
        now = self._clock.monotonic()
        with self._lock:
            return [
                NodeStatus(
                    node_id=node_id,
                    data_centre=entry.data_centre,
                    in_force_version=entry.in_force_version,
                    age_ms=int((now - entry.heard_at) * 1000),
                )
                for node_id, entry in sorted(self._entries.items())
            ]
