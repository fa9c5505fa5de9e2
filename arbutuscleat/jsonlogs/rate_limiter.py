"""Line limits: how many log lines one place in the code may write in a second."""

from collections import Counter

LINES_PER_SECOND = 200
"""For each place in the code: more than the starts of steps at the height of a turn
(about 100 a second), so that only floods are cut."""

CallSite = tuple[str, int]
"""File name and line number of a log call."""


class LogRateLimiter:
    """Counts lines by place, anew each second.

    Parameters
    ----------
    lines : int
        Lines that a place may write in a second.
    """

    def __init__(self, lines: int = LINES_PER_SECOND):
        self._lines = lines
        self._second = 0
        self._counts: Counter[CallSite] = Counter()

    def admit(self, place: CallSite, now: float) -> tuple[bool, dict[CallSite, int]]:
        """Return whether a line may be written, and what was left out before.

        Parameters
        ----------
        place : CallSite
            Where the line comes from.
        now : float
            Seconds of any steady clock.

        Returns
        -------
        admitted : bool
        suppressed : dict of CallSite to int
            Lines left out in the second that has ended, once.
        """
        suppressed: dict[CallSite, int] = {}
        if int(now) != self._second:
            suppressed = {
                item: count - self._lines
                for item, count in self._counts.items()
                if count > self._lines
            }
            self._second = int(now)
            self._counts.clear()
        self._counts[place] += 1
        return self._counts[place] <= self._lines, suppressed
