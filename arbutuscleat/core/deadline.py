"""Deadlines: the point in monotonic time by which something must be over."""

from dataclasses import dataclass

from .clock import Clock


@dataclass(frozen=True)
class Deadline:
    """A point on a clock's monotonic time.

    Parameters
    ----------
    clock : Clock
        The clock that `at` is read against.
    at : float
        Monotonic seconds.
    """

    clock: Clock
    at: float

    @classmethod
    def after(cls, clock: Clock, seconds: float) -> "Deadline":
        """Return the deadline `seconds` from now."""
        return cls(clock, clock.monotonic() + seconds)

    def remaining(self) -> float:
        """Return the seconds left, never below zero."""
        return max(0.0, self.at - self.clock.monotonic())

    def expired(self) -> bool:
        """Return whether no time is left."""
        return self.clock.monotonic() >= self.at
