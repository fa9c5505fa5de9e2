"""Line limits: how many log lines one place in the code may write in a second."""

from collections import Counter

LINES_PER_SECOND = 200
"""For each place in the code: more than the starts of steps at the height of a turn
(about 100 a second), so that only floods are cut."""

Place = tuple[str, int]
"""File name and line number of a log call."""


class LineLimit:
    """Counts lines by place, anew each second.

    Parameters
    ----------
    lines : int
        Lines that a place may write in a second.
    """

    def __init__(self, lines: int = LINES_PER_SECOND):
        self._lines = lines
        self._second = 0
        self._counts: Counter[Place] = Counter()

    def admit(self, place: Place, now: float) -> tuple[bool, dict[Place, int]]:
        """Return whether a line may be written, and what was left out before.

        Parameters
        ----------
        place : Place
            Where the line comes from.
        now : float
            Seconds of any steady clock.

        Returns
        -------
        admitted : bool
        left_out : dict of Place to int
            Lines left out in the second that has ended, once.
        """
        left_out: dict[Place, int] = {}
        if int(now) != self._second:
            left_out = {
                item: count - self._lines
                for item, count in self._counts.items()
                if count > self._lines
            }
            self._second = int(now)
            self._counts.clear()
        self._counts[place] += 1
        return self._counts[place] <= self._lines, left_out
