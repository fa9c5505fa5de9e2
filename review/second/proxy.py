"""A TCP proxy whose open channels go silent on SIGUSR1, while new ones work.

The ends of a silent channel stay open, and nothing is forwarded any more, not even that
one end has closed it.
"""

import json
import selectors
import signal
import socket
import sys
from typing import Any

CHUNK = 65_536
CONNECT_SECONDS = 1.0


class Proxy:
    """Forwards connections to a port of each address to another port there.

    Parameters
    ----------
    ips : list of str
        The addresses.
    port, target_port : int
        The port to listen on, and the port to forward to.
    """

    def __init__(self, ips: list[str], port: int, target_port: int):
        self._target_port = target_port
        self._selector = selectors.DefaultSelector()
        self._peers: dict[socket.socket, socket.socket] = {}
        self._silent: list[socket.socket] = []
        self._silence_due = False
        for ip in ips:
            listener = socket.create_server((ip, port), backlog=256)
            self._selector.register(listener, selectors.EVENT_READ, ip)

    def silence(self, *_: Any) -> None:
        """Have all open channels go silent."""
        self._silence_due = True

    def run(self) -> None:
        """Forward until the process ends."""
        while True:
            for key, _ in self._selector.select(0.05):
                if key.data is None:
                    self._forward(key.fileobj)
                else:
                    self._accept(key.fileobj, key.data)
            if self._silence_due:
                self._silence_due = False
                for sock in self._peers:
                    self._selector.unregister(sock)
                self._silent.extend(self._peers)
                self._peers = {}

    def _accept(self, listener: socket.socket, ip: str) -> None:
        near, _ = listener.accept()
        try:
            far = socket.create_connection((ip, self._target_port), CONNECT_SECONDS)
        except OSError:
            near.close()
            return
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(CONNECT_SECONDS)
            self._selector.register(sock, selectors.EVENT_READ, None)
        self._peers[near], self._peers[far] = far, near

    def _forward(self, sock: socket.socket) -> None:
        if sock not in self._peers:
            return  # Closed just before.
        try:
            data = sock.recv(CHUNK)
            if data:
                self._peers[sock].sendall(data)
                return
        except OSError:
            pass
        for end in (sock, self._peers[sock]):
            del self._peers[end]
            self._selector.unregister(end)
            end.close()


if __name__ == "__main__":
    proxy = Proxy(*json.loads(sys.argv[1]))
    signal.signal(signal.SIGUSR1, proxy.silence)
    proxy.run()
