"""Channel pools: several connections to one peer, for concurrent calls."""

import queue
import threading
from typing import Any

from returns.result import Result

from .address import Address
from .call_error import CallError
from .channel import CONNECT_TIMEOUT_SECONDS, Channel
from .credentials import Credentials

MAX_IDLE_CHANNELS = 16


class ChannelPool:
    """A pool of channels to one peer; a channel is opened when all are in use.

    Parameters
    ----------
    client_class : type
        Generated client class, for example ``Control.Client``.
    address : Address
        Address of the peer.
    credentials : Credentials
        Credentials that this process presents in the handshake.
    connect_timeout : float
        Time limit for a new connection, in seconds.
    """

    def __init__(
        self,
        client_class: type,
        address: Address,
        credentials: Credentials,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
    ):
        self._connect_timeout = connect_timeout
        self._client_class = client_class
        self._address = address
        self._credentials = credentials
        self._idle: queue.SimpleQueue[Channel] = queue.SimpleQueue()
        self._closed = threading.Event()

    @property
    def address(self) -> Address:
        """The peer's address."""
        return self._address

    def call(self, method: str, request: Any, timeout: float) -> Result[Any, CallError]:
        """Send a request on an idle channel and wait for its answer.

        Parameters
        ----------
        method : str
            Name of the thrift method.
        request : thrift struct
            The request.
        timeout : float
            Time limit in seconds.

        Returns
        -------
        Result of thrift struct or CallError
            The answer, or the point at which the call failed.
        """
        channel = self._acquire()
        try:
            return channel.call(method, request, timeout)
        finally:
            self._release(channel)

    def close(self) -> None:
        """Close all idle channels; channels in use are closed when released."""
        self._closed.set()
        while not self._idle.empty():
            self._acquire().close()

    def _acquire(self) -> Channel:
        try:
            return self._idle.get_nowait()
        except queue.Empty:
            return Channel(
                self._client_class,
                self._address,
                self._credentials,
                self._connect_timeout,
            )

    def _release(self, channel: Channel) -> None:
        if self._closed.is_set() or self._idle.qsize() >= MAX_IDLE_CHANNELS:
            channel.close()
        else:
            self._idle.put(channel)
