"""Crowds of clients that send what no well-behaved client sends.

Each crowd is small and its bytes are bounded, so that what a process takes depends on
its limits and not on the speed of the machine.
"""

import itertools
import socket
import struct
import threading
from collections.abc import Callable, Iterator

from arbutuscleat.wire import Address

FLOOD_BYTES = 24 * 1024 * 1024
"""What one client sends at most: three of them exceed the bound on memory."""

BLOCK_BYTES = 64 * 1024
FLOOD_CLIENTS = 3
OPEN_CHANNELS = 150
SLOW_CHANNELS = 30
"""More than an entry node has threads for callers."""

DRIP_SECONDS = 0.2
SOCKET_SECONDS = 5.0
"""How long a client waits for a process that neither reads nor closes."""

JOIN_SECONDS = 120.0

HEAD = b"POST /approvals/0000000000000001 HTTP/1.1\r\nHost: berth.example\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CONFIGURE = b"PUT /v1/configuration HTTP/1.1\r\nHost: berth.example\r\n"
GET = b"GET /approvals/ HTTP/1.1\r\nHost: berth.example\r\n\r\n"
JSON_BODY = b'{"a":[' + b"{}," * 1_398_000 + b"{}]}"


def length_head(length: str, head: bytes = HEAD) -> bytes:
    """Return the head of a request with a Content-Length."""
    return head + f"Content-Length: {length}\r\n\r\n".encode()


def repeat(prefix: bytes, unit: bytes) -> Iterator[bytes]:
    """Yield a prefix, and then a unit again and again, in blocks."""
    yield prefix
    block = unit * max(1, BLOCK_BYTES // len(unit))
    for _ in range(FLOOD_BYTES // len(block)):
        yield block


class Crowd:
    """Clients of one address, whose channels stay open until `end`.

    Parameters
    ----------
    address : Address
        Address of the process.
    """

    def __init__(self, address: Address):
        self.address = address
        self._ended = threading.Event()
        self._threads: list[threading.Thread] = []
        self._sockets: list[socket.socket] = []
        self._lock = threading.Lock()

    def flood(
        self, blocks: Callable[[], Iterator[bytes]], clients: int = FLOOD_CLIENTS
    ) -> None:
        """Let each client send all blocks, or until its channel is closed."""
        for _ in range(clients):
            self._run(lambda: self._send(blocks()))

    def hold(self, data: bytes, channels: int = OPEN_CHANNELS) -> None:
        """Open channels, send the same on each and keep them open."""
        for _ in range(channels):
            self._open(data)

    def drip(self, data: bytes, unit: bytes, channels: int = SLOW_CHANNELS) -> None:
        """Open channels and then send on each of them, a little at a time."""
        self.hold(data, channels)
        # It ends with the crowd, so that `wait` does not wait for it.
        threading.Thread(target=self._drip, args=(unit,), daemon=True).start()

    def reset(self, data: bytes, channels: int = OPEN_CHANNELS) -> None:
        """Send something on each of many channels, and reset them."""
        for _ in range(channels):
            sock = self._open(data)
            if sock is not None:
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                sock.close()

    def wait(self) -> None:
        """Wait until the floods have been sent or refused."""
        for thread in self._threads:
            thread.join(JOIN_SECONDS)
            assert not thread.is_alive()

    def end(self) -> None:
        """Close all channels."""
        self._ended.set()
        for sock in self._sockets:
            sock.close()

    def _run(self, action: Callable[[], None]) -> None:
        thread = threading.Thread(target=action, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _open(self, data: bytes) -> socket.socket | None:
        try:
            address = (self.address.host, self.address.port)
            sock = socket.create_connection(address, SOCKET_SECONDS)
        except OSError:
            return None
        with self._lock:
            self._sockets.append(sock)
        self._send_on(sock, iter((data,)))
        return sock

    def _send(self, blocks: Iterator[bytes]) -> None:
        sock = self._open(b"")
        if sock is not None:
            self._send_on(sock, blocks)

    def _send_on(self, sock: socket.socket, blocks: Iterator[bytes]) -> None:
        try:
            for block in blocks:
                sock.sendall(block)
        except OSError:
            pass  # Refused, or no longer read.

    def _drip(self, unit: bytes) -> None:
        while not self._ended.wait(DRIP_SECONDS):
            for sock in self._sockets:
                try:
                    sock.send(unit, socket.MSG_DONTWAIT)
                except OSError:
                    continue


def _flood(prefix: bytes, unit: bytes) -> Callable[[Crowd], None]:
    return lambda crowd: crowd.flood(lambda: repeat(prefix, unit))


def _once(data: bytes, clients: int = FLOOD_CLIENTS) -> Callable[[Crowd], None]:
    return lambda crowd: crowd.flood(lambda: iter((data,)), clients)


HTTP_CROWDS: dict[str, Callable[[Crowd], None]] = {
    "trailer lines": _flood(CHUNKED + b"2\r\n{}\r\n0\r\n", b"X-A: bbbbbbbb\r\n"),
    "one trailer line": _flood(CHUNKED + b"2\r\n{}\r\n0\r\nX-A: ", b"b" * 1024),
    "chunk extension": _flood(CHUNKED + b"2;a=", b"b" * 1024),
    "extension of the last chunk": _flood(CHUNKED + b"2\r\n{}\r\n0;a=", b"b" * 1024),
    "chunk size": _flood(CHUNKED, b"0" * 1024),
    "huge chunk": _flood(CHUNKED + b"7fffffffffff\r\n", b"b" * 1024),
    "negative chunk": _flood(CHUNKED + b"-1\r\n", b"b" * 1024),
    "negative chunk of -2": _flood(CHUNKED + b"-2\r\n", b"b" * 1024),
    "chunks of a byte": _flood(CHUNKED, b"1\r\nb\r\n"),
    "header lines": _flood(HEAD, b"X-A: bbbbbbbb\r\n"),
    "one header line": _flood(HEAD + b"X-A: ", b"b" * 1024),
    "request line": _flood(b"GET /", b"b" * 1024),
    "length above the limit": _flood(length_head("1000000000000"), b"b" * 1024),
    "length of some megabytes": _flood(length_head("30000000"), b"b" * 1024),
    "negative length": _flood(length_head("-1"), b"b" * 1024),
    "length of no number": _flood(length_head("1_000_000"), b"b" * 1024),
    "bytes after the request": _flood(GET, b"\x00\r\n" * 341),
    "JSON of a million objects": _once(
        length_head(str(len(JSON_BODY)), CONFIGURE) + JSON_BODY
    ),
    "nested JSON": _once(length_head("200000") + b"[" * 200_000, 24),
    "pipelined without reading": lambda crowd: crowd.flood(lambda: repeat(b"", GET)),
    "channels without a byte": lambda crowd: crowd.hold(b""),
    "half a request line": lambda crowd: crowd.hold(b"GET /app"),
    "half a header": lambda crowd: crowd.hold(HEAD),
    "half a body": lambda crowd: crowd.hold(length_head("4000") + b"{"),
    "expect and nothing": lambda crowd: crowd.hold(
        HEAD + b"Expect: 100-continue\r\nContent-Length: 9\r\n\r\n"
    ),
    "resets": lambda crowd: crowd.reset(length_head("4000") + b"{"),
    "slow header": lambda crowd: crowd.drip(HEAD + b"X-A: ", b"b"),
    "slow body": lambda crowd: crowd.drip(length_head("100000"), b"b"),
    "slow chunks": lambda crowd: crowd.drip(CHUNKED, b"1\r\nb\r\n"),
}
"""What each crowd does at the address of an HTTP server."""

_HELLO = struct.pack("!i", 4 * 1024 * 1024)

PEER_CROWDS: dict[str, Callable[[Crowd], None]] = {
    "frames of megabytes": lambda crowd: crowd.flood(
        lambda: itertools.chain((_HELLO,), repeat(b"", b"b" * 1024)), 24
    ),
    "half a frame of megabytes": lambda crowd: crowd.hold(
        _HELLO + b"b" * (3 * 1024 * 1024), 24
    ),
    "negative frame": _flood(struct.pack("!i", -1), b"b" * 1024),
    "channels without a byte": lambda crowd: crowd.hold(b""),
    "slow frame": lambda crowd: crowd.drip(_HELLO, b"b", OPEN_CHANNELS),
}
"""What each crowd does at the port for other processes of the installation."""
