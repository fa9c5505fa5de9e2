"""Connections of the HTTP server, with limits on time.

No thread waits for a request: what has arrived is kept, and the connection returns to
the selector until the rest arrives or the time is over.
"""

import math
import select
import socket
import time
from contextlib import suppress

from absl import logging
from cheroot.makefile import StreamReader
from cheroot.server import HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10

from .http_request import ABANDONED_KEY, CONNECTION_KEY
from .problem_request import ProblemRequest
from .request_extent import RequestExtent

NEXT_REQUEST_WAIT_MS = 20
"""How long a thread waits on its connection before it returns it to the selector."""
DISCARD_SECONDS = 0.5
BUSY_DISCARD_SECONDS = 0.02
"""The same while other connections wait for a thread."""
MAX_DISCARDED_BYTES = 1024 * 1024
DISCARD_CHUNK_BYTES = 65_536
MIN_IDLE_THREADS = 4
"""Threads that must be idle for a thread to wait on its connection."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
BODY_READ_BYTES = 65_536
"""Most bytes of a body that are read at once."""

FREE_BYTES = 4_096
"""What an incomplete request may hold of its body and headers without being counted:
more than those of most jobs."""

LINE_READ_BYTES = 512
"""Space in the buffer beyond the limit of the headers: twice what cheroot reads at once
of a line, so that it refuses headers beyond the limit without waiting for more."""

LOG_SECONDS = 5
"""Interval of the log lines on clients that are refused or closed."""


class RequestReader(StreamReader):
    """The buffered input of a connection."""

    def release(self):
        """Free the buffer, which holds nothing to be read."""
        self._read_buf, self._read_pos = b"", 0


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
    is_crowded_out = False
    """Whether the request finds no more memory beside those of other clients."""
    has_sent_continue = False
    """Whether the client has been told to send the body."""
    input_began_at: float | None = None
    """When the headers of an incomplete request began to arrive, or its body."""
    _is_reading_body = False
    _buffered = 0
    body_began_at: float | None = None
    write_began_at: float | None = None

    def __init__(self, server, sock, makefile):
        """Initialize the connection; see cheroot."""
        super().__init__(server, sock, makefile)
        self.rfile = RequestReader(sock, "rb", self.rbufsize)
        self._extent = self._new_extent()

    def communicate(self):
        """Serve requests until none is there; return whether it stays open."""
        if self.last_used is None and not self._has_next_request():
            return True
        while self._has_whole_request():
            self.input_began_at = None
            self.rfile.buffer_size = self.rbufsize
            keep_open = super().communicate()
            self.body_began_at = self.write_began_at = None
            self.has_answered = True
            self._extent = self._new_extent()
            if not keep_open:
                if self.has_unread_input:
                    self._discard_input()
                return False
            self._release_buffer()
            if not self._has_next_request():
                return True
        return True

    def close(self):
        """Close the connection, which then no longer counts as open."""
        super().close()
        self._resize_buffer(0)
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

    def expire_input(self, now):
        """Let the parser refuse a request that has not arrived in time.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        bool
            Whether it is too late.
        """
        if self.input_began_at is None:
            return False
        limits = self.server.limits
        seconds, reason = limits.header_seconds, "header_time"
        if self._extent.has_head:
            seconds, reason = limits.body_seconds, "body_time"
            if self.server.input_buffers.is_scarce():
                seconds = min(seconds, limits.busy_seconds)
        if now - self.input_began_at <= seconds:
            return False
        self.is_overdue = True
        self.count_refusal(reason)
        self._shut_down(socket.SHUT_RD)
        return True

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

    def _new_extent(self):
        server = self.server
        return RequestExtent(
            server.max_request_header_size + LINE_READ_BYTES,
            server.max_request_body_size,
            server.limits,
        )

    def _has_whole_request(self):
        """Read what has arrived, and return whether the parser can go on.

        It goes on with whole requests, and with those that it will refuse.
        """
        extent = self._extent
        try:
            data = self.rfile.peek(1)
            while not extent.is_whole(data):
                size = len(data)
                if not data or self.is_overdue or self._is_crowded_out(size):
                    return True
                self._note_progress()
                if not self._has_input(0):
                    return False
                block = BODY_READ_BYTES if extent.has_head else self.rbufsize
                self.rfile.buffer_size = size + block
                data = self.rfile.peek(size + 1)
                if len(data) == size:
                    return True  # The client has closed its side.
        except OSError:
            pass  # The parser meets the same error, or the end of the input.
        return True

    def _is_crowded_out(self, size):
        """Count what is buffered; return whether that is too much for the server.

        Headers are not counted: their number is that of the connections, and the parser
        could not refuse a request without them.
        """
        if not self._extent.has_head:
            return False
        self.is_crowded_out = not self._resize_buffer(max(0, size - FREE_BYTES))
        return self.is_crowded_out

    def _resize_buffer(self, size):
        has_room = self.server.input_buffers.resize(self._buffered, size)
        if has_room:
            self._buffered = size
        return has_room

    def _note_progress(self):
        """Begin the time for the headers or for the body of an incomplete request."""
        extent = self._extent
        if self.input_began_at is None or extent.has_head != self._is_reading_body:
            self.input_began_at = time.monotonic()
            self._is_reading_body = extent.has_head
        if extent.expects_continue and not self.has_sent_continue:
            self.has_sent_continue = True
            with suppress(OSError):  # The client reads no responses.
                self.socket.send(CONTINUE, socket.MSG_DONTWAIT)

    def _release_buffer(self):
        """Free the memory of the request that has been answered."""
        self.has_sent_continue = False
        if not self.rfile.has_data():
            self.rfile.release()
        self._resize_buffer(0)

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
