"""The clock interface, which lets tests control the passing of time.

Leases and the deadlines of requests and calls are measured in monotonic time only.
Wall-clock time is used for logs, output, recorded times, due times of jobs and waves,
and the age of time-ordered idempotency keys.
"""

import threading
import time
from abc import ABC, abstractmethod
from datetime import datetime, timezone


class Clock(ABC):
    """Source of time; all waiting goes through it as well."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never decrease, counted from an arbitrary origin."""

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
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Return the seconds since the machine booted, including suspended time.

        A lease must also expire while the machine that holds it is suspended.
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
