"""Detects nodes that wait for a processor: slow machines are not in touch."""

import time

from .disturbances import CORE, UNPLANNED, WORKERS
from .fleet import Fleet
from .world import Loop, Part, World

INTERVAL = 0.5
MAX_WAIT = 0.25
"""Half of an interval: a busy node of the platform gets 0.54 of a processor."""


class SlownessWatch(Part):
    """Reads how long the threads of control and stopping nodes were ready to run.

    On a busy machine every node is slow at times without any fault being injected.
    """

    def __init__(self, world: World, fleet: Fleet):
        super().__init__(world)
        self._fleet = fleet
        self._checked_at = 0.0
        self._waits: dict[int, dict[str, float]] = {}
        self.loop = Loop(world, lambda: INTERVAL, self._check)

    def _check(self) -> None:
        now, since = time.monotonic(), self._checked_at or time.monotonic()
        self._checked_at = now
        if now - since > INTERVAL + MAX_WAIT:
            self.report.event(f"the soak itself has not run for {now - since:.3f} s")
            for scope in {CORE, WORKERS} | {n.scope for n in self._fleet.entries()}:
                self.world.disturbances.note(scope + UNPLANNED, since)
        for node in self._fleet.nodes.values():
            if not node.is_control and not node.stopping:
                continue
            waits, pid = node.waits(), node.process.pid
            before = self._waits.get(pid, waits)
            self._waits[pid] = waits
            waited = sum(
                wait - before.get(thread, 0.0) for thread, wait in waits.items()
            )
            if waited > MAX_WAIT:
                self.report.count("slow half seconds")
                self.report.event(f"{node.name} waited {waited:.3f} s to run")
                self.world.disturbances.note(node.scope + UNPLANNED)
