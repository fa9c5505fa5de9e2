"""Stops of the HTTP server while clients have connections open."""

import socket
import threading
import time

from testtools import TestCase

from arbutuscleat.web import HttpServer, read_request
from arbutuscleat.web.server import STOP_TIMEOUT_SECONDS
from arbutuscleat.wire import Address

RUN_SECONDS = 1.0
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"


class StopTest(TestCase):
    def setUp(self):
        super().setUp()
        self.reading = threading.Semaphore(0)
        self.server = HttpServer(Address("127.0.0.1", 0), self.answer, 4, 4096, 4096)
        self.server.start()

    def answer(self, environ, start_response):
        self.reading.release()
        body = read_request(environ).body
        time.sleep(RUN_SECONDS)
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    def connect(self, data):
        address = self.server.address
        sock = socket.create_connection((address.host, address.port))
        self.addCleanup(sock.close)
        sock.sendall(data)
        return sock

    def test_unread_requests_do_not_delay_a_stop_and_others_are_answered(self):
        self.connect(b"")
        self.connect(HEAD[:20])
        self.connect(HEAD + b"ab")
        whole = self.connect(HEAD + b"abcd")
        # The application sees whole requests only.
        self.assertTrue(self.reading.acquire(timeout=STOP_TIMEOUT_SECONDS))
        began_at = time.monotonic()
        self.server.stop()
        self.assertTrue(time.monotonic() - began_at < STOP_TIMEOUT_SECONDS)
        answer = b""
        while data := whole.recv(4096):
            answer += data
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 OK"), answer)
        self.assertTrue(answer.endswith(b"abcd"), answer)
        self.assertFalse(self.reading.acquire(blocking=False))
