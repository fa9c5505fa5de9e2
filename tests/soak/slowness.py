"""Detects nodes that wait for a processor: slow machines are not in touch."""

import threading
from pathlib import Path

from .disturbances import UNPLANNED
from .fleet import Fleet
from .world import World

INTERVAL = 0.5
MAX_WAIT = 0.25
"""Half of an interval: as much as a link's packets may wait in half a second."""


class SlownessWatch:
    """Reads how long the threads of control nodes were ready but did not run."""

    def __init__(self, world: World, fleet: Fleet):
        self._fleet = fleet
        self._disturbances = world.disturbances
        self._report = world.report
        self._waits: dict[tuple[str, int], float] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopping.set()
        self._thread.join()

    def _watch(self) -> None:
        while not self._stopping.wait(INTERVAL):
            for node in self._fleet.controls():
                key = node.name, node.process.pid
                total = _waited(node.process.pid)
                waited = total - self._waits.get(key, total)
                self._waits[key] = total
                if waited > MAX_WAIT:
                    self._report.count("slow half seconds")
                    self._report.event(f"{node.name} waited {waited:.3f} s to run")
                    self._disturbances.note(node.scope + UNPLANNED)


def _waited(pid: int) -> float:
    total = 0
    for path in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        try:
            total += int(path.read_text().split()[1])
        except (OSError, IndexError):
            continue  # The thread has ended.
    return total / 1e9
