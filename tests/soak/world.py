"""What all parts of one run share."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from .disturbances import Disturbances
from .network import Network
from .report import Report
from .workload import Workload


@dataclass(frozen=True)
class Size:
    """Number of processes and callers, and the factor of the number of machines."""

    controls: int
    entries: int
    callers: int
    machines: int = 1


class World:
    """Seed, size and folder of a run, its jobs, its network, and what it has seen."""

    def __init__(self, seed: int, size: Size, folder: Path):
        folder.mkdir(parents=True, exist_ok=True)
        self.seed = seed
        self.size = size
        self.folder = folder
        self.report = Report(folder / "events")
        self.disturbances = Disturbances()
        self.workload = Workload(seed)
        self.network = Network()


class Part:
    """A part of the run, with what it shares with the others."""

    def __init__(self, world: World):
        self.world = world
        self.report = world.report
        self.fail = world.report.violation
        self.calm = world.disturbances.calm
        self.jobs = world.workload.jobs


class Loop:
    """A thread that repeats an action, with pauses, until it is stopped."""

    def __init__(self, world: World, pause: Callable[[], float], act: Callable):
        self._report = world.report
        self._pause = pause
        self._act = act
        self.stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.start = self._thread.start

    def stop(self) -> None:
        self.stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self.stopping.wait(self._pause()):
            try:
                self._act()
            except Exception as exc:  # A failing part must not go unnoticed.
                self._report.violation("SOAK", self._act.__qualname__, repr(exc))
                raise
