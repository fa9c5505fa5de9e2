"""Worker contacts: what is known of a worker's condition, its clock and its lease.

The tasks of a session share one.  A worker that leaves several calls in a row without
an answer gets nothing new until it answers again.
"""

import threading

from arbutuscleat.core import Clock

from .limits import ExecutionLimits
from .worker_clock import WorkerClock

ORDERS_UNANSWERED = 2
"""Orders in a row without an answer after which a worker counts as silent: one alone
can get lost on a worker in good order."""


class WorkerContact:
    """Condition, clock and lease of one incarnation of a worker.

    Parameters
    ----------
    clock : Clock
        Source of time.
    limits : ExecutionLimits
        Times that leases go by.
    lease_until : float
        Monotonic seconds at which leases of former leaders have surely ended.
    """

    def __init__(self, clock: Clock, limits: ExecutionLimits, lease_until: float):
        self._clock = clock
        self._limits = limits
        self._lock = threading.Lock()
        self._worker_clock = WorkerClock(clock)
        self._lease_until = lease_until
        self._unusable_until = 0.0
        self._orders_unanswered = 0
        self._greeted = False
        self.holds_unanswered = 0

    # ---- condition ----

    def note_hold(self) -> bool:
        """Note an answered hold; return whether it is the first one."""
        with self._lock:
            first = not self._greeted
            self._greeted = True
            self.holds_unanswered = 0
            self._orders_unanswered = 0
            return first

    def note_silent_hold(self) -> None:
        """Note a hold without an answer."""
        with self._lock:
            self.holds_unanswered += 1

    def note_order(self, clock_ms: int) -> None:
        """Note an answered order with the reading of the worker's clock."""
        with self._lock:
            self._orders_unanswered = 0
        self.take_clock(clock_ms)

    def note_silent_order(self) -> None:
        """Note an order without an answer."""
        with self._lock:
            self._orders_unanswered += 1

    def pause(self, seconds: float) -> None:
        """Let nothing new start for a while."""
        with self._lock:
            self._unusable_until = self._clock.monotonic() + seconds

    def is_greeted(self) -> bool:
        """Return whether a hold of this session has been answered."""
        return self._greeted

    def answers(self) -> bool:
        """Return whether the latest hold was answered."""
        return self._greeted and not self.holds_unanswered

    def is_usable(self) -> bool:
        """Return whether something new may start."""
        if not self.answers() or self._orders_unanswered >= ORDERS_UNANSWERED:
            return False
        return self._clock.monotonic() >= self._unusable_until

    # ---- clock and lease ----

    def take_clock(self, clock_ms: int) -> None:
        """Take a reading of the worker's clock; 0 is none."""
        self._worker_clock.take(clock_ms)

    def knows_clock(self) -> bool:
        """Return whether there was a reading yet."""
        return self._worker_clock.known()

    def expires_ms(self) -> int:
        """Return the end of a lease given now, on the worker's clock."""
        return self._worker_clock.after_ms(self._limits.lease)

    def note_lease(self) -> None:
        """Note that a lease is about to be given."""
        end = self._clock.monotonic() + self._limits.surely_over(self._limits.lease)
        with self._lock:
            self._lease_until = max(self._lease_until, end)

    def lease_has_ended(self) -> bool:
        """Return whether every lease given so far has surely ended."""
        return self._clock.monotonic() > self._lease_until
