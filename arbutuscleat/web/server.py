"""The HTTP server: cheroot with bounds, and problem details for its own errors."""

import select
import socket
import threading
from collections.abc import Callable

from absl import logging
from cheroot.server import HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10, Server

from arbutuscleat.core import RefusalReason
from arbutuscleat.wire import Address

from .http_request import ABANDONED_KEY
from .problem import refuse

IDLE_SECONDS = 30
LISTEN_BACKLOG = 256
STOP_SECONDS = 5
NEXT_REQUEST_MS = 20
REFUSED_SECONDS = 0.5
REFUSED_BYTES = 1024 * 1024
REFUSED_CHUNK_BYTES = 65_536
MIN_IDLE_WORKERS = 4

_REASONS = {413: RefusalReason.TOO_LARGE, 414: RefusalReason.TOO_LARGE}


class _ProblemRequest(HTTPRequest):
    """Answers malformed requests with problem details."""

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
            _let_finish(self.conn.socket)
        except OSError:
            pass  # The client has gone.


class _Connection(HTTPConnection):
    """A connection whose worker waits a moment for the next request.

    Handing a connection back to the selector after each request costs two
    switches between threads.  So its worker keeps it for a moment, as long as
    other workers are free for other connections.
    """

    RequestHandlerClass = _ProblemRequest

    def communicate(self):
        stays_open = super().communicate()
        while stays_open and self._has_next_request():
            stays_open = super().communicate()
        return stays_open

    def _has_next_request(self):
        if self.rfile.has_data():
            return True
        if self.server.requests.idle < MIN_IDLE_WORKERS or not self.server.ready:
            return False
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(NEXT_REQUEST_MS))


class _Gateway(Gateway_10):
    """Lets the application ask whether its client has hung up."""

    def get_environ(self):
        environ = super().get_environ()
        sock = self.req.conn.socket
        environ[ABANDONED_KEY] = lambda: _has_hung_up(sock)
        return environ


class _LoggingServer(Server):
    """Sends cheroot's own messages to the structured logs."""

    def error_log(self, msg="", level=20, traceback=False):
        logging.info("http server: %s", msg, exc_info=traceback)


class HttpServer:
    """Serves a WSGI application.

    Parameters
    ----------
    address : Address
        Where to listen; port 0 takes any free port.
    application : callable
        The WSGI application.
    threads : int
        Requests at a time.
    max_header_bytes, max_body_bytes : int
        Bounds of one request.
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
            timeout=IDLE_SECONDS,
            shutdown_timeout=STOP_SECONDS,
        )
        self._server.ConnectionClass = _Connection
        self._server.gateway = _Gateway
        self._server.max_request_header_size = max_header_bytes
        self._server.max_request_body_size = max_body_bytes
        self._thread = threading.Thread(target=self._serve, name="http", daemon=True)

    @property
    def address(self) -> Address:
        """The address actually listened on."""
        host, port = self._server.bind_addr[:2]
        return Address(host, port)

    def start(self) -> None:
        """Listen, and start to serve."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop to accept, finish what is being answered, and close."""
        self._server.stop()
        self._thread.join(STOP_SECONDS)

    def _serve(self) -> None:
        self._server.serve()


def _has_hung_up(sock: socket.socket) -> bool:
    """Return whether the client has closed its side of the connection."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    if not poll.poll(0):
        return False
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


def _let_finish(sock: socket.socket) -> None:
    """Read, within bounds, what a refused client goes on sending.

    Closing a connection with unread data resets it, and the client may lose the
    refusal.
    """
    sock.shutdown(socket.SHUT_WR)
    sock.settimeout(REFUSED_SECONDS)
    left = REFUSED_BYTES
    while left > 0:
        data = sock.recv(REFUSED_CHUNK_BYTES)
        if not data:
            return
        left -= len(data)
