"""The thrift transport and protocol: framed, binary, C-accelerated.

Frames, strings and containers have size limits, so that a malformed message cannot
exhaust the memory.
"""

from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TFramedTransport

MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_STRING_BYTES = MAX_FRAME_BYTES
MAX_CONTAINER_ITEMS = 100_000

MAX_HELLO_BYTES = 4_096
"""Longest handshake: a cluster name, a key, an id and an incarnation of at most some
hundred bytes each."""


def make_protocol(
    socket: Any, max_frame_bytes: int = MAX_FRAME_BYTES
) -> TBinaryProtocolAccelerated:
    """Return a size-limited protocol on top of a thrift socket."""
    framed = TFramedTransport(socket, max_frame_bytes)
    return TBinaryProtocolAccelerated(
        framed,
        string_length_limit=min(MAX_STRING_BYTES, max_frame_bytes),
        container_length_limit=MAX_CONTAINER_ITEMS,
    )
