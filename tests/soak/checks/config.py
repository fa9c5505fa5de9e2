"""Checks of the configuration in force: it never goes back and is never late."""

import threading
import time
from typing import Any

from .. import bounds
from ..disturbances import CORE, entry
from ..world import Part, World


class ConfigCheck(Part):
    """Follows the configurations that operators send and read."""

    def __init__(self, world: World):
        super().__init__(world)
        self._lock = threading.Lock()
        self._sent: dict[int, tuple[float, dict[str, Any]]] = {}
        self._acknowledged: dict[int, float] = {}
        self._read: dict[tuple[str, int], tuple[float, int]] = {}

    def sent(self, content: dict[str, Any]) -> None:
        """Note a valid version, before it is sent for the first time."""
        with self._lock:
            self._sent[content["version"]] = time.monotonic(), content

    def answered(self, version: int, status: int) -> None:
        """Check the answer to a valid version."""
        self.report.event(f"configuration {version}: {status}")
        if 400 <= status < 500 and status not in (408, 429):
            self.fail("CONFIG", f"version {version}", f"refused: {status}")
        if status == 200:
            with self._lock:
                self._acknowledged.setdefault(version, time.monotonic())

    def newest(self, before: float = float("inf")) -> int:
        """Return the newest version that was acknowledged before a time."""
        with self._lock:
            found = [v for v, at in self._acknowledged.items() if at < before]
        return max(found, default=0)

    def was_read(self, process: tuple[str, int], sent_at: float, content: dict) -> None:
        """Check a configuration that one process of a node has returned."""
        version = content.get("version", 0)
        text = f"{process[0]} returned version {version}"
        with self._lock:
            expected = self._sent.get(version, (0.0, None))[1]
            last_at, last = self._read.get(process, (0.0, 0))
            if version > last:
                self._read[process] = time.monotonic(), version
        newest = self.newest(sent_at - bounds.CONFIG_APPLY)
        if content != expected:
            self.fail("CONFIG", f"version {version}", f"{text}, not as sent")
        if version < newest:
            self.fail("CONFIG", process[0], f"{text} after {newest}")
        if version < last and sent_at > last_at + bounds.ROLLBACK_SLACK:
            self.fail("CONFIG", process[0], f"{text}, earlier {last}")

    def routed(self, node: str, path: str, sent_at: float, status: int) -> None:
        """Check that a version that may be in force allows the answer for a route."""
        now, since = time.monotonic(), sent_at - bounds.CONTACT
        if status not in (200, 404) or not self.calm(since, now, CORE, entry(node)):
            return
        newest = self.newest(sent_at - bounds.CONFIG_APPLY)
        with self._lock:
            possible = [
                any(route["path-prefix"] == path for route in content["routes"])
                for version, (at, content) in self._sent.items()
                if version >= newest and at <= now
            ]
        if (status == 200) not in possible:
            self.fail("CONFIG", path, f"{status} by {node}, {newest} acknowledged")
