"""Rate limit for log lines, applied to each call site separately."""

from collections import Counter

LINES_PER_SECOND = 200
"""Limit for each call site.  At peak load the starts of steps log about 100 lines a
second, so that only abnormal bursts are cut."""

CallSite = tuple[str, int]
"""File name and line number of a log call."""


class LogRateLimiter:
    """Counts lines by call site in windows of one second.

    Parameters
    ----------
    lines : int
        Lines that one call site may write in one second.
    """

    def __init__(self, lines: int = LINES_PER_SECOND):
        self._max_lines = lines
        self._second = 0
        self._counts: Counter[CallSite] = Counter()

    def admit(self, site: CallSite, now: float) -> tuple[bool, dict[CallSite, int]]:
        """Return whether a line may be written, and which lines were suppressed.

        Parameters
        ----------
        site : CallSite
            Where the line is logged.
        now : float
            Seconds of a monotonic clock.

        Returns
        -------
        admitted : bool
        suppressed : dict of CallSite to int
            Number of lines suppressed in the previous window; reported once, on the
            first call of a new window.
        """
        suppressed: dict[CallSite, int] = {}
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
