"""Times at which rejected callers are asked to submit their jobs again.

Answers the load that rejections cause themselves: callers that were all asked to come
at the same time would be the next burst. Each rejection takes the next free slot of
what it waits for, such as the rate of its team. The slots follow one another as fast as
jobs can be taken, so that callers return in the order in which they were rejected.
"""

from collections.abc import Hashable, Sequence
from dataclasses import dataclass, field

HORIZON_SECONDS = 60.0
"""Longest time until a slot. The value of a job lasts for seconds; a slot further ahead
would keep later callers away for the sake of some that have given up."""

HOLD_SECONDS = 2.5
"""How long a slot is kept for its caller: the delay is rounded to whole seconds, and up
to 1.5 s are added so that nobody comes too early or together with others."""

MAX_PROMISES = 10_000
"""Slots whose callers are remembered. Further ones get a slot as well, but another one
if they come too early."""

CLEAN_SECONDS = 1.0
"""Least time between two searches for slots that have passed."""


@dataclass(frozen=True, slots=True)
class Opening:
    """Something that a rejected job waits for.

    Parameters
    ----------
    line : hashable
        Identifies it among all that jobs wait for.
    at : float
        Monotonic time at which the next job can be taken.
    interval : float
        Least time between two jobs, in seconds.
    """

    line: Hashable
    at: float
    interval: float


@dataclass(slots=True)
class _Line:
    last_at: float
    promises: dict[str, float] = field(default_factory=dict)
    """Slot of each remembered job, in order of time."""


class RetrySchedule:
    """Slots handed to rejected jobs, kept by the leader in memory."""

    def __init__(self) -> None:
        self._lines: dict[Hashable, _Line] = {}
        self._line_of: dict[str, Hashable] = {}
        self._cleaned_at = 0.0

    def slot(self, job_id: str, openings: Sequence[Opening], now: float) -> float:
        """Return the time at which a rejected job should be submitted again.

        A job that comes before its slot keeps it, so that repeated attempts of one
        caller do not delay others.

        Parameters
        ----------
        job_id : str
            The job.
        openings : sequence of Opening
            What it could be accepted by; the earliest is taken.
        now : float
            Monotonic time in seconds.
        """
        self._clean(now)
        known = self._lines[self._line_of[job_id]] if job_id in self._line_of else None
        if known is not None and known.promises[job_id] > now:
            return known.promises[job_id]
        self.forget(job_id)
        at, opening = min(
            ((self._next_at(item, now), item) for item in openings),
            key=lambda found: found[0],
        )
        line = self._lines.setdefault(opening.line, _Line(at))
        line.last_at = at
        if len(self._line_of) < MAX_PROMISES and at < now + HORIZON_SECONDS:
            line.promises[job_id] = at
            self._line_of[job_id] = opening.line
        return at

    def due_count(self, line: Hashable, job_id: str, now: float) -> int:
        """Return how many other jobs hold a slot of a line at present."""
        found = 0
        promises = self._lines[line].promises if line in self._lines else {}
        for other, at in promises.items():
            if at > now:
                break
            found += other != job_id and now - at < HOLD_SECONDS
        return found

    def forget(self, job_id: str) -> None:
        """Give up the slot of a job, if it has one."""
        if job_id in self._line_of:
            del self._lines[self._line_of.pop(job_id)].promises[job_id]

    def _next_at(self, opening: Opening, now: float) -> float:
        line = self._lines.get(opening.line)
        following = now if line is None else line.last_at + opening.interval
        return min(max(now, opening.at, following), now + HORIZON_SECONDS)

    def _clean(self, now: float) -> None:
        """Remove slots that have passed without their callers."""
        if now - self._cleaned_at < CLEAN_SECONDS:
            return
        self._cleaned_at = now
        for name, line in list(self._lines.items()):
            passed = []
            for job_id, at in line.promises.items():
                if now - at < HOLD_SECONDS:
                    break
                passed.append(job_id)
            for job_id in passed:
                self.forget(job_id)
            if not line.promises and line.last_at < now:
                del self._lines[name]
