"""Worker status: responsiveness, clock and lease of a worker.

The threads of a session share one `WorkerStatus`. A worker that leaves several calls in
a row unanswered is given no new runs until it responds again.
"""

import threading

from arbutuscleat.core import Clock

from .limits import ExecutionLimits
from .worker_clock import WorkerClock

MAX_UNANSWERED_ORDERS = 2
"""Number of unanswered orders in a row after which a worker counts as unresponsive. A
single order can be lost even if the worker is healthy."""

MIN_REJECTED_STARTS = 2
"""Number of rejected starts in a row after which a worker provides no capacity. A
single one may be rejected for a reason that passes."""

REJECTED_START_SECONDS = 3.0
"""How long a rejected start counts: several pauses after one. A worker that is not
tried any more counts as capacity again after this time."""

EXPIRY_CHECK_SECONDS = 0.02
"""How long after the last lease has expired a call or pause ends that it shortens."""

IDLE_HOLD_SECONDS = 4.0
"""Interval between holds of a worker without runs. With the timeout of a hold it is
shorter than the time after which the tasks of an unresponsive worker are rescheduled:
an idle worker that became unresponsive at the same time does not receive them."""


class WorkerStatus:
    """Responsiveness, clock and lease of one incarnation of a worker.

    Parameters
    ----------
    clock : Clock
        Source of time.
    limits : ExecutionLimits
        Lease durations and timeouts.
    lease_until : float
        Monotonic time in seconds by which all leases granted by former leaders have
        expired.

    Attributes
    ----------
    holds_unanswered : int
        Number of holds in a row that were not answered.
    """

    def __init__(self, clock: Clock, limits: ExecutionLimits, lease_until: float):
        self._clock = clock
        self._limits = limits
        self._lock = threading.Lock()
        self._worker_clock = WorkerClock(clock, limits.clock_drift)
        self._lease_until = lease_until
        self._expires_ms = 0
        self._reusable_until = 0.0
        self._unusable_until = 0.0
        self._orders_unanswered = 0
        self._starts_rejected = 0
        self._rejected_at = 0.0
        self._has_answered = False
        self._answered_at = 0.0
        self.holds_unanswered = 0

    # ---- responsiveness ----

    def record_hold(self) -> bool:
        """Record an answered hold; return whether it is the first one."""
        with self._lock:
            first = not self._has_answered
            self._has_answered = True
            self._answered_at = self._clock.monotonic()
            self.holds_unanswered = 0
            self._orders_unanswered = 0
            return first

    def record_unanswered_hold(self) -> None:
        """Record a hold that was not answered."""
        with self._lock:
            self.holds_unanswered += 1

    def record_order(self, clock_ms: int) -> None:
        """Record an answered order and the clock reading that came with it."""
        with self._lock:
            self._orders_unanswered = 0
        self.update_clock(clock_ms)

    def record_unanswered_order(self) -> None:
        """Record an order that was not answered."""
        with self._lock:
            self._orders_unanswered += 1

    def record_accepted_start(self) -> None:
        """Record a start that the worker accepted."""
        with self._lock:
            self._starts_rejected = 0

    def record_rejected_start(self) -> None:
        """Record a start that failed for a reason of the worker, not of the task."""
        with self._lock:
            self._starts_rejected += 1
            self._rejected_at = self._clock.monotonic()

    def rejects_starts(self) -> bool:
        """Return whether the worker has rejected several starts in a row just now."""
        with self._lock:
            return (
                self._starts_rejected >= MIN_REJECTED_STARTS
                and self._clock.monotonic() - self._rejected_at < REJECTED_START_SECONDS
            )

    def pause(self, seconds: float) -> None:
        """Schedule no new runs on the worker for at least some seconds."""
        until = self._clock.monotonic() + seconds
        with self._lock:
            self._unusable_until = max(self._unusable_until, until)

    def has_answered(self) -> bool:
        """Return whether a hold of this session has been answered."""
        return self._has_answered

    def is_responsive(self) -> bool:
        """Return whether the latest hold was answered."""
        return self._has_answered and not self.holds_unanswered

    def needs_hold(self) -> bool:
        """Return whether the worker is unusable until a hold is answered."""
        return (
            not self.is_responsive() or self._orders_unanswered >= MAX_UNANSWERED_ORDERS
        )

    def is_idle_hold_due(self) -> bool:
        """Return whether a worker without runs is to be held again."""
        return self._clock.monotonic() - self._answered_at >= IDLE_HOLD_SECONDS

    def is_usable(self) -> bool:
        """Return whether new runs may be scheduled on the worker."""
        return not self.needs_hold() and self._clock.monotonic() >= self._unusable_until

    # ---- clock and lease ----

    def update_clock(self, clock_ms: int) -> None:
        """Update the estimate of the worker's clock; 0 means no reading."""
        self._worker_clock.update(clock_ms)

    def has_clock(self) -> bool:
        """Return whether a reading of the worker's clock has been received."""
        return self._worker_clock.is_known()

    def grant_lease(self) -> int:
        """Return when a lease granted now expires, in ms on the worker's clock."""
        expires_ms = self._worker_clock.after_ms(self._limits.lease)
        # Read after the worker's clock, so that a pause of this process in between
        # does not make the recorded end too early.
        now = self._clock.monotonic()
        with self._lock:
            end = now + self._limits.expiry_upper_bound(self._limits.lease)
            self._lease_until = max(self._lease_until, end)
            self._expires_ms = expires_ms
            self._reusable_until = now + self._limits.lease / 2
        return expires_ms

    def start_lease(self) -> int:
        """Return when the lease of a run that starts now expires, like `grant_lease`.

        A lease that still lasts is not renewed: only an answered hold shows that the
        worker is responsive, and its other runs are rescheduled once it has expired.
        """
        with self._lock:
            if self._clock.monotonic() < self._reusable_until:
                return self._expires_ms
        return self.grant_lease()

    def within_lease(self, seconds: float) -> float:
        """Return `seconds`, or less if all leases are certain to expire before."""
        left = self._lease_until - self._clock.monotonic()
        return seconds if left < 0.0 else min(seconds, left + EXPIRY_CHECK_SECONDS)

    def has_lease_expired(self) -> bool:
        """Return whether every lease granted so far is certain to have expired."""
        return self._clock.monotonic() > self._lease_until
