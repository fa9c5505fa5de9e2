"""Checks of the orders for machines, and of waves."""

import threading
import time

from .. import bounds
from ..disturbances import CORE
from ..world import Part, World


class MachineCheck(Part):
    """Follows the orders that the provider receives."""

    def __init__(self, world: World):
        super().__init__(world)
        self._lock = threading.Lock()
        self._last_orders: dict[str, tuple[float, str, int]] = {}
        self._holders: dict[tuple[str, int], str] = {}
        self._waves: dict[int, tuple[set[str], int]] = {}
        self._upkeeps: dict[tuple[str, int], float] = {}

    def ordered(self, machine: str, holder: str, fence: int) -> None:
        """Check that one holder at a time orders a machine."""
        now, order = time.monotonic(), f"{holder} with fence {fence}"
        self.report.count("machine orders")
        self.report.event(f"order for {machine} by {order}")
        with self._lock:
            first = self._holders.setdefault((machine, fence), holder)
            last = self._last_orders.get(machine, (0.0, holder, fence))
            self._last_orders[machine] = now, holder, max(fence, last[2])
        if first != holder:
            self.fail("ONE", machine, f"{order}, which {first} has used")
        if fence < last[2]:
            self.fail("ONE", machine, f"{order} after fence {last[2]}")
        elapsed = now - last[0]
        if holder != last[1] and elapsed < bounds.ORDER_LEASE:
            if self.calm(now - bounds.CONTACT, now, CORE):
                self.fail("ONE", machine, f"{order} {elapsed:.3f} s after {last[1]}")

    def wave_sent(self, wave: int, machines: list[str], cap: int) -> None:
        """Note a wave, before it is sent."""
        with self._lock:
            self._waves[wave] = set(machines), cap

    def upkeep_began(self, machine: str, wave: int) -> None:
        """Check that an upkeep was asked for and is within its cap."""
        now = time.monotonic()
        self.report.event(f"upkeep of {machine} for wave {wave}")
        with self._lock:
            self._upkeeps[machine, wave] = now
            machines, cap = self._waves.get(wave, (set(), 0))
            begun = [at for (_, n), at in self._upkeeps.items() if n == wave]
        down = sum(now < at + bounds.MAINTENANCE for at in begun)
        if machine not in machines:
            self.fail("UNASKED", machine, f"wave {wave} has no such machine")
        if down > cap:
            self.fail("LIMIT", f"wave {wave}", f"{down} machines down, cap {cap}")

    def shown_completed(self, wave: int) -> None:
        """Check that every machine of a wave has begun its upkeep."""
        with self._lock:
            machines, _ = self._waves[wave]
            missing = [m for m in machines if (m, wave) not in self._upkeeps]
        if missing:
            self.fail("MIXED", f"wave {wave}", f"completed without {missing}")
