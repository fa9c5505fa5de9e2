"""Detects nodes that wait for a processor: slow machines are not in touch."""

from .disturbances import UNPLANNED
from .fleet import Fleet
from .world import Loop, Part, World

INTERVAL = 0.5
MAX_WAIT = 0.25
"""Half of an interval: a busy node of the platform gets 0.54 of a processor."""


class SlownessWatch(Part):
    """Reads how long the threads of control and stopping nodes were ready to run.

    On a busy machine every node is slow at times, and no fault of the soak says so.
    """

    def __init__(self, world: World, fleet: Fleet):
        super().__init__(world)
        self._fleet = fleet
        self._totals: dict[int, float] = {}
        self.loop = Loop(world, lambda: INTERVAL, self._check)

    def _check(self) -> None:
        for node in self._fleet.nodes.values():
            if not node.is_control and not node.stopping:
                continue
            total = node.waited()
            waited = total - self._totals.get(node.process.pid, total)
            self._totals[node.process.pid] = total
            if waited > MAX_WAIT:
                self.report.count("slow half seconds")
                self.report.event(f"{node.name} waited {waited:.3f} s to run")
                self.world.disturbances.note(node.scope + UNPLANNED)
