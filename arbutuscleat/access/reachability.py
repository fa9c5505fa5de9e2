"""Reachability: which hosts accept a connection, asked of all of them at once.

One host after the other, a data centre that is cut off needs a timeout for each control
instance to find out that it reaches none of them.
"""

import errno
import select
import socket
import time
from collections.abc import Collection


def reachable_hosts(hosts: Collection[str], port: int, seconds: float) -> set[str]:
    """Return the hosts that accept a TCP connection.

    Parameters
    ----------
    hosts : collection of str
        IP addresses.
    port : int
        The port, the same on all hosts.
    seconds : float
        Time limit for all of them together.

    Returns
    -------
    set of str
        The hosts that have accepted one; it is closed at once.
    """
    found: set[str] = set()
    pending: dict[int, tuple[str, socket.socket]] = {}
    poller = select.poll()
    sockets = []
    try:
        for host in hosts:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sockets.append(sock)
            sock.setblocking(False)
            error = sock.connect_ex((host, port))
            if not error:
                found.add(host)
            elif error == errno.EINPROGRESS:
                pending[sock.fileno()] = (host, sock)
                poller.register(sock, select.POLLOUT)
        deadline = time.monotonic() + seconds
        while pending:
            left_ms = 1000.0 * (deadline - time.monotonic())
            if left_ms <= 0.0:
                break
            for descriptor, _ in poller.poll(left_ms):
                host, sock = pending.pop(descriptor)
                poller.unregister(descriptor)
                if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    found.add(host)
    finally:
        for sock in sockets:
            sock.close()
    return found
