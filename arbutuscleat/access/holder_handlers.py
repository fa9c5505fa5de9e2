"""Handlers of the leader for the control instances that hold sessions."""

from absl import logging
from returns.result import Success

from arbutuscleat.consensus import Replica, Role
from arbutuscleat.core import Clock
from arbutuscleat.execution import EndBatcher, SessionRegistry
from arbutuscleat.jobs import JobTable
from arbutuscleat.wire import decode, encode
from arbutuscleat.wire.gen_jobs.ttypes import (
    JobCommand,
    ProposeAnswer,
    ProposeRequest,
    RenewAnswer,
    RenewRequest,
    Verdict,
)

COMMIT_SECONDS = 2.0
"""Timeout for committing a command; longer than an election takes."""


class HolderHandlers:
    """Renews leases on sessions and commits what the sessions propose.

    Parameters
    ----------
    replica : Replica
        This process's member of the consensus group.
    table : JobTable
        The replicated state of that replica.
    clock : Clock
        Source of time.
    registry : SessionRegistry
        Records the leases and reports of the holders.
    """

    def __init__(
        self,
        replica: Replica,
        table: JobTable,
        clock: Clock,
        registry: SessionRegistry,
    ):
        self._replica = replica
        self._table = table
        self._registry = registry
        self._end_batcher = EndBatcher(self._commit, clock)

    def renew(self, request: RenewRequest) -> RenewAnswer:
        """Record a report, and renew the lease of its sender."""
        answer = RenewAnswer(
            request_id=request.request_id,
            verdict=Verdict.NOT_LEADER,
            leader=leader_of(self._replica),
            granted=False,
            wants_complete=True,
        )
        if not self._replica.leads():
            return answer
        self._registry.observe_term(self._replica.term(), self._replica.led_since())
        answer.granted, answer.wants_complete = self._registry.renew(
            request, self._table.session_assignments.last_index
        )
        # A lease granted after the leadership had ended could overlap with another one.
        if self._replica.leads():
            answer.verdict = Verdict.DONE
        return answer

    def propose(self, request: ProposeRequest) -> ProposeAnswer:
        """Commit what a session has observed: ends, begun jobs, a lost worker."""
        answer = ProposeAnswer(
            request_id=request.request_id,
            verdict=Verdict.NOT_LEADER,
            leader=leader_of(self._replica),
        )
        if not self._replica.leads():
            return answer
        command = _decode_command(request.command)
        observed = (command.ends, command.begin_jobs, command.remove_worker)
        if all(part is None for part in observed):
            logging.warning("proposal refused: no ends, no begun jobs, no lost worker")
            answer.verdict = Verdict.INVALID
        elif self._end_batcher.propose(command):
            answer.verdict = Verdict.DONE
        else:
            answer.verdict = Verdict.UNKNOWN
        return answer

    def _commit(self, command: JobCommand) -> bool:
        return isinstance(
            self._replica.propose(encode(command), COMMIT_SECONDS), Success
        )


def leader_of(replica: Replica) -> str:
    """Return the known leader; empty if there is none or the replica leads itself."""
    status = replica.status()
    return "" if status.role is Role.LEADER else status.leader


def _decode_command(payload: bytes) -> JobCommand:
    """Return the command that a holder proposes; an empty one if it is malformed."""
    try:
        return decode(JobCommand, payload)
    except Exception as exc:  # The decoder raises errors of several kinds.
        logging.warning("a proposed command is malformed: %r", exc)
        return JobCommand()
