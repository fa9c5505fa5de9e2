"""Channels: each is one authenticated thrift connection to a peer.

The thrift client for Python does not check sequence numbers, so a late answer would be
read as the answer to the next call.  A channel therefore closes its connection
after every failed call and compares the request id of every answer.
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
    """One connection to one peer; calls on it are made one at a time.

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
        self._lock = threading.Lock()
        self._ids = itertools.count(1)
        self._socket: TSocket | None = None
        self._protocol: Any = None
        self._client: Any = None
        self.peer_incarnation = ""
        """Incarnation that the peer presented in the latest handshake."""

    @property
    def address(self) -> Address:
        """The peer's address."""
        return self._address

    def call(self, method: str, request: Any, timeout: float) -> Result[Any, CallError]:
        """Send a request and wait for its answer.

        Parameters
        ----------
        method : str
            Name of the thrift method.
        request : thrift struct
            The request; its `request_id` is set here.
        timeout : float
            Time limit in seconds; applies to connecting and to the exchange separately.

        Returns
        -------
        Result of thrift struct or CallError
            The answer, or the point at which the call failed.
        """
        with self._lock:
            error = self._connect(timeout)
            if error is not None:
                return Failure(error)
            request.request_id = next(self._ids)
            return self._exchange(method, request, timeout)

    def close(self) -> None:
        """Close the connection; a call in progress fails with LOST."""
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
            self._disconnect()
            detail = f"{method} at {self._address}: {exc}"
            return Failure(CallError(CallErrorKind.LOST, detail))
        except Exception:
            self._disconnect()  # A request that cannot be encoded stays in its buffer.
            raise
        self._protocol.trans.release()
        if answer.request_id != request.request_id:
            self._disconnect()
            detail = (
                f"{method} at {self._address}: the answer belongs to another request"
            )
            return Failure(CallError(CallErrorKind.CROSSED, detail))
        return Success(answer)

    def _connect(self, timeout: float) -> CallError | None:
        if self._client is not None:
            return None
        socket = TSocket(self._address.host, self._address.port)
        socket.setTimeout(1000.0 * min(max(timeout, 0.001), self._connect_timeout))
        try:
            socket.open()
            protocol = make_protocol(socket)
            answer = Handshake.Client(protocol).hello(self._credentials.hello())
        except (TException, OSError, EOFError) as exc:
            socket.close()
            return CallError(
                CallErrorKind.CONNECT, f"cannot connect to {self._address}: {exc}"
            )
        if not answer.accepted:
            socket.close()
            detail = f"{self._address} refused the connection: {answer.reason}"
            return CallError(CallErrorKind.REFUSED, detail)
        self.peer_incarnation = answer.incarnation or ""
        self._socket = socket
        self._protocol = protocol
        self._client = self._client_class(protocol)
        return None

    def _disconnect(self) -> None:
        if self._socket is not None:
            self._socket.close()
        self._socket = None
        self._client = None
