"""The thrift server of a process: one thread for each connection.

The first message of a connection must be a `Handshake.hello` with the shared
key.  If the handshake is refused, the connection is closed and nothing else is read.
"""

import socket
import threading
from typing import Any

from absl import logging
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket

from arbutuscleat.core import SystemClock, run_loop

from .address import Address
from .credentials import Credentials
from .framing import make_protocol
from .gen import Handshake
from .gen.ttypes import HelloAnswer, HelloRequest

ACCEPT_BACKLOG = 128
HELLO_TIMEOUT_MS = 2_000.0
MAX_CONNECTIONS = 1_024


class _HelloHandler:
    """Answers the handshake of one connection and records whether it was accepted."""

    def __init__(self, credentials: Credentials):
        self._credentials = credentials
        self.accepted = False

    def hello(self, request: HelloRequest) -> HelloAnswer:
        """Accept or refuse the peer."""
        reason = self._credentials.refusal_reason(request)
        self.accepted = not reason
        return HelloAnswer(
            accepted=self.accepted,
            reason=reason,
            node_id=self._credentials.node_id,
            incarnation=self._credentials.incarnation,
        )


class ThriftServer:
    """Serves a generated processor on a TCP port.

    Parameters
    ----------
    processor : object
        Generated processor around the handler.
    address : Address
        Address to listen on; port 0 selects a free port.
    credentials : Credentials
        Credentials of this process; the peers must present the same shared key.
    """

    def __init__(self, processor: Any, address: Address, credentials: Credentials):
        self._processor = processor
        self._credentials = credentials
        self._listener = socket.create_server(
            (address.host, address.port), backlog=ACCEPT_BACKLOG
        )
        self._stopping = threading.Event()
        self._connections: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._acceptor = threading.Thread(
            target=self._accept, name="thrift-accept", daemon=True
        )

    @property
    def address(self) -> Address:
        """The address that the server listens on, with the actual port."""
        host, port = self._listener.getsockname()[:2]
        return Address(host, port)

    def start(self) -> None:
        """Start accepting connections."""
        self._acceptor.start()

    def stop(self) -> None:
        """Stop accepting and close every connection."""
        self._stopping.set()
        self._listener.close()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            _shut_down(connection)

    def _accept(self) -> None:
        run_loop(self._accept_one, self._stopping, SystemClock())

    def _accept_one(self) -> None:
        try:
            connection, _ = self._listener.accept()
        except OSError:
            if self._stopping.is_set():
                return
            raise  # For instance for want of file descriptors.
        self._start_connection(connection)

    def _start_connection(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            full = len(self._connections) >= MAX_CONNECTIONS
            if not full:
                self._connections.add(connection)
        if full:
            connection.close()
            return
        thread = threading.Thread(
            target=self._serve, args=(connection,), name="thrift-peer", daemon=True
        )
        thread.start()

    def _serve(self, connection: socket.socket) -> None:
        transport = TSocket()
        transport.setHandle(connection)
        try:
            protocol = make_protocol(transport)
            if self._handshake(transport, protocol):
                while not self._stopping.is_set():
                    self._processor.process(protocol, protocol)
        except (TException, OSError, EOFError):
            pass  # The peer disconnected or does not speak this protocol.
        except Exception:
            logging.exception("thrift handler failed")
        finally:
            with self._lock:
                self._connections.discard(connection)
            transport.close()

    def _handshake(self, transport: TSocket, protocol: Any) -> bool:
        handler = _HelloHandler(self._credentials)
        transport.setTimeout(HELLO_TIMEOUT_MS)
        Handshake.Processor(handler).process(protocol, protocol)
        transport.setTimeout(None)
        return handler.accepted


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # Already closed by the peer.
