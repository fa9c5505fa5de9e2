"""Since when a request may have been waiting for its server."""

import socket
import threading
import time
from types import SimpleNamespace
from unittest import mock

from testtools import TestCase

from arbutuscleat.web import HttpServer, read_request, server
from arbutuscleat.web.http_request import CLOCK, ORDINARY_WAIT_SECONDS
from arbutuscleat.wire import Address
from tests.fakes import ManualClock

REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd"
PAUSE_SECONDS = ORDINARY_WAIT_SECONDS + 1.0
ANSWER_SECONDS = 5.0


class PausedServerTest(TestCase):
    """Guards against a request that looks new after a pause (review/12)."""

    def setUp(self):
        super().setUp()
        self.waited = []
        self.server = HttpServer(Address("127.0.0.1", 0), self.answer, 4, 4096, 4096)
        self.server.start()
        self.addCleanup(self.server.stop)

    def answer(self, environ, start_response):
        request = read_request(environ)
        self.waited.append((request.seconds_waited(), CLOCK.monotonic()))
        start_response("200 OK", [("Content-Length", "0")])
        return []

    def connect(self):
        address = self.server.address
        sock = socket.create_connection((address.host, address.port), ANSWER_SECONDS)
        self.addCleanup(sock.close)
        return sock

    def exchange(self, sock, data=REQUEST):
        sock.sendall(data)
        self.assertTrue(sock.recv(4096).startswith(b"HTTP/1.1 200"))

    def pause(self):
        """Hold up the thread that looks for input; return a function that ends it."""
        held, resume = threading.Event(), threading.Event()
        inner = self.server._server
        note = inner._note_readable

        def note_late(*args):
            held.set()
            resume.wait(10.0)
            inner._note_readable = note
            note(*args)

        inner._note_readable = note_late
        self.assertTrue(held.wait(ANSWER_SECONDS))
        return resume.set

    def test_requests_have_not_waited_without_a_pause(self):
        sock = self.connect()
        for _ in range(3):
            self.exchange(sock)
            time.sleep(0.3)
        sock.sendall(REQUEST[:-2])
        time.sleep(PAUSE_SECONDS)  # A slow client: the rest is not late.
        self.exchange(sock, REQUEST[-2:])
        self.assertEqual([0.0] * 4, [seconds for seconds, _ in self.waited])

    def test_requests_of_new_and_open_connections_wait_during_a_pause(self):
        used = self.connect()
        self.exchange(used)
        time.sleep(0.7)  # Its thread has returned it to the selector.
        resume = self.pause()
        late = [used, self.connect(), self.connect()]
        sent_at = CLOCK.monotonic()
        for sock in late:
            sock.sendall(REQUEST)
        time.sleep(PAUSE_SECONDS)
        resume()
        for sock in late:
            self.assertTrue(sock.recv(4096).startswith(b"HTTP/1.1 200"))
        for seconds, read_at in self.waited[1:]:
            self.assertTrue(seconds >= read_at - sent_at, (seconds, read_at - sent_at))
        time.sleep(0.7)
        self.exchange(self.connect())
        self.assertEqual(0.0, self.waited[-1][0])


class CrowdTest(TestCase):
    def test_new_connections_are_not_late_for_ever_after_a_pause(self):
        """Guards against refusals without end while there is always a new one."""
        clock = ManualClock()
        inner = server._LimitedServer.__new__(server._LimitedServer)
        inner._accepted_late = 0
        with mock.patch.object(server, "CLOCK", clock):
            began_at = clock.monotonic()
            clock.advance(PAUSE_SECONDS)
            inner._note_readable([inner], began_at)
            found = []
            for _ in range(2 * server.MAX_WAITING_CONNECTIONS):
                conn = SimpleNamespace(waits_since=clock.monotonic())
                inner._note_accepted(conn)
                found.append(conn.waits_since == began_at)
                inner._note_readable([inner], clock.monotonic())
                clock.advance(0.1)
        late = [True] * server.MAX_WAITING_CONNECTIONS
        self.assertEqual(late + [False] * len(late), found)
