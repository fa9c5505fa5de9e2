"""What all parts of one run share."""

import threading
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
        self.stopping = threading.Event()
