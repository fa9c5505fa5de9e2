"""Channels: one authenticated thrift connection to a peer.

The Python client does not check sequence numbers, so a late answer would be
read as the answer of the next call.  A channel therefore closes its connection
after every failed call and compares request ids on every answer.
"""

import itertools
import threading
from typing import Any

from returns.result import Failure, Result, Success
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket

from .address import Address
from .call_error import CallError, CallErrorKind
from .credentials import Credentials
from .framing import make_protocol
from .gen import Handshake

CONNECT_TIMEOUT_SECONDS = 1.0


class Channel:
    """One connection to one peer, used by one task at a time.

    Parameters
    ----------
    client_class : type
        Generated client class, for example ``Control.Client``.
    address : Address
        Where the peer listens.
    credentials : Credentials
        What this process presents.
    connect_seconds : float
        Time limit of a new connection.
    """

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
        self._lock = threading.Lock()
        self._ids = itertools.count(1)
        self._socket: TSocket | None = None
        self._client: Any = None

    @property
    def address(self) -> Address:
        """The peer's address."""
        return self._address

    def call(self, method: str, request: Any, timeout: float) -> Result[Any, CallError]:
        """Send `request` and return the answer within `timeout` seconds."""
        with self._lock:
            error = self._connect(timeout)
            if error is not None:
                return Failure(error)
            request.request_id = next(self._ids)
            return self._exchange(method, request, timeout)

    def close(self) -> None:
        """Close the connection; a call in progress fails as lost."""
        socket = self._socket
        if socket is not None:
            socket.close()

    def _exchange(
        self, method: str, request: Any, timeout: float
    ) -> Result[Any, CallError]:
        assert self._socket is not None
        self._socket.setTimeout(max(1.0, timeout * 1000.0))
        try:
            answer = getattr(self._client, method)(request)
        except (TException, OSError, EOFError) as exc:
            self._drop()
            detail = f"{method} at {self._address}: {exc}"
            return Failure(CallError(CallErrorKind.LOST, detail))
        if answer.request_id != request.request_id:
            self._drop()
            detail = f"{method} at {self._address}: answer to another request"
            return Failure(CallError(CallErrorKind.CROSSED, detail))
        return Success(answer)

    def _connect(self, timeout: float) -> CallError | None:
        if self._client is not None:
            return None
        socket = TSocket(self._address.host, self._address.port)
        socket.setTimeout(1000.0 * min(max(timeout, 0.001), self._connect_seconds))
        try:
            socket.open()
            protocol = make_protocol(socket)
            answer = Handshake.Client(protocol).hello(self._credentials.hello())
        except (TException, OSError, EOFError) as exc:
            socket.close()
            return CallError(
                CallErrorKind.CONNECT, f"connect to {self._address}: {exc}"
            )
        if not answer.accepted:
            socket.close()
            detail = f"{self._address} refused the connection: {answer.reason}"
            return CallError(CallErrorKind.REFUSED, detail)
        self._socket = socket
        self._client = self._client_class(protocol)
        return None

    def _drop(self) -> None:
        if self._socket is not None:
            self._socket.close()
        self._socket = None
        self._client = None
