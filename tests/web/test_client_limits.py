"""What clients outside the limits get, and that the next request is told apart."""

import socket
import time
from contextlib import ExitStack
from dataclasses import replace

import pytest

from arbutuscleat.core import ClientLimits
from arbutuscleat.metrics import Metrics
from arbutuscleat.web import BodyError, HttpServer, read_request
from arbutuscleat.wire import Address

MAX_HEADER = 4_096
MAX_BODY = 4_096
LIMITS = ClientLimits(
    header_seconds=0.3,
    body_seconds=0.3,
    write_seconds=0.3,
    connections=12,
    connections_per_address=10,
)
WAIT_SECONDS = 20.0
POST = b"POST / HTTP/1.1\r\nHost: a\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
ORDINARY = POST + b"Content-Length: 4\r\n\r\nbody"
CLOSING = POST + b"Connection: close\r\nContent-Length: 4\r\n\r\nbody"
ANSWER_BYTES = 256 * 1024


class Echo:
    """Answers with the length of the body, or with a large body for GET."""

    def __init__(self):
        self.bodies = []

    def __call__(self, environ, start_response):
        try:
            body = read_request(environ).body
        except BodyError as exc:
            start_response(f"{exc.status} Refused", [("Content-Length", "0")])
            return [b""]
        self.bodies.append(body)
        content = str(len(body)).encode()
        if environ["REQUEST_METHOD"] == "GET":
            content = b"x" * ANSWER_BYTES
        start_response("200 OK", [("Content-Length", str(len(content)))])
        return [content]


@pytest.fixture
def served():
    """Yield a function that starts a server and returns it with its metrics."""
    servers = []

    def start(threads=2, max_body=MAX_BODY, limits=LIMITS):
        metrics = Metrics()
        address = Address("127.0.0.1", 0)
        app = Echo()
        server = HttpServer(
            address, app, threads, MAX_HEADER, max_body, limits, metrics, "test"
        )
        servers.append(server)
        server.start()
        return server, app, metrics

    yield start
    for server in servers:
        server.stop()


def connect(server, data=b"", host="127.0.0.1"):
    address = (server.address.host, server.address.port)
    sock = socket.create_connection(address, WAIT_SECONDS, (host, 0))
    sock.sendall(data)
    return sock


def exchange(server, data, half_close=False):
    """Return all that is answered until the server closes the connection."""
    with connect(server, data) as sock:
        if half_close:
            sock.shutdown(socket.SHUT_WR)
        return read_all(sock)


def read_all(sock):
    answer = b""
    try:
        while part := sock.recv(65_536):
            answer += part
    except ConnectionResetError:
        pass
    return answer


def status(answer):
    return int(answer.split()[1]) if answer else None


LAST = b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n"


REFUSED = [
    (
        POST + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    (
        POST + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        400,
    ),
    (POST + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody", 400),
    (POST + b"Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", 400),
    (POST + b"Content-Length: -1\r\n\r\nbody", 400),
    (POST + b"Content-Length: +4\r\n\r\nbody", 400),
    (POST + b"Content-Length: 1_0\r\n\r\nbody", 400),
    (POST + b"Content-Length: 4, 4\r\n\r\nbody", 400),
    (POST + b"Content-Length : 4\r\n\r\nbody", 400),
    (POST + b"Content-Length: 4\r\n 5\r\n\r\nbody", 400),
    (POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
    (POST + b"Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n", 400),
    (POST + b"Transfer-Encoding: identity\r\n\r\n", 400),
    (CHUNKED.replace(b"1.1", b"1.0") + b"0\r\n\r\n", 400),
    (POST.replace(b"Host", b" Host") + b"\r\n", 400),
    (CHUNKED + b"-4\r\nbody\r\n0\r\n\r\n", 400),
    (CHUNKED + b"0x4\r\nbody\r\n0\r\n\r\n", 400),
    (CHUNKED + b"4\r\nbodybody\r\n0\r\n\r\n", 400),
    (CHUNKED + b"ffffffff\r\nbody", 413),
    (CHUNKED + b"4;" + b"a" * 300 + b"\r\nbody\r\n0\r\n\r\n", 413),
    (CHUNKED + b"1\r\nb\r\n" * 4_097 + b"0\r\n\r\n", 413),
    (CHUNKED + b"4\r\nbody\r\n0\r\n" + b"A: b\r\n" * 100 + b"\r\n", 413),
    (POST + b"Content-Length: 4097\r\n\r\n", 413),
    (POST + b"A: " + b"b" * 5_000 + b"\r\n\r\n", 413),
    (b"GET /" + b"a" * 5_000 + b" HTTP/1.1\r\n\r\n", 414),
]


def test_requests_that_can_be_read_in_two_ways_or_are_too_large(served):
    server, app, metrics = served()
    for data, expected in REFUSED:
        answer = exchange(server, data + LAST)
        assert status(answer) == expected, data[:100]
        # What follows is not taken for a request.
        assert answer.count(b"HTTP/1.1 ") == 1, data[:100]
    assert app.bodies == []
    for reason, statuses in {"malformed": [400], "too_large": [413, 414]}.items():
        count = sum(expected in statuses for _, expected in REFUSED)
        name = {"server": "test", "reason": reason}
        assert metrics.counter("clients_refused", **name) == count


def test_the_request_after_a_chunked_body_with_trailers_is_served(served):
    server, app, _ = served()
    body = b"4;a=b\r\nbody\r\n0\r\nA: b\r\n\r\n"
    answer = exchange(server, CHUNKED + body + ORDINARY + LAST)
    assert answer.count(b"HTTP/1.1 200") == 3
    assert app.bodies == [b"body", b"body", b""]


def test_a_server_without_bodies_refuses_them_unread(served):
    server, app, _ = served(max_body=0)
    for data in (ORDINARY, CHUNKED + b"4\r\nbody\r\n0\r\n\r\n"):
        assert status(exchange(server, data + LAST)) == 413
    assert app.bodies == []
    assert status(exchange(server, LAST)) == 200


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (POST, "header_time"),
        (b"POST", "header_time"),
        (POST + b"Content-Length: 4\r\n\r\nbo", "body_time"),
        (POST + b"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n", "body_time"),
        (CHUNKED + b"4\r\nbo", "body_time"),
    ],
)
def test_more_slow_clients_than_threads_are_refused_and_others_served(
    served, data, reason
):
    server, app, metrics = served(threads=1)
    slow = [connect(server, data) for _ in range(3)]
    with connect(server, ORDINARY, "127.0.0.2") as sock:
        assert status(sock.recv(65_536)) == 200
    for sock in slow:
        answer = read_all(sock).replace(b"HTTP/1.1 100 Continue\r\n\r\n", b"")
        assert status(answer) == 408
        sock.close()
    assert app.bodies == [b"body"]
    assert metrics.counter("clients_refused", server="test", reason=reason) == 3


def test_a_client_that_does_not_read_is_closed(served):
    server, _, metrics = served(threads=1)
    sock = connect(server, b"GET / HTTP/1.1\r\n\r\n" * 60)
    with connect(server, ORDINARY, "127.0.0.2") as other:
        assert status(other.recv(65_536)) == 200
    deadline = time.monotonic() + WAIT_SECONDS
    name = {"server": "test", "reason": "write_time"}
    while not metrics.counter("clients_refused", **name):
        assert time.monotonic() < deadline
        time.sleep(0.01)
    assert len(read_all(sock)) < 60 * ANSWER_BYTES
    sock.close()


def test_a_client_that_sends_its_headers_in_pieces_is_served(served):
    server, app, _ = served(threads=1)
    with connect(server) as sock:
        for at in range(0, len(ORDINARY), 7):
            sock.sendall(ORDINARY[at : at + 7])
            time.sleep(0.005)
        assert status(sock.recv(65_536)) == 200
    assert app.bodies == [b"body"]


@pytest.mark.parametrize("host", ["127.0.0.1", "127.0.0.2"])
def test_a_new_connection_takes_the_place_of_the_longest_idle_one(served, host):
    server, app, metrics = served()
    idle = [connect(server) for _ in range(LIMITS.connections)]
    hosts = [connect(server, b"", "127.0.0.2") for _ in range(LIMITS.connections)]
    # Until a thread has looked at it, a new connection does not count as idle.
    selector = server._server._connections._selector
    deadline = time.monotonic() + WAIT_SECONDS
    counts = lambda: [
        metrics.counter("clients_refused", server="test", reason=reason)
        for reason in ("idle", "connections")
    ]
    while sum(counts()) + len(selector) - 1 < len(idle + hosts):
        assert time.monotonic() < deadline
        time.sleep(0.01)
    before, _ = counts()
    with connect(server, ORDINARY, host) as sock:
        assert status(sock.recv(65_536)) == 200
    assert app.bodies == [b"body"]
    assert counts()[0] == before + 1
    for sock in idle + hosts:
        sock.close()


def test_a_slow_body_holds_no_thread(served):
    server, app, _ = served(limits=replace(LIMITS, body_seconds=WAIT_SECONDS))
    with ExitStack() as stack:
        for data in (ORDINARY[:-1], CHUNKED + b"4\r\nbo"):
            for _ in range(4):
                stack.enter_context(connect(server, data))
        assert exchange(server, CLOSING).startswith(b"HTTP/1.1 200")
    assert app.bodies == [b"body"]


def test_bodies_beyond_the_buffers_are_refused_and_small_ones_served(served):
    limits = replace(LIMITS, body_seconds=WAIT_SECONDS, buffer_bytes=100_000)
    server, _, metrics = served(max_body=200_000, limits=limits)
    head = POST + b"Content-Length: 90000\r\n\r\n"
    with connect(server, head + b"b" * 89_000):
        answer = exchange(server, head + b"b" * 89_000)
        assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After: " in answer
        assert exchange(server, CLOSING).startswith(b"HTTP/1.1 200")
    assert 'reason="buffers"' in metrics.render()


def test_an_expected_interim_response_comes_once(served):
    server, app, _ = served()
    head = POST + b"Connection: close\r\nExpect: 100-continue\r\n"
    with connect(server, head + b"Content-Length: 4\r\n\r\n") as sock:
        assert sock.recv(4_096) == b"HTTP/1.1 100 Continue\r\n\r\n"
        sock.sendall(b"body")
        answer = b""
        while data := sock.recv(4_096):
            answer += data
    assert answer.startswith(b"HTTP/1.1 200")
    assert app.bodies == [b"body"]
