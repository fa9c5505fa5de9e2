"""Order sender: sends start and stop orders to one incarnation of a worker.

Orders are sent one at a time. An unanswered order is passed to a second thread, which
retries it, so that the orders queued behind it are not delayed by further timeouts. A
start that remains unanswered is followed by a stop: once the stop has been answered,
the run can never start. While the worker is unresponsive, no starts are sent.
"""

import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass

from absl import logging

from arbutuscleat.core import Clock
from arbutuscleat.jobs import JobTable, TaskKey
from arbutuscleat.wire.gen_jobs.ttypes import RunRecord

from .begin_recorder import BeginRecorder
from .leader_load import LeaderLoad
from .limits import ExecutionLimits
from .worker_client import (
    OrderAnswer,
    OrderOutcome,
    StartOrder,
    StopOrder,
    WorkerClient,
)
from .worker_status import WorkerStatus

STOP_RETRY_SECONDS = 0.3
"""Interval between attempts to send a stop: a fifth of a worker's heartbeat."""

UNHEALTHY_PAUSE_SECONDS = 1.0
"""How long no new runs are scheduled on a worker after a start failed there for any
reason other than lack of room, such as an unhealthy worker or a failed connection."""

NO_ROOM_PAUSE_SECONDS = 0.3
"""The same for a worker without room for a run although the table showed some."""

REASONS_OF_WORKER = (
    OrderOutcome.EXPIRED,
    OrderOutcome.NO_ROOM,
    OrderOutcome.UNHEALTHY,
    OrderOutcome.NOT_SENT,
    OrderOutcome.NO_ANSWER,
)
"""Why a start may fail that would succeed on another worker."""

Run = tuple[TaskKey, int]
"""A task and the number of one of its runs."""

RecordLost = Callable[[list[Run], str], None]
"""Records runs as lost in the replicated log, with the reason."""


@dataclass(frozen=True, slots=True)
class _Order:
    start: RunRecord | None
    key: TaskKey
    number: int
    queued_at: float = 0.0


class OrderSender:
    """Sends the orders of one worker session.

    Parameters
    ----------
    worker_id : str
        The worker's id, for log messages.
    client : WorkerClient
        Client of the worker.
    fence : int
        Fencing token of the session.
    table : JobTable
        The replicated job table.
    record_lost : callable
        Records runs that never started as lost.
    may_order : callable
        Returns whether this process still holds the session; checked right before each
        call.
    status : WorkerStatus
        Responsiveness, clock and lease of the worker.
    clock : Clock
        Source of time.
    limits : ExecutionLimits
        Timeouts of calls.
    load : LeaderLoad
        Records the time from the commit of a start to its answer.
    begin_recorder : BeginRecorder
        Records the jobs that begin.
    """

    def __init__(
        self,
        worker_id: str,
        client: WorkerClient,
        fence: int,
        table: JobTable,
        record_lost: RecordLost,
        may_order: Callable[[], bool],
        status: WorkerStatus,
        clock: Clock,
        limits: ExecutionLimits,
        load: LeaderLoad,
        begin_recorder: BeginRecorder,
    ):
        self._load = load
        self._begin_recorder = begin_recorder
        self._worker_id = worker_id
        self._client = client
        self._fence = fence
        self._table = table
        self._record_lost = record_lost
        self._may_order = may_order
        self._status = status
        self._clock = clock
        self._limits = limits
        self._closed = threading.Event()
        self._lock = threading.Lock()
        self._orders: queue.SimpleQueue[_Order | None] = queue.SimpleQueue()
        self._retries: queue.SimpleQueue[_Order | None] = queue.SimpleQueue()
        self._pending: dict[TaskKey, int] = {}
        self._stopped: dict[TaskKey, int] = {}
        self._is_started = False
        self._retry_thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the sending thread; the retry thread starts with the first retry."""
        self._is_started = True
        threading.Thread(target=self._run_orders, name="orders", daemon=True).start()

    def close(self) -> None:
        """Stop the threads; no more orders are sent."""
        self._closed.set()
        self._orders.put(None)
        self._retries.put(None)

    def is_closed(self) -> bool:
        """Return whether no more orders are sent."""
        return self._closed.is_set()

    # ---- orders ----

    def order_start(self, run: RunRecord) -> None:
        """Queue the start of a run that is committed to the log."""
        key = TaskKey.of(run)
        with self._lock:
            self._pending[key] = run.number
        self._orders.put(_Order(run, key, run.number, self._clock.monotonic()))

    def order_stop(self, key: TaskKey, number: int) -> None:
        """Queue the stop of a run, unless an order for this run is pending."""
        with self._lock:
            pending = self._pending.get(key, 0)
            if pending == number:
                return  # A later hold reconsiders the run once this order is done.
            # The start of a later run stays pending beside the stop of this one.
            self._pending[key] = max(pending, number)
        self._orders.put(_Order(None, key, number))

    def pending(self) -> set[TaskKey]:
        """Return the tasks with an order that is queued or being sent."""
        with self._lock:
            return set(self._pending)

    # ---- answered stops ----

    def stopped(self) -> dict[TaskKey, int]:
        """Return the runs whose stop was answered but whose end is not in the log."""
        with self._lock:
            return dict(self._stopped)

    def clear_stop(self, key: TaskKey, number: int) -> None:
        """Forget an answered stop, after the end of the run is in the log."""
        with self._lock:
            if self._stopped.get(key) == number:
                del self._stopped[key]

    # ---- sending ----

    def _run_orders(self) -> None:
        self._run(self._orders, self._send_first)

    def _run_retries(self) -> None:
        self._run(self._retries, self._retry)

    def _run(
        self, orders: "queue.SimpleQueue[_Order | None]", send: Callable[[_Order], None]
    ) -> None:
        try:
            while not self._closed.is_set():
                order = orders.get()
                if order is None or self._closed.is_set():
                    return
                send(order)
        finally:
            self._closed.set()  # After an exception the session is replaced.

    def send_queued(self) -> None:
        """Send all queued orders, retries last: one iteration of both threads."""
        for orders, send in (
            (self._orders, self._send_first),
            (self._retries, self._retry),
        ):
            while not orders.empty():
                order = orders.get()
                if order is not None:
                    send(order)

    def _send_first(self, order: _Order) -> None:
        if order.start is not None:
            answered = self._try_start(order, self._limits.first_try, False)
        else:
            answered = self._try_stop(order, self._limits.first_try)
        if answered:
            self._remove_pending(order)
        else:
            self._retries.put(order)
            if self._is_started and self._retry_thread is None:
                self._retry_thread = threading.Thread(
                    target=self._run_retries, name="repeats", daemon=True
                )
                self._retry_thread.start()

    def _retry(self, order: _Order) -> None:
        try:
            if order.start is not None:
                if self._status.needs_hold():
                    return  # The session handles the run after its next holds.
                if self._try_start(order, self._limits.call, True):
                    return
                self._record_failed_start(order, OrderOutcome.NO_ANSWER)
            self._stop_until_answered(order)
        finally:
            self._remove_pending(order)

    def _remove_pending(self, order: _Order) -> None:
        with self._lock:
            if self._pending.get(order.key) == order.number:
                del self._pending[order.key]

    def _may_send(self) -> bool:
        return not self._closed.is_set() and self._may_order()

    def _record_answer(self, answer: OrderAnswer) -> bool:
        """Record a response; return False if the order may or may not have arrived."""
        if answer.outcome in (OrderOutcome.NO_ANSWER, OrderOutcome.NOT_SENT):
            self._status.record_unanswered_order()
        else:
            self._status.record_order(answer.clock_ms)
        return answer.outcome is not OrderOutcome.NO_ANSWER

    def _try_start(self, order: _Order, timeout: float, is_retry: bool) -> bool:
        """Send a start once; return False if it is unknown whether it arrived."""
        key = order.key
        with self._table.lock:
            is_current = self._table.is_current_run(key, order.number)
            job = self._table.jobs.get(key.job_id)
            task = None if job is None else job.task(key)
            spec = "" if job is None else job.record.spec
            checkpoint = "" if task is None else task.checkpoint
        if not is_current and not is_retry:
            self._record_lost([(key, order.number)], "its job ended before the start")
            return True
        if not is_current:
            return False
        if self._status.needs_hold() and not is_retry and self._may_send():
            self._record_lost([(key, order.number)], "its worker is unresponsive")
            return True
        expires_ms = self._status.start_lease()  # As for holds, before the check.
        if not self._may_send():
            return True  # The next session will find the run in the log.
        answer = self._client.start(
            StartOrder(
                key=key,
                number=order.number,
                spec=spec,
                expires_ms=expires_ms,
                fence=self._fence,
                checkpoint=checkpoint,
            ),
            timeout,
        )
        if not self._record_answer(answer):
            return False
        if not is_retry:
            self._load.observe("start", self._clock.monotonic() - order.queued_at)
        if answer.outcome is OrderOutcome.DONE:
            self._status.record_accepted_start()
            if job is not None and not job.started:
                self._begin_recorder.observe([job.job_id])
        else:
            self._handle_rejection(order, answer.outcome, is_retry)
        return True

    def _handle_rejection(
        self, order: _Order, outcome: OrderOutcome, is_retry: bool
    ) -> None:
        self._record_failed_start(order, outcome)
        full = outcome is OrderOutcome.NO_ROOM
        self._status.pause(NO_ROOM_PAUSE_SECONDS if full else UNHEALTHY_PAUSE_SECONDS)
        if outcome in (OrderOutcome.OTHER_WORKER, OrderOutcome.FENCED):
            return  # The next hold gets the same outcome and handles it.
        if is_retry:
            self._stop_until_answered(order)  # The first attempt may still arrive.
        else:
            lost = [(order.key, order.number)]
            self._record_lost(lost, f"not started: {outcome.value}")

    def _record_failed_start(self, order: _Order, outcome: OrderOutcome) -> None:
        logging.info(
            "run %d of %s on worker %s: start failed: %s",
            order.number,
            order.key,
            self._worker_id,
            outcome.value,
        )
        if outcome in REASONS_OF_WORKER:
            self._status.record_rejected_start()

    def _stop_until_answered(self, order: _Order) -> None:
        """Send a stop until it is answered or the worker leaves a hold unanswered."""
        while not self._try_stop(order, self._limits.call):
            self._clock.sleep(self._closed, STOP_RETRY_SECONDS)
            if self._status.holds_unanswered:
                return  # The session handles the run after its next holds.

    def _try_stop(self, order: _Order, timeout: float) -> bool:
        """Send a stop once; return whether the order needs no further attempt."""
        if not self._may_send():
            return True
        answer = self._client.stop(
            StopOrder(key=order.key, number=order.number, fence=self._fence), timeout
        )
        self._record_answer(answer)
        if answer.outcome in (OrderOutcome.DONE, OrderOutcome.OUTDATED):
            with self._lock:
                self._stopped[order.key] = order.number
            return True
        return answer.outcome in (OrderOutcome.OTHER_WORKER, OrderOutcome.FENCED)
