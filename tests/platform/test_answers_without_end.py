"""Answers of workers and of the provider that do not end are read up to a limit."""

import socket
import threading

import pytest
from berthline.http_calls import HttpCalls

from arbutuscleat.wire import Address

TIMEOUT = 20.0
SENT_BYTES = 64 * 1024 * 1024
TAKEN_BYTES = 32 * 1024 * 1024
"""Bound on what is taken: the limit of 16 MiB, and as much for buffers."""

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = 64 * 1024

ANSWERS = {
    "continues": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "header lines": (OK, b"X-A: b\r\n"),
    "one header line": (OK + b"X-A: ", b"b"),
    "status line": (b"HTTP/1.1 200 ", b"b"),
    "chunk extension": (CHUNKED + b"2;", b"b"),
    "chunk size": (CHUNKED, b"0"),
    "negative chunk": (CHUNKED + b"-1\r\n", b"b"),
    "signed chunk": (CHUNKED + b"+fffffff\r\n", b"b"),
    "huge chunk": (CHUNKED + b"fffffffffff\r\n", b"b"),
    "chunks of a byte": (CHUNKED, b"1\r\nb\r\n"),
    "trailer lines": (CHUNKED + b"2\r\n{}\r\n0\r\n", b"X-A: b\r\n"),
    "one trailer line": (CHUNKED + b"2\r\n{}\r\n0\r\nX-A: ", b"b"),
    "negative length": (OK + b"Content-Length: -1\r\n\r\n", b"b"),
    "huge length": (OK + b"Content-Length: 99999999999\r\n\r\n", b"b"),
    "body without a length": (OK + b"\r\n", b"b"),
}


@pytest.mark.parametrize("name", ANSWERS)
def test_an_answer_without_end_is_none_and_read_up_to_a_limit(name):
    prefix, unit = ANSWERS[name]
    taken = []
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        conn, _ = listener.accept()
        with conn:
            conn.recv(BLOCK)
            block = unit * (BLOCK // len(unit))
            try:
                conn.sendall(prefix)
                while len(taken) * len(block) < SENT_BYTES:
                    conn.sendall(block)
                    taken.append(len(block))
            except OSError:
                pass  # The client has closed the connection.

    server = threading.Thread(target=serve, daemon=True)
    server.start()
    calls = HttpCalls(Address("127.0.0.1", listener.getsockname()[1]), {})
    with listener:
        result = calls.call("POST", "/v1/hold", {}, TIMEOUT)
        server.join(TIMEOUT)
    calls.close()
    assert result.status == 0
    assert sum(taken) < TAKEN_BYTES
