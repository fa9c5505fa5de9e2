"""The HTTP server: cheroot with size limits and problem details.

Errors that cheroot detects itself, such as a malformed request line or a body that is
too large, are answered with problem details as well.
"""

import select
import socket
import threading
from collections.abc import Callable

from absl import logging
from cheroot.server import HeaderReader, HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10, Server

from arbutuscleat.core import RefusalReason
from arbutuscleat.wire import Address

from .http_request import ABANDONED_KEY
from .problem import refuse

IDLE_TIMEOUT_SECONDS = 30
LISTEN_BACKLOG = 256
STOP_TIMEOUT_SECONDS = 5
NEXT_REQUEST_WAIT_MS = 20
"""How long a thread waits on its connection before it returns it to the selector."""
DISCARD_TIMEOUT_SECONDS = 0.5
MAX_DISCARDED_BYTES = 1024 * 1024
DISCARD_CHUNK_BYTES = 65_536
UNREAD_REQUEST_SECONDS = 0.5
"""How long a stop waits for the rest of a request that has not been read in full."""

UNREAD_CHECK_SECONDS = 0.1
MIN_IDLE_THREADS = 4
"""Threads that must be idle for a thread to wait on its connection."""

_REASONS = {413: RefusalReason.TOO_LARGE, 414: RefusalReason.TOO_LARGE}


class _FieldLines(dict):
    """Header fields; the values of repeated ones are joined.

    That is what RFC 9110, section 5.3, provides for. cheroot keeps the last value of
    most fields, so that two processes on the way could each read another one; it
    joins those of the others before it stores them.
    """

    def __setitem__(self, name, value):
        if name in self and not value.startswith(self[name] + b", "):
            value = b", ".join((self[name], value))
        super().__setitem__(name, value)


class _HeaderReader(HeaderReader):
    """Reads header fields, and joins repeated ones.

    Names with an underscore are left out: the application could not tell them from
    those with a hyphen (PEP 3333).
    """

    def __call__(self, rfile, hdict=None):
        hdict = {} if hdict is None else hdict
        hdict.update(super().__call__(rfile, _FieldLines()))
        return hdict

    def _allow_header(self, key_name):
        return b"_" not in key_name


class _ProblemRequest(HTTPRequest):
    """Answers malformed requests with problem details."""

    header_reader = _HeaderReader()

    def simple_response(self, status, msg=""):
        code = int(str(status)[:3])
        if code < 400:
            super().simple_response(status, msg)
            return
        detail = msg if isinstance(msg, str) and msg else str(status)[4:]
        reason = _REASONS.get(code, RefusalReason.BAD_REQUEST)
        response = refuse(reason, detail, code)
        self.close_connection = True
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(response.body)}"]
        lines += [f"{name}: {value}" for name, value in response.headers]
        lines += ["Connection: close", "", ""]
        try:
            self.conn.wfile.write("\r\n".join(lines).encode() + response.body)
            _discard_input(self.conn.socket)
        except OSError:
            pass  # The client has closed the connection.


class _Connection(HTTPConnection):
    """A connection whose thread waits briefly for the next request.

    Returning a connection to the selector after each request costs two context
    switches.  The thread therefore keeps the connection for a short time, as long as
    enough other threads are idle to serve other connections.
    """

    RequestHandlerClass = _ProblemRequest
    request: HTTPRequest | None = None
    """The request that the application answers."""

    def stop_reading(self):
        """Let reads end, unless the request has been read in full.

        Otherwise a client that opens a connection and sends nothing would delay the
        end of the process until the connection times out.
        """
        is_read = (
            self.request is not None
            and getattr(self.request.rfile, "remaining", 0) == 0
        )
        if not is_read:
            try:
                self.socket.shutdown(socket.SHUT_RD)
            except OSError:
                pass  # The client has closed the connection.

    def communicate(self):
        keep_open = super().communicate()
        while keep_open and self._has_next_request():
            keep_open = super().communicate()
        return keep_open

    def _has_next_request(self):
        if self.rfile.has_data():
            return True
        if self.server.requests.idle < MIN_IDLE_THREADS or not self.server.ready:
            return False
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(NEXT_REQUEST_WAIT_MS))


class _Gateway(Gateway_10):
    """Gives the application a check whether the client has disconnected."""

    def respond(self):
        self.req.conn.request = self.req
        try:
            super().respond()
        finally:
            self.req.conn.request = None

    def get_environ(self):
        environ = super().get_environ()
        sock = self.req.conn.socket
        environ[ABANDONED_KEY] = lambda: _is_disconnected(sock)
        return environ


class _LoggingServer(Server):
    """Writes cheroot's own messages to the structured log."""

    def error_log(self, msg="", level=20, traceback=False):
        logging.info("http server: %s", msg, exc_info=traceback)


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
        Size limits of one request, in bytes.
    """

    def __init__(
        self,
        address: Address,
        application: Callable,
        threads: int,
        max_header_bytes: int,
        max_body_bytes: int,
    ):
        self._server = _LoggingServer(
            (address.host, address.port),
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=IDLE_TIMEOUT_SECONDS,
            shutdown_timeout=STOP_TIMEOUT_SECONDS,
        )
        self._server.ConnectionClass = _Connection
        self._server.gateway = _Gateway
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

    def _serve(self) -> None:
        self._server.serve()


def _is_disconnected(sock: socket.socket) -> bool:
    """Return whether the client has closed its side of the connection."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    if not poll.poll(0):
        return False
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


def _discard_input(sock: socket.socket) -> None:
    """Read and discard what a refused client still sends, up to a limit.

    Closing a connection with unread data resets it, and the client may then never
    read the refusal.
    """
    sock.shutdown(socket.SHUT_WR)
    sock.settimeout(DISCARD_TIMEOUT_SECONDS)
    remaining = MAX_DISCARDED_BYTES
    while remaining > 0:
        data = sock.recv(DISCARD_CHUNK_BYTES)
        if not data:
            return
        remaining -= len(data)
