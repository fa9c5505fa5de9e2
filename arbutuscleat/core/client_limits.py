"""Limits on what clients send, and on how long and how often they may send it.

They bound the memory, the descriptors and the threads that clients can take, whether
or not the clients are under our control. The sizes of headers and bodies belong to
each server, since they follow from what it serves.
"""

from dataclasses import dataclass, fields, replace
from typing import Any

from .machine_limits import MEBIBYTE, MachineLimits

MIN_CONNECTIONS = 8
"""Fewer connections would not serve a load balancer's checks beside a caller."""

CONNECTIONS_SHARE = 4
"""Part of the descriptors for the connections of one server: as many are left for
those to peers, to workers and of the other servers."""

BUFFER_SHARE = 8
"""Part of the memory for requests that have not arrived in full."""

RECEIVE_SHARE = 8
"""Part of the memory for what the kernel keeps unread of all connections."""

MIN_RECEIVE_BYTES = 4 * 1_024
MAX_RECEIVE_BYTES = 64 * 1_024
CHECKS_SHARE = 8
CHECKS_RECEIVE_BYTES = 16 * 1_024
"""As much as the headers of a request may have."""


@dataclass(frozen=True)
class ClientLimits:
    """Limits of each server of a process; see docs/OPERATORS.md.

    Parameters
    ----------
    header_seconds : float, default=5
        Time from the first byte of a request until its headers are complete; 3 s are
        allowed to callers, and it is checked every second at worst.
    body_seconds : float, default=30
        Time from the end of the headers until the body is complete: ten times what a
        caller waits for its answer.
    write_seconds : float, default=30
        Time for writing one response: as long as an idle connection stays open.
    busy_seconds : float, default=1.5
        The same limit for bodies and responses while connections wait for a thread:
        half of what a caller waits.
    connections : int, default=1024
        Open connections of one server: with as many to peers and to workers, three
        quarters of the 4,096 descriptors that a process usually has.
    connections_per_address : int, default=1024
        Open connections of one client address: not less than all, because a load
        balancer may forward all callers from its own address.
    chunk_line_bytes : int, default=256
        Length of a chunk's size with its extensions: 16 digits and some names.
    trailer_lines : int, default=64
        Trailers of a chunked body: as many headers as requests usually have.
    framing_bytes : int, default=65536
        Chunk lines, line ends and trailers of one body in total: 4 MiB in chunks of
        1 KiB take 32 KiB.
    handshakes : int, default=128
        Connections to the port of peers that are not authenticated yet: an eighth of
        its connections.
    buffer_bytes : int, default=20971520
        Requests of one server that have not arrived in full, beside their headers: an
        eighth of the smallest machine's 160 MB.
    receive_bytes : int, default=20480
        What the kernel keeps unread of one connection: an eighth of that machine's
        memory for all connections.
    """

    header_seconds: float = 5.0
    body_seconds: float = 30.0
    write_seconds: float = 30.0
    busy_seconds: float = 1.5
    connections: int = 1_024
    connections_per_address: int = 1_024
    chunk_line_bytes: int = 256
    trailer_lines: int = 64
    framing_bytes: int = 65_536
    handshakes: int = 128
    buffer_bytes: int = 20 * MEBIBYTE
    receive_bytes: int = 20 * 1_024

    @classmethod
    def of_machine(cls, machine: MachineLimits, **values: Any) -> "ClientLimits":
        """Return the limits for the memory and the descriptors of a machine.

        Parameters
        ----------
        machine : MachineLimits
            What the machine has.
        **values
            Limits that are set otherwise.

        Raises
        ------
        ValueError
            If a limit is invalid.
        """
        connections = min(cls.connections, machine.max_files // CONNECTIONS_SHARE)
        connections = max(MIN_CONNECTIONS, connections)
        receive_bytes = machine.memory_bytes // RECEIVE_SHARE // connections
        receive_bytes = max(MIN_RECEIVE_BYTES, min(MAX_RECEIVE_BYTES, receive_bytes))
        defaults = {
            "connections": connections,
            "connections_per_address": connections,
            "buffer_bytes": machine.memory_bytes // BUFFER_SHARE,
            "receive_bytes": receive_bytes,
        }
        return cls(**{**defaults, **values})

    def for_checks(self) -> "ClientLimits":
        """Return the limits of servers that answer checks, for a few clients."""
        connections = max(MIN_CONNECTIONS, self.connections // CHECKS_SHARE)
        return replace(
            self,
            connections=connections,
            connections_per_address=min(connections, self.connections_per_address),
            receive_bytes=min(self.receive_bytes, CHECKS_RECEIVE_BYTES),
        )

    def __post_init__(self) -> None:
        """Check the values.

        Raises
        ------
        ValueError
            If a limit is not a positive number of its type, or would let no client in.
        """
        for item in fields(self):
            value = getattr(self, item.name)
            kinds = (int, float) if item.type is float else (int,)
            if isinstance(value, bool) or not isinstance(value, kinds):
                raise ValueError(f"client limit {item.name}: {value!r} is not a number")
            if not 0 < value < 1e9:
                raise ValueError(f"client limit {item.name}: {value!r} is out of range")
        if min(self.connections, self.connections_per_address) < MIN_CONNECTIONS:
            raise ValueError(
                f"client limit connections: less than {MIN_CONNECTIONS} connections"
            )
