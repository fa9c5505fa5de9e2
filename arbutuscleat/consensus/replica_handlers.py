"""Thrift handlers for the requests of the other replicas of the group."""

from arbutuscleat.wire.gen.ttypes import (
    AppendAnswer,
    AppendRequest,
    SnapshotAnswer,
    SnapshotChunk,
    TakeOverAnswer,
    TakeOverRequest,
    VoteAnswer,
    VoteRequest,
)

from .replica import Replica


class ReplicaHandlers:
    """Consensus part of the service of a control instance.

    Parameters
    ----------
    replica : Replica
        The replica of this process.
    """

    def __init__(self, replica: Replica):
        self._replica = replica

    def vote(self, request: VoteRequest) -> VoteAnswer:
        """Answer a vote or pre-vote request of a candidate."""
        return self._replica.handle_vote(request)

    def append(self, request: AppendRequest) -> AppendAnswer:
        """Answer an append request, entries or a heartbeat, of a leader."""
        return self._replica.handle_append(request)

    def install(self, request: SnapshotChunk) -> SnapshotAnswer:
        """Answer a leader that sends a snapshot chunk."""
        return self._replica.handle_install(request)

    def take_over(self, request: TakeOverRequest) -> TakeOverAnswer:
        """Answer a stopping leader that asks this replica to start an election."""
        return self._replica.handle_take_over(request)
