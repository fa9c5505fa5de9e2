"""The stack that thrift messages travel on: framed, binary, accelerated."""

from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TFramedTransport

MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_STRING_BYTES = MAX_FRAME_BYTES
MAX_CONTAINER_ITEMS = 100_000


def make_protocol(socket: Any) -> TBinaryProtocolAccelerated:
    """Return the bounded protocol on top of a thrift socket."""
    framed = TFramedTransport(socket, MAX_FRAME_BYTES)
    return TBinaryProtocolAccelerated(
        framed,
        string_length_limit=MAX_STRING_BYTES,
        container_length_limit=MAX_CONTAINER_ITEMS,
    )
