"""Emulated platform that reboots endpoints and loses a share of its answers."""

import json
import random
import threading
from collections import Counter
from collections.abc import Callable

from arbutuscleat.http import HttpServer
from arbutuscleat.wire import Address

from .ports import LOOPBACK

THREADS = 8
MAX_BYTES = 65_536


class StandInPlatform:
    """Serves the platform's HTTP interface and executes each operation once.

    Parameters
    ----------
    reboot : callable
        Called with the id of the instance to reboot.
    lost_share : float
        Share of the requests that are answered with 504 although the operation has
        been accepted.
    rng : random.Random
        Chooses the answers that are lost.
    """

    def __init__(
        self, reboot: Callable[[str], None], lost_share: float, rng: random.Random
    ):
        self._reboot = reboot
        self._lost_share = lost_share
        self._rng = rng
        self._lock = threading.Lock()
        self.requests: Counter[str] = Counter()
        self._server = HttpServer(
            Address(LOOPBACK, 0), self, THREADS, MAX_BYTES, MAX_BYTES
        )

    @property
    def url(self) -> str:
        """The base URL."""
        return f"http://{self._server.address}"

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def __call__(self, environ, start_response):
        """Answer one request (PEP 3333)."""
        parts = environ["PATH_INFO"].split("/")
        instance_id, operation_id = parts[3], parts[5]
        with self._lock:
            self.requests[operation_id] += 1
            first = self.requests[operation_id] == 1
            lost = self._rng.random() < self._lost_share
        if first:
            self._reboot(instance_id)
        content = json.dumps({"state": "running"}).encode()
        status = "504 Gateway Timeout" if lost else "200 OK"
        start_response(status, [("Content-Length", str(len(content)))])
        return [content]
