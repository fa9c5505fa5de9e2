"""The endpoint client returns only complete answers to the right request."""

import time

from returns.result import Failure, Success
from testtools import TestCase

from arbutuscleat.core import Deadline, SystemClock
from arbutuscleat.emulator import (
    EndpointFault,
    FaultyEndpoint,
    answer_digest,
    free_ports,
)
from arbutuscleat.http import UrllibEndpointClient
from arbutuscleat.routing import DispatchErrorKind, Request
from tests.fakes import make_instance

# The fault, the timeout in seconds, the expected error, and whether the request ran.
CASES = [
    (EndpointFault.NONE, 5.0, None, True),
    (EndpointFault.FAIL, 5.0, None, True),
    (EndpointFault.SLOW, 0.1, DispatchErrorKind.LOST, True),
    (EndpointFault.HANG, 0.1, DispatchErrorKind.LOST, True),
    (EndpointFault.HALF, 5.0, DispatchErrorKind.LOST, True),
    (EndpointFault.RESET, 5.0, DispatchErrorKind.LOST, True),
    (EndpointFault.WRONG_LENGTH, 5.0, DispatchErrorKind.LOST, True),
    (EndpointFault.NO_LENGTH, 5.0, DispatchErrorKind.LOST, True),
    (EndpointFault.CROSSED, 5.0, DispatchErrorKind.CROSSED, True),
    (EndpointFault.DROP, 5.0, DispatchErrorKind.LOST, False),
]


def request(key, body=b"content", method="POST"):
    headers = (("Idempotency-Key", key),)
    return Request("portal", method, "/x", headers, body, {}, key, 5.0)


class EndpointClientTest(TestCase):
    def setUp(self):
        super().setUp()
        self.faults = []
        self.endpoint = FaultyEndpoint(lambda: self.faults.pop(0))
        self.endpoint.start()
        self.addCleanup(self.endpoint.stop)
        self.client = UrllibEndpointClient(SystemClock(), 1.0, 1000)
        self.addCleanup(self.client.close)
        self.instance = make_instance("w1", port=self.endpoint.port)

    def send(self, fault, key, timeout=5.0, **changes):
        self.faults.append(fault)
        req = request(key, **changes)
        return self.client.send(self.instance, req, f"id-{key}", timeout)

    def wait_for_run(self, key):
        """Wait until the endpoint runs a request, which a timeout may precede."""
        deadline = Deadline.after(SystemClock(), 5.0)
        while not self.endpoint.runs[key] and deadline.remaining():
            time.sleep(0.005)

    def test_each_fault(self):
        for number, (fault, timeout, kind, ran) in enumerate(CASES):
            key = f"k{number}"
            result = self.send(fault, key, timeout)
            if kind is None:
                body = answer_digest(key, b"content").encode()
                self.assertEqual(body, result.unwrap().body, fault)
            else:
                self.assertEqual(kind, result.failure().kind, fault)
            if ran:
                self.wait_for_run(key)
            self.assertEqual(int(ran), self.endpoint.runs[key], fault)

    def test_next_request_does_not_read_the_answer_of_a_failed_one(self):
        for number, (fault, timeout, _, _) in enumerate(CASES):
            self.send(fault, f"a{number}", timeout)
            result = self.send(EndpointFault.NONE, f"b{number}")
            self.assertIsInstance(result, Success, fault)
            body = answer_digest(f"b{number}", b"content").encode()
            self.assertEqual(body, result.unwrap().body, fault)

    def test_refused_connection_fails_with_not_sent(self):
        unreachable = make_instance("gone", port=free_ports(1)[0])
        result = self.client.send(unreachable, request("k"), "id", 1.0)
        self.assertEqual(DispatchErrorKind.NOT_SENT, result.failure().kind)

    def test_answer_over_the_size_limit_fails_with_too_large(self):
        client = UrllibEndpointClient(SystemClock(), 1.0, 10)
        self.faults.append(EndpointFault.NONE)
        result = client.send(self.instance, request("k"), "id", 5.0)
        self.assertIsInstance(result, Failure)
        self.assertEqual(DispatchErrorKind.TOO_LARGE, result.failure().kind)

    def test_head_answer_has_no_body(self):
        result = self.send(EndpointFault.NONE, "k", method="HEAD", body=b"")
        self.assertEqual(b"", result.unwrap().body)
