"""Serialisation of thrift structs, for the log, snapshots and digests."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, TypeVar

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer
from thrift.TSerialization import deserialize, serialize

_FACTORY = TBinaryProtocolAcceleratedFactory()
_FIRST_FIELD = 1

T = TypeVar("T")
S = TypeVar("S")


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


def encode_items(items: Iterable[Any], count: int, rest: Any) -> bytes:
    """Return the binary form of a struct whose first field is a list of structs.

    The items are encoded one at a time, so that they need not all be in memory.

    Parameters
    ----------
    items : iterable of thrift struct
        The items of the list.
    count : int
        Their number.
    rest : thrift struct
        The struct, without that field.
    """
    buffer = TMemoryBuffer()
    protocol = _FACTORY.getProtocol(buffer)
    protocol.writeFieldBegin("", TType.LIST, _FIRST_FIELD)
    protocol.writeListBegin(TType.STRUCT, count)
    for item in items:
        item.write(protocol)
    rest.write(protocol)
    return buffer.getvalue()


def decode_items(
    item_kind: type[T], kind: type[S], data: bytes
) -> tuple[Iterator[T], Callable[[], S]]:
    """Return the items of what `encode_items` has encoded, one at a time.

    Parameters
    ----------
    item_kind, kind : type
        Types of the items and of the struct.
    data : bytes
        The binary form.

    Returns
    -------
    items : iterator of thrift struct
        The items of the list.
    read_rest : callable
        Returns the struct without the list, once all items have been read.

    Raises
    ------
    Exception
        Any exception that thrift raises when `data` does not encode such a struct.
    """
    protocol = _FACTORY.getProtocol(TMemoryBuffer(data))

    def read_items() -> Iterator[T]:
        _, field_type, field = protocol.readFieldBegin()
        if (field_type, field) != (TType.LIST, _FIRST_FIELD):
            raise ValueError(f"field {field} of type {field_type} is not the list")
        _, count = protocol.readListBegin()
        for _ in range(count):
            item = item_kind()
            item.read(protocol)  # type: ignore[attr-defined]
            yield item

    def read_rest() -> S:
        rest = kind()
        rest.read(protocol)  # type: ignore[attr-defined]
        return rest

    return read_items(), read_rest
