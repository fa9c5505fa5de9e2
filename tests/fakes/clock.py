"""A clock that tests control."""

from datetime import datetime, timedelta, timezone

from arbutuscleat.core import Clock

START = datetime(2026, 12, 4, tzinfo=timezone.utc)


class ManualClock(Clock):
    """A clock that advances only when a test advances it or something sleeps or waits.

    Attributes
    ----------
    elapsed : float
        Current monotonic time in seconds.
    """

    def __init__(self):
        self.elapsed = 1000.0

    def advance(self, seconds):
        self.elapsed += seconds

    def monotonic(self):
        return self.elapsed

    def now(self):
        return START + timedelta(seconds=self.elapsed)

    def wait(self, condition, timeout):
        self.elapsed += timeout
        return False

    def sleep(self, event, timeout):
        if event.is_set():
            return True
        self.elapsed += timeout
        return event.is_set()
