"""What a replica answers to the others, as handlers of a thrift service."""

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
    """The consensus part of a control instance's service.

    Parameters
    ----------
    replica : Replica
        This process's member of the group.
    """

    def __init__(self, replica: Replica):
        self._replica = replica

    def vote(self, request: VoteRequest) -> VoteAnswer:
        """Answer a replica that asks for a vote."""
        return self._replica.handle_vote(request)

    def append(self, request: AppendRequest) -> AppendAnswer:
        """Answer a leader that sends entries."""
        return self._replica.handle_append(request)

    def install(self, request: SnapshotChunk) -> SnapshotAnswer:
        """Answer a leader that sends a snapshot."""
        return self._replica.handle_install(request)

    def take_over(self, request: TakeOverRequest) -> TakeOverAnswer:
        """Answer a leader that is about to stop."""
        return self._replica.handle_take_over(request)
