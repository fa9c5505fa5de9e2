"""Deadlines: the monotonic time by which an operation must have ended."""

from dataclasses import dataclass

from .clock import Clock


@dataclass(frozen=True)
class Deadline:
    """A point in the monotonic time of a clock.

    Parameters
    ----------
    clock : Clock
        The clock against which `at` is measured.
    at : float
        Time of the deadline in monotonic seconds.
    """

    clock: Clock
    at: float

    @classmethod
    def after(cls, clock: Clock, seconds: float) -> "Deadline":
        """Return the deadline that is `seconds` from now."""
        return cls(clock, clock.monotonic() + seconds)

    def remaining(self) -> float:
        """Return the seconds until the deadline, or 0 if it has passed."""
        return max(0.0, self.at - self.clock.monotonic())

    def expired(self) -> bool:
        """Return whether the deadline has passed."""
        return self.clock.monotonic() >= self.at
