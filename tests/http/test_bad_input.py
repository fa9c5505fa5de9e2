"""Invalid input to each HTTP API: an error with a detail, no change, no crash."""

import json
import socket

from testtools import TestCase

from arbutuscleat.http import HttpServer
from arbutuscleat.wire import Address
from tests.fakes import ENDPOINT, OPERATOR, FakeEntry

MAX_HEADER = 4096
MAX_BODY = 8192

ANNOUNCEMENT = {
    "instance_id": "worker-9",
    "incarnation": "1",
    "host": "127.0.0.1",
    "port": 80,
    "data_centre": "karachi",
    "rack": "rack-1",
    "labels": {"tier": "portal"},
    "services": ["portal"],
    "slots": 8,
    "connections": 64,
    "state": "ready",
    "sequence": 1,
}

POOL = {
    "kind": "pool",
    "expected_version": 0,
    "content": {
        "name": "billing",
        "service": "billing",
        "min_available": 1,
        "membership": "tier=billing",
    },
}


def http(method, path, body=b"", **headers):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", "Host: a", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def announce(token=ENDPOINT, **changes):
    body = {**ANNOUNCEMENT, **changes}
    return http("POST", "/v1/announcements", body, Authorization=f"Bearer {token}")


def change(body, token=OPERATOR, change_id="c9"):
    path = f"/v1/changes/{change_id}"
    return http("PUT", path, body, Authorization=f"Bearer {token}")


def pool(**content):
    return {**POOL, "content": {**POOL["content"], **content}}


SERVICE = "/v1/services/portal/x"

CASES = [
    ("bytes that are not HTTP", b"\x00\x01\x02\r\n\r\n", 400),
    ("an HTTP version that does not exist", b"GET / HTTP/9.9\r\n\r\n", 505),
    ("a header without a colon", b"GET / HTTP/1.1\r\nbroken\r\n\r\n", 400),
    ("a header that is too large", http("GET", SERVICE, X_Large="x" * 5000), 413),
    ("a body that is too large", http("POST", SERVICE, b"x" * (MAX_BODY + 1)), 413),
    ("an unknown path", http("GET", "/nothing"), 404),
    ("an unknown service", http("GET", "/v1/services/nothing/x"), 404),
    ("a service whose name is invalid", http("GET", "/v1/services/%20/x"), 400),
    ("a path without a service", http("GET", "/v1/services"), 400),
    ("a label with a space", http("GET", SERVICE, Arbutuscleat_Labels="a b=c"), 400),
    ("a label without a value", http("GET", SERVICE, Arbutuscleat_Labels="a"), 400),
    ("a label given twice", http("GET", SERVICE, Arbutuscleat_Labels="a=1,a=2"), 400),
    (
        "a timeout that is not a number",
        http("GET", SERVICE, Arbutuscleat_Timeout_Ms="soon"),
        400,
    ),
    ("a timeout of zero", http("GET", SERVICE, Arbutuscleat_Timeout_Ms="0"), 400),
    ("a key that is too long", http("POST", SERVICE, Idempotency_Key="k" * 300), 400),
    ("an announcement without a token", announce(token=""), 401),
    ("an announcement with an operator's token", announce(token=OPERATOR), 401),
    (
        "an announcement that is not JSON",
        http("POST", "/v1/announcements", b"{", Authorization=f"Bearer {ENDPOINT}"),
        400,
    ),
    ("an announcement with an unknown key", announce(colour="red"), 400),
    ("an announcement of another data centre", announce(data_centre="qasim"), 400),
    ("an announcement with an invalid label", announce(labels={"a b": "c"}), 400),
    ("an announcement with no slots", announce(slots=0), 400),
    ("an announcement with a host name", announce(host="worker-9"), 400),
    (
        "an announcement by GET",
        http("GET", "/v1/announcements", Authorization=f"Bearer {ENDPOINT}"),
        405,
    ),
    ("a change without a token", change(POOL, token=""), 401),
    ("a change with the endpoints' token", change(POOL, token=ENDPOINT), 401),
    ("a change that is not JSON", change(b"{"), 400),
    ("a change of an unknown kind", change({**POOL, "kind": "zone"}), 400),
    ("a change without a version", change({"kind": "pool", "content": {}}), 400),
    ("a change with an invalid id", change(POOL, change_id="a%20b"), 400),
    ("a pool with a negative minimum", change(pool(min_available=-1)), 400),
    ("a pool whose name is invalid", change(pool(name="a b")), 400),
    ("a selector that does not parse", change(pool(membership="tier in (")), 422),
    ("an empty membership", change(pool(membership=" "), change_id="c10"), 422),
    ("a read without a token", http("GET", "/v1/pools/x"), 401),
]


class BadInputTest(TestCase):
    def setUp(self):
        super().setUp()
        self.entry = FakeEntry()
        self.server = HttpServer(
            Address("127.0.0.1", 0), self.entry.application, 8, MAX_HEADER, MAX_BODY
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def exchange(self, data, half_close=True):
        address = self.server.address
        with socket.create_connection((address.host, address.port), 10) as conn:
            conn.sendall(data)
            if half_close:
                conn.shutdown(socket.SHUT_WR)
            answer = b""
            while chunk := conn.recv(65536):
                answer += chunk
        return answer

    def test_each_case_gets_an_error_with_a_detail_and_changes_nothing(self):
        before = self.entry.configuration.to_record()
        for name, data, status in CASES:
            head, _, body = self.exchange(data).partition(b"\r\n\r\n")
            self.assertEqual(str(status), head.split()[1].decode(), name)
            self.assertIn(
                b"application/problem+json" if status != 422 else b"json", head
            )
            self.assertIn("detail", json.loads(body), name)
        self.assertEqual(before, self.entry.configuration.to_record())
        self.assertEqual({}, dict(self.entry.endpoints.runs))
        answer = self.exchange(http("GET", SERVICE, Connection="close"))
        self.assertIn(b"Arbutuscleat-Outcome: ran", answer)

    def test_client_that_keeps_sending_a_large_body_reads_the_refusal(self):
        for _ in range(20):
            answer = self.exchange(http("POST", SERVICE, b"x" * 400_000))
            self.assertTrue(answer.startswith(b"HTTP/1.1 413"), answer[:40])

    def test_truncated_request_is_not_run(self):
        complete = http("POST", SERVICE, b"a body of some length")
        for size in range(1, len(complete)):
            self.exchange(complete[:size])
        self.assertEqual({}, dict(self.entry.endpoints.runs))
