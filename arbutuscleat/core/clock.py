"""Time as an interface, so that tests decide how it passes.

Monotonic time measures leases and deadlines; wall-clock time is only shown to
people and written into logs.
"""

import threading
import time
from abc import ABC, abstractmethod
from datetime import datetime, timezone


class Clock(ABC):
    """Source of time and the only way to wait."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never go backwards, from an arbitrary origin."""

    @abstractmethod
    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""

    def now_ms(self) -> int:
        """Return the wall-clock time in Unix milliseconds."""
        return int(self.now().timestamp() * 1000)

    @abstractmethod
    def wait(self, condition: threading.Condition, timeout: float) -> bool:
        """Wait on a held `condition` for at most `timeout` seconds."""

    @abstractmethod
    def sleep(self, event: threading.Event, timeout: float) -> bool:
        """Sleep `timeout` seconds; return True as soon as `event` is set."""


class SystemClock(Clock):
    """The machine's own clocks."""

    def monotonic(self) -> float:
        """Return the seconds since the machine started, suspended time included.

        A lease must end while the machine that holds it is suspended.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(timezone.utc)

    def wait(self, condition: threading.Condition, timeout: float) -> bool:
        """Wait on a held `condition` for at most `timeout` seconds."""
        return condition.wait(timeout)

    def sleep(self, event: threading.Event, timeout: float) -> bool:
        """Sleep `timeout` seconds; return True as soon as `event` is set."""
        return event.wait(timeout)
