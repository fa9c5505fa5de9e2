"""When and where faults were injected: checks with a time bound need calm."""

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

CORE = "core "
PROVIDER = "provider "
WORKERS = "worker "
PLANNED = "planned"
UNPLANNED = "unplanned"
FOREVER = float("inf")


def entry(name: str) -> str:
    return f"entry {name} "


def worker(worker_id: str) -> str:
    return f"worker {worker_id} "


class Disturbances:
    """Intervals of faults by scope; thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._intervals: list[list] = []

    @contextmanager
    def during(self, scope: str) -> Iterator[None]:
        interval = [scope, time.monotonic(), FOREVER]
        with self._lock:
            self._intervals.append(interval)
        try:
            yield
        finally:
            interval[2] = time.monotonic()

    def note(self, scope: str, since: float | None = None) -> None:
        """Record a fault that has lasted since a time, or only a moment."""
        now = time.monotonic()
        with self._lock:
            self._intervals.append([scope, since or now, now])

    def calm(self, since: float, until: float, *prefixes: str) -> bool:
        with self._lock:
            return not any(
                scope.startswith(prefixes) and begin <= until and end >= since
                for scope, begin, end in self._intervals
            )
