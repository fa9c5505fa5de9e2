"""Emulated worker, which executes nothing but follows the platform's rules for runs.

It has a capacity, leases, fencing tokens and numbered ends of runs, and serves the
same calls as a real worker.  The clock is injected; each call first ends the runs
whose duration or lease has expired.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from arbutuscleat.core import Clock
from arbutuscleat.execution import (
    ExecutionLimits,
    FinishedRun,
    HoldAnswer,
    HoldOrder,
    OrderAnswer,
    OrderOutcome,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerClient,
)
from arbutuscleat.jobs import RunOutcome, TaskKey

Work = Callable[[StartOrder], tuple[float | None, RunOutcome]]
"""Returns the duration of a run in seconds, None for unlimited, and its outcome."""

MAX_ENDS_PER_ANSWER = 500
"""Maximum number of ends in one answer."""

FULL_PERCENT = 100


@dataclass
class _Run:
    order: StartOrder
    started_at: float
    seconds: float | None
    outcome: RunOutcome


class WorkerModel(WorkerClient):
    """One incarnation of a worker.

    Parameters
    ----------
    clock : Clock
        Source of time; the worker's own clock starts at 1 ms with its incarnation.
    born_ms : int
        Start of the incarnation, as Unix time in milliseconds.
    work : callable
        Returns the duration and the outcome of each run.
    room : int
        Maximum number of concurrent runs.
    max_lease : float
        Longest lease in seconds; a longer one is shortened to it.
    """

    def __init__(
        self,
        clock: Clock,
        born_ms: int,
        work: Work,
        room: int = 64,
        max_lease: float = ExecutionLimits.max_lease,
    ):
        self._clock = clock
        self._start_time = clock.monotonic()
        self.born_ms = born_ms
        self._work = work
        self._room = room
        self._max_lease = max_lease
        self._lock = threading.Lock()
        self._fence = 0
        self._expires_ms = 0
        self._runs: dict[TaskKey, _Run] = {}
        self._closed: dict[TaskKey, int] = {}
        self._ends: list[FinishedRun] = []
        self._position = 0
        self.started: list[tuple[TaskKey, int]] = []
        """All runs that have started, in order."""

    # ---- inspection, for tests ----

    def running(self) -> dict[TaskKey, int]:
        """Return the active runs, as run numbers by task."""
        with self._lock:
            self._end_expired_runs()
            return {key: run.order.number for key, run in self._runs.items()}

    # ---- calls ----

    def start(self, order: StartOrder, timeout: float) -> OrderAnswer:
        """Start a run."""
        with self._lock:
            self._end_expired_runs()
            return OrderAnswer(self._start(order), self._now_ms())

    def stop(self, order: StopOrder, timeout: float) -> OrderAnswer:
        """Stop a run, or ensure that it never starts."""
        with self._lock:
            self._end_expired_runs()
            if not self._admits(order.fence):
                return OrderAnswer(OrderOutcome.FENCED, self._now_ms())
            run = self._runs.get(order.key)
            if run is not None and run.order.number == order.number:
                self._end(run, RunOutcome.STOPPED)
            known = self._closed.get(order.key, 0)
            self._closed[order.key] = max(known, order.number)
            return OrderAnswer(OrderOutcome.DONE, self._now_ms())

    def hold(self, order: HoldOrder, timeout: float) -> HoldAnswer:
        """Renew the lease and list the runs, without waiting for one to end."""
        with self._lock:
            self._end_expired_runs()
            if not self._admits(order.fence):
                return HoldAnswer(OrderOutcome.FENCED)
            if order.expires_ms is not None:
                self._extend_lease(order.expires_ms)
            self._note_acknowledged(
                [e for e in self._ends if e.position <= order.acknowledged]
            )
            self._ends = [e for e in self._ends if e.position > order.acknowledged]
            return HoldAnswer(
                outcome=OrderOutcome.DONE,
                clock_ms=self._now_ms(),
                born_ms=self.born_ms,
                running=tuple(
                    RunningTask(key, run.order.number, FULL_PERCENT, 0)
                    for key, run in self._runs.items()
                ),
                finished=tuple(self._ends[:MAX_ENDS_PER_ANSWER]),
                lists_all_ends=len(self._ends) < MAX_ENDS_PER_ANSWER,
            )

    def close(self) -> None:
        """Do nothing: no connection is open."""

    # ---- for subclasses, called with the lock held ----

    def _has_room(self, order: StartOrder) -> bool:
        """Return whether another run fits."""
        return len(self._runs) < self._room

    def _note_start(self, order: StartOrder) -> None:
        """Do nothing; called when a run has started."""

    def _note_end(self, end: FinishedRun) -> None:
        """Do nothing; called when a run has ended."""

    def _note_acknowledged(self, ends: list[FinishedRun]) -> None:
        """Do nothing; called with the ends that a hold has acknowledged."""

    # ---- details ----

    def _start(self, order: StartOrder) -> OrderOutcome:
        if not self._admits(order.fence):
            return OrderOutcome.FENCED
        present = self._runs.get(order.key)
        if present is not None and present.order.number == order.number:
            return OrderOutcome.DONE
        if order.number <= self._closed.get(order.key, 0):
            return OrderOutcome.OUTDATED
        if order.expires_ms <= self._now_ms():
            return OrderOutcome.EXPIRED
        self._extend_lease(order.expires_ms)
        if present is not None:
            return OrderOutcome.OUTDATED
        if not self._has_room(order):
            return OrderOutcome.NO_ROOM
        seconds, outcome = self._work(order)
        self._runs[order.key] = _Run(order, self._clock.monotonic(), seconds, outcome)
        self.started.append((order.key, order.number))
        self._note_start(order)
        return OrderOutcome.DONE

    def _extend_lease(self, expires_ms: int) -> None:
        longest_ms = self._now_ms() + int(1000 * self._max_lease)
        self._expires_ms = max(self._expires_ms, min(expires_ms, longest_ms))

    def _admits(self, fence: int) -> bool:
        if fence < self._fence:
            return False
        self._fence = fence
        return True

    def _end_expired_runs(self) -> None:
        lease_expired = self._now_ms() >= self._expires_ms
        for run in list(self._runs.values()):
            elapsed = self._clock.monotonic() - run.started_at
            if run.seconds is not None and elapsed >= run.seconds:
                self._end(run, run.outcome)
            elif lease_expired:
                self._end(run, RunOutcome.LAPSED)

    def _end(self, run: _Run, outcome: RunOutcome) -> None:
        order = run.order
        del self._runs[order.key]
        self._closed[order.key] = max(self._closed.get(order.key, 0), order.number)
        self._position += 1
        end = FinishedRun(self._position, order.key, order.number, outcome, "")
        self._ends.append(end)
        self._note_end(end)

    def _now_ms(self) -> int:
        return 1 + int(1000 * (self._clock.monotonic() - self._start_time))
