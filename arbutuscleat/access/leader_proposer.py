"""Leader proposer: proposes commands to the log from any control instance."""

from arbutuscleat.wire import encode
from arbutuscleat.wire.gen_jobs.ttypes import JobCommand, ProposeRequest, Verdict

from .leader_client import LeaderClient

PROPOSE_SECONDS = 2.0
"""Timeout for committing a command; longer than an election takes."""


class LeaderProposer:
    """Passes the commands of sessions to the leader.

    These commands are idempotent, so a call whose answer is lost is repeated.

    Parameters
    ----------
    leader : LeaderClient
        Calls the leader.
    """

    def __init__(self, leader: LeaderClient):
        self._leader = leader

    def propose(self, command: JobCommand) -> bool:
        """Propose a command; return False if its commit is unconfirmed."""
        request = ProposeRequest(command=encode(command))
        answer = self._leader.call("propose", request, PROPOSE_SECONDS).answer
        return answer is not None and answer.verdict == Verdict.DONE
