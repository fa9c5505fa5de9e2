"""Frames from peers: their memory, and the connections that hold none."""

import socket
import struct
import time

import pytest
from thrift.transport.TTransport import TMemoryBuffer

from arbutuscleat.core import ClientLimits
from arbutuscleat.wire import (
    Address,
    Channel,
    Credentials,
    ThriftServer,
    framing,
    server,
)
from arbutuscleat.wire.framing import FrameBudget, FramedTransport, make_protocol
from arbutuscleat.wire.gen import Handshake
from arbutuscleat.wire.gen_jobs import JobControl
from arbutuscleat.wire.gen_jobs.ttypes import LocateRequest
from tests.wire.test_server import Handler

SECONDS = 10.0
CREDENTIALS = Credentials("test", "", "127.0.0.1", "x")


@pytest.fixture
def served():
    limits = ClientLimits(buffer_bytes=1)
    found = ThriftServer(
        JobControl.Processor(Handler()), Address("127.0.0.1", 0), CREDENTIALS, limits
    )
    found.start()
    yield found
    found.stop()


def locate(served):
    channel = Channel(JobControl.Client, served.address, CREDENTIALS)
    try:
        return channel.call("locate", LocateRequest(), SECONDS).unwrap().leader
    finally:
        channel.close()


def connect(served, data=b""):
    buffer = TMemoryBuffer()
    Handshake.Client(make_protocol(buffer)).send_hello(CREDENTIALS.hello())
    address = (served.address.host, served.address.port)
    sock = socket.create_connection(address, SECONDS)
    sock.sendall(buffer.getvalue())
    sock.recv(4_096)  # The answer to the handshake.
    sock.sendall(data)
    return sock


def is_closed(sock):
    sock.settimeout(SECONDS)
    try:
        return not sock.recv(1)
    except ConnectionError:
        return True


def test_large_frames_beyond_the_budget_end_their_connection(served, monkeypatch):
    monkeypatch.setattr(framing, "BUDGET_SECONDS", 0.1)
    size = struct.pack("!i", framing.MAX_FRAME_BYTES)
    first = connect(served, size + b"b" * 1_000)
    time.sleep(0.2)
    with connect(served, size) as second:
        assert is_closed(second)
    assert locate(served) == "x"
    first.close()


def test_a_frame_that_does_not_arrive_in_time_ends_its_connection(served, monkeypatch):
    monkeypatch.setattr(framing, "FRAME_SECONDS", 0.2)
    with connect(served, struct.pack("!i", 100_000) + b"b" * 1_000) as sock:
        assert is_closed(sock)


def test_the_longest_idle_connection_makes_room_for_a_new_one(served, monkeypatch):
    monkeypatch.setattr(server, "MAX_CONNECTIONS", 4)
    idle = [connect(served) for _ in range(4)]
    assert locate(served) == "x"
    assert is_closed(idle[0])
    for sock in idle:
        sock.close()


def test_a_frame_is_freed_once_it_has_been_read():
    budget = FrameBudget(0)
    data = b"b" * framing.MAX_FRAME_BYTES
    source = TMemoryBuffer(struct.pack("!i", len(data)) + data)
    source.setTimeout = lambda milliseconds: None
    transport = FramedTransport(source, framing.MAX_FRAME_BYTES, budget)
    assert transport.readAll(len(data)) == data
    assert not budget.acquire(len(data))
    transport.release()
    assert budget.acquire(len(data))
