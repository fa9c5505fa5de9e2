"""Circuit breaker: limits the runs of a worker that fails whatever it starts.

Such a worker frees its capacity faster than any other, so in a load peak it would
receive most of the waiting tasks and use up their attempts. After several jobs have
failed on it without a single success, it gets no new runs for a while. Then it gets
one run at a time, until one of them succeeds. Failures are counted by job, because
all tasks of a single job may fail for a reason of their own.

Long-running tasks have any number of attempts and never succeed, so they are limited
less: a second after the latest failure the worker accepts them again.
"""

import threading

from arbutuscleat.core import Clock

MAX_FAILED_JOBS = 3
"""Number of jobs in a row that open the breaker. Sound workers rarely fail two."""

STREAK_SECONDS = 5.0
"""Failures further apart than this do not belong to one row: long-running tasks may
fail at any time and never succeed."""

OPEN_SECONDS = 1.0
"""How long a worker gets no new runs at first; doubled each time a trial run fails. For
long-running tasks it is never doubled."""

MAX_OPEN_SECONDS = 8.0

MAX_GRADE = 3


class FailureBreaker:
    """Circuit breaker of one incarnation of a worker; thread-safe.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._failed_jobs: set[str] = set()
        self._failures = 0
        self._failed_at = 0.0
        self._open_until = 0.0
        self._times_opened = 0

    def record_success(self) -> None:
        """Record a run that has succeeded."""
        with self._lock:
            self._failed_jobs = set()
            self._failures = 0
            self._times_opened = 0

    def record_failure(self, job_id: str) -> bool:
        """Record a failed run; return whether the worker gets no new runs from now on.

        Parameters
        ----------
        job_id : str
            The job of the run.
        """
        now = self._clock.monotonic()
        with self._lock:
            self._failures += 1
            failed_before, self._failed_at = self._failed_at, now
            if self._times_opened and now < self._open_until:
                return False  # A long-running task, or it started before.
            if self._times_opened and now - self._open_until > STREAK_SECONDS:
                self._times_opened = 1  # No trial run failed right away.
            if not self._times_opened and now - failed_before > STREAK_SECONDS:
                self._failed_jobs = set()
            self._failed_jobs.add(job_id)
            if not self._times_opened and len(self._failed_jobs) < MAX_FAILED_JOBS:
                return False
            seconds = min(OPEN_SECONDS * 2**self._times_opened, MAX_OPEN_SECONDS)
            self._times_opened += 1
            self._open_until = now + seconds
            return True

    def max_new_runs(self, running: int) -> int | None:
        """Return how many runs may be scheduled on the worker; None for any number.

        Parameters
        ----------
        running : int
            Number of runs on the worker that end by themselves.
        """
        with self._lock:
            if not self._times_opened:
                return None
            if self._clock.monotonic() < self._open_until:
                return 0
            return max(0, 1 - running)

    def accepts_long_running(self) -> bool:
        """Return whether long-running tasks may be scheduled on the worker."""
        with self._lock:
            if not self._times_opened:
                return True
            return self._clock.monotonic() - self._failed_at >= OPEN_SECONDS

    def grade(self) -> int:
        """Return the number of consecutive failed runs, at most `MAX_GRADE`."""
        return min(self._failures, MAX_GRADE)
