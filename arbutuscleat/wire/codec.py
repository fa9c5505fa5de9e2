"""Serialisation of thrift structs, for the log, snapshots and digests."""

from typing import Any, TypeVar

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

_FACTORY = TBinaryProtocolAcceleratedFactory()

T = TypeVar("T")


def encode(struct: Any) -> bytes:
    """Return the binary form of a thrift struct."""
    return serialize(struct, _FACTORY)


def decode(kind: type[T], data: bytes) -> T:
    """Return the struct of type `kind` that `data` encodes.

    Raises
    ------
    Exception
        Any exception that thrift raises when `data` does not encode such a struct.
    """
    return deserialize(kind(), data, _FACTORY)
