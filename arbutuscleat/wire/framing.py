"""The thrift transport and protocol: framed, binary, C-accelerated.

Frames, strings and containers have size limits, so that a malformed message cannot
exhaust the memory.
"""

import struct
import threading
import time
from io import BytesIO
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TFramedTransport, TTransportException

MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_STRING_BYTES = MAX_FRAME_BYTES
MAX_CONTAINER_ITEMS = 100_000

LARGE_FRAME_BYTES = 65_536
"""Frames from this size on are counted: heartbeats and most calls are far smaller."""

BUDGET_SECONDS = 1.0
"""How long a large frame waits for others: as long as a peer waits for an answer."""

FRAME_SECONDS = 10.0
"""Time for a frame to arrive at a server after its size: the longest at 1 MB a second,
and ten times what a peer waits for the answer to any other."""

MAX_HELLO_BYTES = 4_096
"""Longest handshake: a cluster name, a key, an id and an incarnation of at most some
hundred bytes each."""


class FrameBudget:
    """The memory of large frames of all connections together; thread-safe.

    Parameters
    ----------
    max_bytes : int
        Limit for all connections, in bytes; at least one frame always fits.
    """

    def __init__(self, max_bytes: int):
        self._max_bytes = max(max_bytes, MAX_FRAME_BYTES)
        self._changed = threading.Condition()
        self._total = 0

    def acquire(self, size: int) -> bool:
        """Count a frame, and wait for others if need be; return False if in vain."""
        with self._changed:
            has_room = self._changed.wait_for(
                lambda: self._total + size <= self._max_bytes, BUDGET_SECONDS
            )
            if has_room:
                self._total += size
            return has_room

    def release(self, size: int) -> None:
        """Count a frame as freed."""
        with self._changed:
            self._total -= size
            self._changed.notify_all()


class FramedTransport(TFramedTransport):
    """Frames whose memory is bounded for all connections of a server together.

    Parameters
    ----------
    connection : TSocket
        The connection.
    max_frame_bytes : int
        Longest frame, in bytes.
    budget : FrameBudget, optional
        Counts frames from `LARGE_FRAME_BYTES` on; without it, they are not limited.
    """

    def __init__(
        self, connection: Any, max_frame_bytes: int, budget: FrameBudget | None = None
    ):
        super().__init__(connection, max_frame_bytes)
        self._connection = connection
        self._frame_limit = max_frame_bytes
        self._budget = budget
        self._held_bytes = 0

    def readFrame(self) -> None:
        """Read a frame, once there is room for it.

        Raises
        ------
        TTransportException
            If it is too long, if there is no room, or if the connection ends.
        """
        self.release()
        size: int = struct.unpack("!i", self._connection.readAll(4))[0]
        if not 0 <= size <= self._frame_limit:
            raise TTransportException(
                TTransportException.SIZE_LIMIT, f"a frame of {size} bytes"
            )
        if self._budget is not None and size >= LARGE_FRAME_BYTES:
            if not self._budget.acquire(size):
                raise TTransportException(
                    TTransportException.SIZE_LIMIT, "too many large frames at once"
                )
            self._held_bytes = size
        self._set_input(self._read_within(size, FRAME_SECONDS))

    def _read_within(self, size: int, seconds: float) -> bytes:
        """Return the rest of a frame; at a server, it has to arrive in time."""
        if self._budget is None:
            return self._connection.readAll(size)
        deadline = time.monotonic() + seconds
        data = bytearray()
        while len(data) < size:
            left_ms = 1000 * (deadline - time.monotonic())
            self._connection.setTimeout(max(1.0, left_ms))
            data += self._connection.read(size - len(data))
        self._connection.setTimeout(None)
        return bytes(data)

    def release(self) -> None:
        """Free the latest frame, which has been read."""
        self._set_input(b"")
        if self._budget is not None and self._held_bytes:
            self._budget.release(self._held_bytes)
        self._held_bytes = 0

    def _set_input(self, data: bytes) -> None:
        # The parent class keeps its input private; its version is pinned.
        self._TFramedTransport__rbuf = BytesIO(data)


def make_protocol(
    socket: Any,
    max_frame_bytes: int = MAX_FRAME_BYTES,
    budget: FrameBudget | None = None,
) -> TBinaryProtocolAccelerated:
    """Return a size-limited protocol on top of a thrift socket."""
    framed = FramedTransport(socket, max_frame_bytes, budget)
    return TBinaryProtocolAccelerated(
        framed,
        string_length_limit=min(MAX_STRING_BYTES, max_frame_bytes),
        container_length_limit=MAX_CONTAINER_ITEMS,
    )
