"""Thrift structs to bytes and back, for the log, snapshots and digests."""

from typing import Any, TypeVar

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

_FACTORY = TBinaryProtocolAcceleratedFactory()

T = TypeVar("T")


def encode(struct: Any) -> bytes:
    """Return the binary form of a thrift struct."""
    return serialize(struct, _FACTORY)


def decode(kind: type[T], data: bytes) -> T:
    """Return the struct of type `kind` that `data` holds.

    Raises
    ------
    Exception
        Whatever thrift raises for bytes that are not such a struct.
    """
    return deserialize(kind(), data, _FACTORY)
