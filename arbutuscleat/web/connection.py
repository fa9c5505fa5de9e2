"""Connections of the HTTP server, with limits on time.

No thread waits for the headers of a request: what has arrived is kept, and the
connection returns to the selector until the rest arrives or the time is over.
"""

import math
import select
import socket
import time

from absl import logging
from cheroot.server import HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10

from .http_request import ABANDONED_KEY, CONNECTION_KEY
from .problem_request import ProblemRequest

NEXT_REQUEST_WAIT_MS = 20
"""How long a thread waits on its connection before it returns it to the selector."""
DISCARD_SECONDS = 0.5
BUSY_DISCARD_SECONDS = 0.02
"""The same while other connections wait for a thread."""
MAX_DISCARDED_BYTES = 1024 * 1024
DISCARD_CHUNK_BYTES = 65_536
MIN_IDLE_THREADS = 4
"""Threads that must be idle for a thread to wait on its connection."""

HEAD_END = b"\r\n\r\n"
LINE_READ_BYTES = 512
"""Space in the buffer beyond the limit of the headers: twice what cheroot reads at once
of a line, so that it refuses headers beyond the limit without waiting for more."""

LOG_SECONDS = 5
"""Interval of the log lines on clients that are refused or closed."""


class Connection(HTTPConnection):
    """A connection whose thread waits briefly for the next request.

    Returning a connection to the selector after each request costs two context
    switches.  The thread therefore keeps the connection for a short time, as long as
    enough other threads are idle to serve other connections.
    """

    RequestHandlerClass = ProblemRequest
    request: HTTPRequest | None = None
    """The request that the application answers."""

    is_admitted = False
    """Whether it counts among the open connections of the server."""
    has_answered = False
    is_overdue = False
    """Whether the rest of a request came too late and is not read."""
    is_unread = False
    """Whether the client did not read a response in time."""
    has_unread_input = False
    head_deadline: float | None = None
    """When headers that have not arrived in full are too late."""
    body_began_at: float | None = None
    write_began_at: float | None = None

    def communicate(self):
        """Serve requests until none is there; return whether it stays open."""
        if self.last_used is None and not self._has_next_request():
            return True
        while self._has_whole_head():
            self.head_deadline = None
            self.rfile.buffer_size = self.rbufsize
            keep_open = super().communicate()
            self.body_began_at = self.write_began_at = None
            self.has_answered = True
            if not keep_open:
                if self.has_unread_input:
                    self._discard_input()
                return False
            if not self._has_next_request():
                return True
        if self.head_deadline is None:
            seconds = self.server.limits.header_seconds
            self.head_deadline = time.monotonic() + seconds
        return True

    def close(self):
        """Close the connection, which then no longer counts as open."""
        super().close()
        if self.is_admitted:
            self.is_admitted = False
            self.server.open_connections.release(self.remote_addr)

    def stop_reading(self):
        """Let reads end, unless the request has been read in full.

        Otherwise a client that opens a connection and sends nothing would delay the
        end of the process until the connection times out.
        """
        if self._is_reading():
            self._shut_down(socket.SHUT_RD)

    def expire_head(self):
        """Let the parser refuse headers that are too late."""
        self.is_overdue = True
        self.count_refusal("header_time")
        self._shut_down(socket.SHUT_RD)

    def check_time(self, now, is_busy):
        """End the reading of a body or the writing of a response that takes too long.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        is_busy : bool
            Whether other connections wait for a thread.
        """
        limits = self.server.limits
        busy_seconds = limits.busy_seconds if is_busy else math.inf
        # Both are set to None by the thread that serves the connection.
        body_began_at, write_began_at = self.body_began_at, self.write_began_at
        if write_began_at is not None:
            seconds = min(busy_seconds, limits.write_seconds)
            if not self.is_unread and now - write_began_at > seconds:
                self.is_unread = True
                self.count_refusal("write_time")
                self._shut_down(socket.SHUT_RDWR)
        elif body_began_at is not None and not self.is_overdue and self._is_reading():
            seconds = min(busy_seconds, limits.body_seconds)
            if now - body_began_at > seconds:
                self.is_overdue = True
                self.count_refusal("body_time")
                self._shut_down(socket.SHUT_RD)

    def count_refusal(self, reason):
        """Count a refusal of this client, and log some of them."""
        self.server.count_refusal(reason)
        logging.log_every_n_seconds(
            logging.INFO,
            "client %s refused: %s",
            LOG_SECONDS,
            self.remote_addr,
            reason,
        )

    def _is_reading(self):
        request = self.request
        return request is None or getattr(request.rfile, "remaining", 0) != 0

    def _shut_down(self, how):
        try:
            self.socket.shutdown(how)
        except OSError:
            pass  # The client has closed the connection.

    def _has_whole_head(self):
        """Read what has arrived, and return whether the parser can go on.

        It goes on with whole headers, and with headers that it will refuse.
        """
        max_bytes = self.server.max_request_header_size + LINE_READ_BYTES
        try:
            data = self.rfile.peek(1)
            while HEAD_END not in data:
                size = len(data)
                if not data or size >= max_bytes or self.is_overdue:
                    return True
                if not self._has_input(0):
                    return False
                self.rfile.buffer_size = size + self.rbufsize
                data = self.rfile.peek(size + 1)
                if len(data) == size:
                    return True  # The client has closed its side.
        except OSError:
            pass  # The parser meets the same error, or the end of the input.
        return True

    def _has_next_request(self):
        if self.rfile.has_data():
            # A client that pipelines takes turns with those that wait for a thread.
            return not (self.server.ready and self.server.requests.qsize)
        if self.server.requests.idle < MIN_IDLE_THREADS or not self.server.ready:
            return False
        return self._has_input(NEXT_REQUEST_WAIT_MS)

    def _has_input(self, wait_ms):
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(wait_ms))

    def _discard_input(self):
        """Read and discard what a refused client still sends, up to limits.

        Closing a connection with unread data resets it, and the client may then never
        read the refusal.
        """
        is_busy = self.server.requests.qsize > 0
        seconds = BUSY_DISCARD_SECONDS if is_busy else DISCARD_SECONDS
        ends_at = time.monotonic() + seconds
        remaining = MAX_DISCARDED_BYTES
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while remaining > 0 and (seconds := ends_at - time.monotonic()) > 0:
                self.socket.settimeout(seconds)
                data = self.socket.recv(DISCARD_CHUNK_BYTES)
                if not data:
                    return
                remaining -= len(data)
        except OSError:
            pass  # Nothing arrived in time, or the client has closed the connection.


class Gateway(Gateway_10):
    """Gives the application its connection, and whether the client has left."""

    def respond(self):
        """Let the application answer the request."""
        self.req.conn.request = self.req
        try:
            super().respond()
        finally:
            self.req.conn.request = None

    def get_environ(self):
        """Return the WSGI environment."""
        environ = super().get_environ()
        conn = self.req.conn
        environ[CONNECTION_KEY] = conn
        environ[ABANDONED_KEY] = lambda: _is_disconnected(conn.socket)
        return environ


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
