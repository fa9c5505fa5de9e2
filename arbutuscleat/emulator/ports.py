"""Allocation of free ports on loopback."""

import socket

LOOPBACK = "127.0.0.1"


def free_ports(count: int) -> list[int]:
    """Return distinct ports that were free at the time of the call."""
    sockets = [socket.create_server((LOOPBACK, 0)) for _ in range(count)]
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports
