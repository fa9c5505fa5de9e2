"""Connections between our own processes and the records they exchange."""

from .address import Address
from .call_error import CallError, CallErrorKind
from .channel import Channel
from .channel_pool import ChannelPool
from .codec import decode, encode
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
    "encode",
]
