"""Free ports for processes that are about to be started on loopback."""

import socket

LOOPBACK = "127.0.0.1"


def free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago, all different."""
    sockets = [socket.create_server((LOOPBACK, 0)) for _ in range(count)]
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports
