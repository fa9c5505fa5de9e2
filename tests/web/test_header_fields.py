"""Header fields that are repeated, ambiguous or too long."""

import socket

from testtools import TestCase

from arbutuscleat.web import HttpServer, read_request
from arbutuscleat.wire import Address

MAX_HEADER_BYTES = 16_384


class HeaderFieldsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.headers = []
        self.server = HttpServer(
            Address("127.0.0.1", 0), self.answer, 4, MAX_HEADER_BYTES, 4096
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def answer(self, environ, start_response):
        self.headers.append(read_request(environ).headers)
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    def send(self, *lines):
        """Send a request with header lines and return the status."""
        address = self.server.address
        text = "\r\n".join(["GET / HTTP/1.1", "Host: a", *lines, "", ""])
        with socket.create_connection((address.host, address.port), 5.0) as sock:
            sock.sendall(text.encode("latin-1"))
            return sock.recv(4096)[9:12].decode()

    def test_two_keys_are_joined_to_one_value(self):
        """Guards against a call that two processes on the way read differently."""
        for second in ("X-Api-Key", "x-api-key"):
            self.assertEqual("200", self.send("X-Api-Key: one", f"{second}: two"))
            self.assertEqual("one, two", self.headers[-1]["x-api-key"])
        self.send("Accept: a", "Accept: b")
        self.assertEqual("a, b", self.headers[-1]["accept"])

    def test_a_name_with_an_underscore_is_no_other_one(self):
        self.assertEqual("200", self.send("X-Api-Key: one", "X_Api_Key: two"))
        self.assertEqual("one", self.headers[-1]["x-api-key"])
        self.assertEqual("200", self.send("X_Api_Key: two"))
        self.assertNotIn("x-api-key", self.headers[-1])

    def test_two_lengths_of_the_body_are_refused(self):
        status = self.send("Content-Length: 0", "Content-Length: 5")
        self.assertEqual("400", status)
        self.assertEqual([], self.headers)

    def test_a_key_longer_than_the_headers_may_be_is_refused(self):
        status = self.send("X-Api-Key: " + "k" * 100_000)
        self.assertEqual("413", status)
        self.assertEqual([], self.headers)

    def test_odd_bytes_of_a_key_arrive_as_they_are(self):
        for text in ("", "\xff\x00", "cl\xe9"):
            self.assertEqual("200", self.send(f"X-Api-Key: {text}"))
            self.assertEqual(text, self.headers[-1]["x-api-key"])
