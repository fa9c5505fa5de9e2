"""The HTTP server: cheroot with size limits and problem details.

Errors that cheroot detects itself, such as a malformed request line or a body that is
too large, are answered with problem details as well.
"""

import select
import selectors
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from absl import logging
from cheroot.wsgi import Server

from arbutuscleat.core import ClientLimits
from arbutuscleat.metrics import Metrics
from arbutuscleat.wire import Address

from .connection import Connection, Gateway
from .input_buffers import InputBuffers
from .open_connections import OpenConnections

IDLE_TIMEOUT_SECONDS = 30
LISTEN_BACKLOG = 256
STOP_TIMEOUT_SECONDS = 5
UNREAD_REQUEST_SECONDS = 0.5
"""How long a stop waits for the rest of a request that has not been read in full."""

UNREAD_CHECK_SECONDS = 0.1
MAX_CHECK_PAUSE_SECONDS = 2.0
"""Time between two checks of the time limits, four times the usual one, after which
this process has paused rather than its clients."""


class _LimitedServer(Server):
    """Limits open connections and the time that clients may take.

    Parameters
    ----------
    limits : ClientLimits
        The limits.
    count_refusal : callable
        Counts a refused or closed client, given the reason.
    *args, **kwargs
        Those of cheroot's server.
    """

    ConnectionClass = Connection
    _connections: Any
    """cheroot's connection manager; its version is pinned."""

    def __init__(self, limits: ClientLimits, count_refusal: Callable, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.gateway = Gateway
        self.limits = limits
        self.count_refusal = count_refusal
        self.open_connections = OpenConnections(limits)
        self.input_buffers = InputBuffers(limits.buffer_bytes)
        self._checked_at = time.monotonic()

    def error_log(self, msg="", level=20, traceback=False):
        """Write cheroot's own messages to the structured log."""
        logging.info("http server: %s", msg, exc_info=traceback)

    def prepare(self):
        """Bind the port; the time limits are checked with those of idle connections."""
        super().prepare()
        # Connections inherit it.
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, self.limits.receive_bytes
        )
        expire_idle = self._connections._expire

        def expire(threshold):
            expire_idle(threshold=threshold)
            self._check_times()

        self._connections._expire = expire

    def process_conn(self, conn):
        """Pass a connection that can be read, or a new one, to a thread."""
        if not conn.is_admitted:
            if not self._admit(conn):
                conn.count_refusal("connections")
                conn.close()
                return
            conn.is_admitted = True
        super().process_conn(conn)

    def put_conn(self, conn):
        """Return a connection to the selector."""
        if not self.ready or conn.input_began_at is None:
            super().put_conn(conn)
            return
        # Its buffer holds part of a request, and the selector waits for the rest.
        conn.last_used = time.time()
        try:
            self._connections._selector.register(
                conn.socket.fileno(), selectors.EVENT_READ, data=conn
            )
        except (OSError, ValueError, KeyError):
            conn.close()  # The server has stopped.

    def wait_for_input(self, seconds: float) -> None:
        """Wait until no request is incomplete, or for the given time."""
        deadline = time.monotonic() + seconds
        while self.ready and time.monotonic() < deadline:
            conns = [conn for _, conn in self._connections._selector.connections]
            if not any(getattr(conn, "input_began_at", None) for conn in conns):
                return
            time.sleep(UNREAD_CHECK_SECONDS)

    def _admit(self, conn) -> bool:
        """Count a new connection, in place of an idle one if there are too many."""
        address = conn.remote_addr
        if self.open_connections.admit(address):
            return True
        only = address if self.open_connections.is_full(address) else None
        return self._close_idle(only) and self.open_connections.admit(address)

    def _close_idle(self, address: str | None) -> bool:
        """Close the connection that has been idle longest, first those never used.

        Connections that can be read are left out: the selector may have them at hand.
        """
        poll = select.poll()
        found = {}
        for number, conn in list(self._connections._selector.connections):
            if conn is not self and address in (None, conn.remote_addr):
                poll.register(number, select.POLLIN)
                found[number] = conn
        for number, _ in poll.poll(0):
            del found[number]
        if not found:
            return False
        number = min(found, key=lambda n: (found[n].has_answered, found[n].last_used))
        self._connections._selector.unregister(number)
        found[number].count_refusal("idle")
        found[number].close()
        return True

    def _check_times(self):
        """End what takes too long."""
        now = time.monotonic()
        paused = now - self._checked_at > MAX_CHECK_PAUSE_SECONDS
        self._checked_at = now
        if paused:
            return
        for number, conn in list(self._connections._selector.connections):
            if conn is not self and conn.expire_input(now):
                self._connections._selector.unregister(number)
                super().process_conn(conn)
        is_busy = self.requests.qsize > 0 and not self.requests.idle
        for worker in list(self.requests._threads):
            conn = worker.conn
            if conn is not None:
                conn.check_time(now, is_busy)


class HttpServer:
    """Serves a WSGI application.

    Parameters
    ----------
    address : Address
        Address to listen on; port 0 selects a free port.
    application : callable
        The WSGI application.
    threads : int
        Maximum number of requests served at the same time.
    max_header_bytes, max_body_bytes : int
        Size limits of one request, in bytes; 0 refuses all bodies.
    limits : ClientLimits, optional
        Limits of connections, times and framing.
    metrics : Metrics, optional
        Counts refused clients.
    name : str, default="http"
        Name of the server in the metrics.
    """

    def __init__(
        self,
        address: Address,
        application: Callable,
        threads: int,
        max_header_bytes: int,
        max_body_bytes: int,
        limits: ClientLimits | None = None,
        metrics: Metrics | None = None,
        name: str = "http",
    ):
        self._metrics = metrics
        self._name = name
        self._server = _LimitedServer(
            limits or ClientLimits(),
            self._count_refusal,
            (address.host, address.port),
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=IDLE_TIMEOUT_SECONDS,
            shutdown_timeout=STOP_TIMEOUT_SECONDS,
        )
        self._server.max_request_header_size = max_header_bytes
        self._server.max_request_body_size = max_body_bytes
        self._thread = threading.Thread(target=self._serve, name="http", daemon=True)

    @property
    def address(self) -> Address:
        """The address that the server listens on, with the actual port."""
        host, port = self._server.bind_addr[:2]
        return Address(host, port)

    def start(self) -> None:
        """Bind the port and start serving."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting, wait for requests in progress, and close all connections."""
        self._server.wait_for_input(UNREAD_REQUEST_SECONDS)
        stopped = threading.Event()
        reader_stopper = threading.Thread(
            target=self._stop_reading,
            args=(list(self._server.requests._threads), stopped),
            name="http-stop",
            daemon=True,
        )
        reader_stopper.start()
        self._server.stop()
        stopped.set()
        reader_stopper.join()
        self._thread.join(STOP_TIMEOUT_SECONDS)

    def _stop_reading(self, workers: list, stopped: threading.Event) -> None:
        """End the reading of requests while the server waits for its threads."""
        pause = UNREAD_REQUEST_SECONDS
        while not stopped.wait(pause):
            pause = UNREAD_CHECK_SECONDS
            for worker in workers:
                conn = worker.conn
                if conn is not None:
                    conn.stop_reading()

    def _count_refusal(self, reason: str) -> None:
        if self._metrics is not None:
            self._metrics.count("clients_refused", server=self._name, reason=reason)

    def _serve(self) -> None:
        self._server.serve()
