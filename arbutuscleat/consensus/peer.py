"""Peers: connections from a replica to the other replicas of its group."""

from abc import ABC, abstractmethod

from returns.result import Result

from arbutuscleat.wire import Address, CallError, Channel, Credentials
from arbutuscleat.wire.gen import Control
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

PeerRequest = VoteRequest | AppendRequest | SnapshotChunk | TakeOverRequest
PeerAnswer = VoteAnswer | AppendAnswer | SnapshotAnswer | TakeOverAnswer

_METHODS = {
    VoteRequest: "vote",
    AppendRequest: "append",
    SnapshotChunk: "install",
    TakeOverRequest: "take_over",
}


class Peer(ABC):
    """Connection to one other replica."""

    @property
    @abstractmethod
    def node_id(self) -> str:
        """Node id of the replica."""

    @abstractmethod
    def send(
        self, request: PeerRequest, timeout: float
    ) -> Result[PeerAnswer, CallError]:
        """Send a request and wait for its answer.

        Parameters
        ----------
        request : PeerRequest
            The request.
        timeout : float
            In seconds.

        Returns
        -------
        Result of PeerAnswer
            The answer, or the error if the call failed.
        """

    @abstractmethod
    def close(self) -> None:
        """Abort a call in progress and close the connection."""


class ThriftPeer(Peer):
    """Peer that is called through a thrift channel.

    Parameters
    ----------
    node_id : str
        Node id of the replica.
    address : Address
        Where the replica listens.
    credentials : Credentials
        Credentials for the channel.
    client_class : type, default=Control.Client
        Thrift client of the service that the replica provides.
    """

    def __init__(
        self,
        node_id: str,
        address: Address,
        credentials: Credentials,
        client_class: type = Control.Client,
    ):
        self._node_id = node_id
        self._channel = Channel(client_class, address, credentials)

    @property
    def node_id(self) -> str:
        """Node id of the replica."""
        return self._node_id

    def send(
        self, request: PeerRequest, timeout: float
    ) -> Result[PeerAnswer, CallError]:
        """Send a request and wait for its answer."""
        return self._channel.call(_METHODS[type(request)], request, timeout)

    def close(self) -> None:
        """Abort a call in progress and close the connection."""
        self._channel.close()
