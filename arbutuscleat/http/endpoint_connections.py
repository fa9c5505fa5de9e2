"""Connections to endpoints: kept while idle, never after a doubtful answer."""

import threading
from collections import deque

from urllib3.connection import HTTPConnection

from arbutuscleat.core import Clock, Instance

IDLE_REUSE_SECONDS = 4.0


class EndpointConnections:
    """Idle connections by the endpoint's address.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: dict[tuple[str, int], deque[tuple[float, HTTPConnection]]] = {}

    def take(self, instance: Instance) -> HTTPConnection:
        """Return an idle connection that still stands, or an unconnected one."""
        idle = self._idle.get((instance.host, instance.port))
        while idle:
            try:
                idle_since, conn = idle.pop()
            except IndexError:
                break  # Another task was faster.
            # An endpoint may close an idle connection just as a request leaves,
            # so only those that were used a moment ago are used again.
            fresh = self._clock.monotonic() - idle_since < IDLE_REUSE_SECONDS
            if fresh and conn.is_connected:
                return conn
            conn.close()
        return HTTPConnection(instance.host, instance.port)

    def give_back(self, instance: Instance, conn: HTTPConnection) -> None:
        """Keep a connection whose last answer was read whole."""
        if conn.sock is None:
            return  # The endpoint has asked to close it.
        key = (instance.host, instance.port)
        idle = self._idle.get(key)
        if idle is None:
            with self._lock:
                idle = self._idle.setdefault(key, deque())
        if len(idle) >= instance.connections:
            conn.close()
        else:
            idle.append((self._clock.monotonic(), conn))

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            for idle in self._idle.values():
                for _, conn in idle:
                    conn.close()
            self._idle.clear()
