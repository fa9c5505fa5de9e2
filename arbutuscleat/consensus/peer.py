"""Peers: how a replica talks to the other replicas of its group."""

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
    """One other replica, as the sender sees it."""

    @property
    @abstractmethod
    def node_id(self) -> str:
        """Identity of the replica."""

    @abstractmethod
    def send(
        self, request: PeerRequest, timeout: float
    ) -> Result[PeerAnswer, CallError]:
        """Send one request and return its answer."""

    @abstractmethod
    def close(self) -> None:
        """Break off a call in progress and free the connection."""


class ThriftPeer(Peer):
    """A replica behind a thrift channel."""

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
        """Identity of the replica."""
        return self._node_id

    def send(
        self, request: PeerRequest, timeout: float
    ) -> Result[PeerAnswer, CallError]:
        """Send one request and return its answer."""
        return self._channel.call(_METHODS[type(request)], request, timeout)

    def close(self) -> None:
        """Break off a call in progress and free the connection."""
        self._channel.close()
