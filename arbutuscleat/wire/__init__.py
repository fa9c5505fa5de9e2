"""Thrift connections between the processes of a cluster, and the record codec.

A connection starts with a handshake that presents the shared key.  After that, calls of
one generated service are made on it.
"""

from .address import Address
from .call_error import CallError, CallErrorKind
from .channel import Channel
from .channel_pool import ChannelPool
from .codec import decode, decode_items, encode, encode_items
from .credentials import Credentials
from .server import ThriftServer

__all__ = [
    "Address",
    "CallError",
    "CallErrorKind",
    "Channel",
    "ChannelPool",
    "Credentials",
    "ThriftServer",
    "decode",
    "decode_items",
    "encode",
    "encode_items",
]
