"""Rate limit for log lines, applied to each call site or subject separately."""

from collections import Counter
from collections.abc import Hashable
from typing import Generic, TypeVar

LINES_PER_SECOND = 200
"""Limit for each call site.  At peak load the starts of steps log about 100 lines a
second, so that only abnormal bursts are cut."""

Site = TypeVar("Site", bound=Hashable)
"""What the lines are counted by, such as file name and line number of a log call."""


class LogRateLimiter(Generic[Site]):
    """Counts lines by call site, or by subject, in windows of one second.

    Parameters
    ----------
    lines : int
        Lines that one call site may write in one second.
    """

    def __init__(self, lines: int = LINES_PER_SECOND):
        self._max_lines = lines
        self._second = 0
        self._counts: Counter[Site] = Counter()

    def admit(self, site: Site, now: float) -> tuple[bool, dict[Site, int]]:
        """Return whether a line may be written, and which lines were suppressed.

        Parameters
        ----------
        site : Site
            Where the line is logged, or what it is about.
        now : float
            Seconds of a monotonic clock.

        Returns
        -------
        admitted : bool
        suppressed : dict of Site to int
            Number of lines suppressed in the previous window; reported once, on the
            first call of a new window.
        """
        suppressed: dict[Site, int] = {}
        if int(now) != self._second:
            suppressed = {
                item: count - self._max_lines
                for item, count in self._counts.items()
                if count > self._max_lines
            }
            self._second = int(now)
            self._counts.clear()
        self._counts[site] += 1
        return self._counts[site] <= self._max_lines, suppressed
