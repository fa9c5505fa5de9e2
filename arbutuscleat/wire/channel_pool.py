"""Channel pools: several connections to one peer for calls at the same time."""

import queue
import threading
from typing import Any

from returns.result import Result

from .address import Address
from .call_error import CallError
from .channel import CONNECT_TIMEOUT_SECONDS, Channel
from .credentials import Credentials

IDLE_CHANNELS_KEPT = 16


class ChannelPool:
    """Channels to one peer, opened when all others are in use."""

    def __init__(
        self,
        client_class: type,
        address: Address,
        credentials: Credentials,
        connect_seconds: float = CONNECT_TIMEOUT_SECONDS,
    ):
        self._connect_seconds = connect_seconds
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
        """Send `request` on an idle channel and return the answer."""
        channel = self._take()
        try:
            return channel.call(method, request, timeout)
        finally:
            self._give_back(channel)

    def close(self) -> None:
        """Close all idle channels; those in use close when they come back."""
        self._closed.set()
        while not self._idle.empty():
            self._take().close()

    def _take(self) -> Channel:
        try:
            return self._idle.get_nowait()
        except queue.Empty:
            return Channel(
                self._client_class,
                self._address,
                self._credentials,
                self._connect_seconds,
            )

    def _give_back(self, channel: Channel) -> None:
        if self._closed.is_set() or self._idle.qsize() >= IDLE_CHANNELS_KEPT:
            channel.close()
        else:
            self._idle.put(channel)
