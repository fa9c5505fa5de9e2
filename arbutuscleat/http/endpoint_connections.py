"""A pool of idle connections to endpoints.

A connection returns to the pool only after its last answer was read completely.
"""

import threading
from collections import deque

from urllib3.connection import HTTPConnection

from arbutuscleat.core import Clock, Instance

MAX_IDLE_SECONDS = 4.0


class EndpointConnections:
    """Idle connections by the address of the endpoint.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: dict[tuple[str, int], deque[tuple[float, HTTPConnection]]] = {}

    def acquire(self, instance: Instance) -> HTTPConnection:
        """Return an idle connection that is still open, or an unconnected one."""
        idle = self._idle.get((instance.host, instance.port))
        while idle:
            try:
                idle_since, conn = idle.pop()
            except IndexError:
                break  # Another thread has taken the last one.
            # An endpoint may close an idle connection just as a request is sent,
            # so only recently used connections are reused.
            recently_used = self._clock.monotonic() - idle_since < MAX_IDLE_SECONDS
            if recently_used and conn.is_connected:
                return conn
            conn.close()
        return HTTPConnection(instance.host, instance.port)

    def release(self, instance: Instance, conn: HTTPConnection) -> None:
        """Keep a connection whose last answer was read completely.

        It is closed instead if the pool already has `instance.connections` idle ones.
        """
        if conn.sock is None:
            return  # The endpoint asked for it to be closed.
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
