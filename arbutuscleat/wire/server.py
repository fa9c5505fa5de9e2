"""The thrift server of a process: one thread for each connection.

The first message of a connection must be a `Handshake.hello` with the shared
key.  If the handshake is refused, the connection is closed and nothing else is read.
Until it is accepted, a connection may send little, and for a short time.
"""

import socket
import threading
from collections import Counter
from dataclasses import dataclass
from typing import Any

from absl import logging
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket

from arbutuscleat.core import ClientLimits, Clock, Deadline, SystemClock, run_loop
from arbutuscleat.metrics import Metrics

from .address import Address
from .credentials import Credentials
from .framing import MAX_HELLO_BYTES, FrameBudget, make_protocol
from .gen import Handshake
from .gen.ttypes import HelloAnswer, HelloRequest

ACCEPT_BACKLOG = 128
HELLO_SECONDS = 2.0
"""Time for the whole handshake: twice the time that a peer tries to connect."""

MIN_TIMEOUT_SECONDS = 0.001
MAX_CONNECTIONS = 1_024
LOG_SECONDS = 5
"""Interval of the log lines on connections that are refused."""


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


class _DeadlineSocket(TSocket):
    """Reads until a deadline, however little arrives at a time."""

    def __init__(self, connection: socket.socket, deadline: Deadline):
        super().__init__()
        self.setHandle(connection)
        self._deadline = deadline

    def read(self, sz: int) -> bytes:
        """Return at least one byte."""
        seconds = max(MIN_TIMEOUT_SECONDS, self._deadline.remaining())
        self.handle.settimeout(seconds)
        return super().read(sz)


@dataclass
class _PeerConnection:
    """An open connection.

    Parameters
    ----------
    address : str
        Address of the peer.
    used_at : float
        When its latest call was answered, in monotonic seconds.
    is_closing : bool, default=False
        Whether it is being closed in place of another one.
    """

    address: str
    used_at: float
    is_closing: bool = False


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
    limits : ClientLimits, optional
        Limits on connections that are not authenticated yet, and on the memory of
        large frames.
    metrics : Metrics, optional
        Counts connections that are closed for a limit.
    """

    def __init__(
        self,
        processor: Any,
        address: Address,
        credentials: Credentials,
        limits: ClientLimits | None = None,
        metrics: Metrics | None = None,
    ):
        self._processor = processor
        limits = limits or ClientLimits()
        self._max_handshakes = limits.handshakes
        self._budget = FrameBudget(limits.buffer_bytes)
        self._metrics = metrics
        self._clock: Clock = SystemClock()
        self._credentials = credentials
        self._listener = socket.create_server(
            (address.host, address.port), backlog=ACCEPT_BACKLOG
        )
        self._stopping = threading.Event()
        self._connections: dict[socket.socket, _PeerConnection] = {}
        self._handshakes: dict[socket.socket, None] = {}  # The oldest comes first.
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
            connection, (host, _) = self._listener.accept()
        except OSError:
            if self._stopping.is_set():
                return
            raise  # For instance for want of file descriptors.
        self._start_connection(connection, host)

    def _longest_idle(self) -> socket.socket | None:
        """Return the connection to close in place of a new one; `_lock` is held.

        It is the longest idle one of the address that has most connections, if not all
        of these are being closed. Its peer opens another one for its next call.
        """
        counts = Counter(item.address for item in self._connections.values())
        address, _ = counts.most_common(1)[0]
        found = [
            (item.used_at, number, connection)
            for number, (connection, item) in enumerate(self._connections.items())
            if item.address == address and not item.is_closing
        ]
        if not found:
            return None
        connection = min(found)[2]
        self._connections[connection].is_closing = True
        return connection

    def _start_connection(self, connection: socket.socket, address: str) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            is_crowded = len(self._handshakes) >= self._max_handshakes
            is_full = len(self._connections) >= MAX_CONNECTIONS
            # A peer takes milliseconds, so the oldest handshake is none.
            closed = next(iter(self._handshakes)) if is_crowded else None
            if closed is not None:
                del self._handshakes[closed]
            elif is_full:
                closed = self._longest_idle()
            is_admitted = closed is not None or not is_full
            if closed is not None:
                _shut_down(closed)
            if is_admitted:
                self._connections[connection] = _PeerConnection(
                    address, self._clock.monotonic()
                )
                self._handshakes[connection] = None
        if not is_admitted:
            self._count_refusal("connections")
            connection.close()
            return
        if closed is not None:
            self._count_refusal("handshakes" if is_crowded else "idle")
        thread = threading.Thread(
            target=self._serve, args=(connection,), name="thrift-peer", daemon=True
        )
        thread.start()

    def _serve(self, connection: socket.socket) -> None:
        transport = TSocket()
        transport.setHandle(connection)
        protocol = None
        try:
            if self._handshake(connection):
                protocol = make_protocol(transport, budget=self._budget)
                state = self._connections[connection]
                while not self._stopping.is_set():
                    self._processor.process(protocol, protocol)
                    protocol.trans.release()
                    state.used_at = self._clock.monotonic()
        except (TException, OSError, EOFError):
            pass  # The peer disconnected or does not speak this protocol.
        except Exception:
            logging.exception("thrift handler failed")
        finally:
            with self._lock:
                self._connections.pop(connection, None)
                self._handshakes.pop(connection, None)
            if protocol is not None:
                protocol.trans.release()
            transport.close()

    def _handshake(self, connection: socket.socket) -> bool:
        deadline = Deadline.after(self._clock, HELLO_SECONDS)
        handler = _HelloHandler(self._credentials)
        protocol = make_protocol(_DeadlineSocket(connection, deadline), MAX_HELLO_BYTES)
        try:
            Handshake.Processor(handler).process(protocol, protocol)
        except (TException, OSError, EOFError):
            self._count_refusal("handshake")
            raise
        with self._lock:
            self._handshakes.pop(connection, None)
        connection.settimeout(None)
        return handler.accepted

    def _count_refusal(self, reason: str) -> None:
        if self._metrics is not None:
            self._metrics.count("clients_refused", server="peers", reason=reason)
        logging.log_every_n_seconds(
            logging.INFO, "peer connection refused: %s", LOG_SECONDS, reason
        )


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # Already closed by the peer.
