"""Order senders: starts and stops on their way to one incarnation of a worker.

Orders go out one after another.  One without an answer is passed to a second task,
which sends it again, so that those behind it do not wait for a time limit each.  A
start that stays without an answer is stopped: once the stop is answered, the run can
never begin.
"""

import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass

from absl import logging

from arbutuscleat.core import Clock
from arbutuscleat.jobs import JobTable, TaskKey
from arbutuscleat.wire.gen_jobs.ttypes import RunRecord

from .limits import ExecutionLimits
from .worker_client import (
    OrderAnswer,
    OrderOutcome,
    StartOrder,
    StopOrder,
    WorkerClient,
)
from .worker_contact import WorkerContact

STOP_PAUSE_SECONDS = 0.3
"""Between tries of a stop that got no answer; a fifth of a worker's heartbeat."""

SICK_SECONDS = 1.0
"""How long a worker that says it is not in good order gets nothing new."""

FULL_SECONDS = 0.3
"""The same for one that had no room where we saw some."""

Run = tuple[TaskKey, int]
"""A task and the number of one of its runs."""

LogLost = Callable[[list[Run], str], None]
"""Logs that runs have ended without an end of their own, with the reason."""


@dataclass(frozen=True, slots=True)
class _Order:
    start: RunRecord | None
    key: TaskKey
    number: int


class OrderSender:
    """Sends the orders of one session.

    Parameters
    ----------
    worker_id : str
        The worker, for logs.
    client : WorkerClient
        Calls to it.
    fence : int
        Fencing token of the session.
    table : JobTable
        The replicated table.
    log_lost : callable
        Logs runs that never began.
    may_order : callable
        Whether this process still leads; asked right before each call.
    contact : WorkerContact
        Condition and lease of the worker.
    clock : Clock
        Source of time.
    limits : ExecutionLimits
        Time limits of calls.
    """

    def __init__(
        self,
        worker_id: str,
        client: WorkerClient,
        fence: int,
        table: JobTable,
        log_lost: LogLost,
        may_order: Callable[[], bool],
        contact: WorkerContact,
        clock: Clock,
        limits: ExecutionLimits,
    ):
        self._worker_id = worker_id
        self._client = client
        self._fence = fence
        self._table = table
        self._log_lost = log_lost
        self._may_order = may_order
        self._contact = contact
        self._clock = clock
        self._limits = limits
        self._closed = threading.Event()
        self._lock = threading.Lock()
        self._orders: queue.SimpleQueue[_Order | None] = queue.SimpleQueue()
        self._repeats: queue.SimpleQueue[_Order | None] = queue.SimpleQueue()
        self._pending: dict[TaskKey, int] = {}
        self._stopped: dict[TaskKey, int] = {}
        self._runs_tasks = False
        self._repeats_task: threading.Thread | None = None

    def start(self) -> None:
        """Start the task; that for repeated orders starts with the first of them."""
        self._runs_tasks = True
        threading.Thread(target=self._send, name="orders", daemon=True).start()

    def close(self) -> None:
        """End the tasks; nothing more is sent."""
        self._closed.set()
        self._orders.put(None)
        self._repeats.put(None)

    # ---- orders ----

    def order_start(self, run: RunRecord) -> None:
        """Order a run that is in the log."""
        key = TaskKey.of(run)
        with self._lock:
            self._pending[key] = run.number
        self._orders.put(_Order(run, key, run.number))

    def order_stop(self, key: TaskKey, number: int) -> None:
        """Order the end of a run; a start of it that waits goes first."""
        with self._lock:
            if self._pending.get(key) == number:
                return  # Looked at again when the order before it has ended.
            self._pending[key] = number
        self._orders.put(_Order(None, key, number))

    def pending(self) -> set[TaskKey]:
        """Return the tasks with an order that waits or is on its way."""
        with self._lock:
            return set(self._pending)

    # ---- answered stops ----

    def stopped(self) -> dict[TaskKey, int]:
        """Return the runs whose stop was answered and whose end is not logged."""
        with self._lock:
            return dict(self._stopped)

    def forget_stop(self, key: TaskKey, number: int) -> None:
        """Note that the end of a run is in the log."""
        with self._lock:
            if self._stopped.get(key) == number:
                del self._stopped[key]

    # ---- sending ----

    def _send(self) -> None:
        while not self._closed.is_set():
            order = self._orders.get()
            if order is None or self._closed.is_set():
                return
            self._try_first(order)

    def _send_again(self) -> None:
        while not self._closed.is_set():
            order = self._repeats.get()
            if order is None or self._closed.is_set():
                return
            self._repeat(order)

    def send_waiting(self) -> None:
        """Send the orders that wait, repeated ones last: one step of both tasks."""
        for orders, send in (
            (self._orders, self._try_first),
            (self._repeats, self._repeat),
        ):
            while not orders.empty():
                order = orders.get()
                if order is not None:
                    send(order)

    def _try_first(self, order: _Order) -> None:
        if order.start is not None:
            answered = self._try_start(order, self._limits.first_try, False)
        else:
            answered = self._try_stop(order, self._limits.first_try)
        if answered:
            self._drop(order)
        else:
            self._repeats.put(order)
            if self._runs_tasks and self._repeats_task is None:
                self._repeats_task = threading.Thread(
                    target=self._send_again, name="repeats", daemon=True
                )
                self._repeats_task.start()

    def _repeat(self, order: _Order) -> None:
        try:
            if order.start is not None:
                if self._try_start(order, self._limits.call, True):
                    return
                self._log_refusal(order, OrderOutcome.NO_ANSWER)
            self._stop_for_good(order)
        finally:
            self._drop(order)

    def _drop(self, order: _Order) -> None:
        with self._lock:
            if self._pending.get(order.key) == order.number:
                del self._pending[order.key]

    def _may_send(self) -> bool:
        return not self._closed.is_set() and self._may_order()

    def _take(self, answer: OrderAnswer) -> bool:
        """Note an answer; return False when none came."""
        if answer.outcome in (OrderOutcome.NO_ANSWER, OrderOutcome.NOT_SENT):
            self._contact.note_silent_order()
        else:
            self._contact.note_order(answer.clock_ms)
        return answer.outcome is not OrderOutcome.NO_ANSWER

    def _try_start(self, order: _Order, timeout: float, is_repeated: bool) -> bool:
        """Send a start once; return False when it may or may not have arrived."""
        key = order.key
        with self._table.lock:
            wanted = self._table.is_current_run(key, order.number)
            job = self._table.jobs.get(key.job_id)
            task = None if job is None else job.task(key)
            spec = "" if job is None else job.record.spec
            checkpoint = "" if task is None else task.checkpoint
        if not wanted and not is_repeated:
            self._log_lost([(key, order.number)], "its job was over before the start")
            return True
        if not wanted:
            return False
        if not self._may_send():
            return True  # The next session finds the run in the log.
        self._contact.note_lease()
        answer = self._client.start(
            StartOrder(
                key=key,
                number=order.number,
                spec=spec,
                expires_ms=self._contact.expires_ms(),
                fence=self._fence,
                checkpoint=checkpoint,
            ),
            timeout,
        )
        if not self._take(answer):
            return False
        if answer.outcome is not OrderOutcome.DONE:
            self._take_refusal(order, answer.outcome, is_repeated)
        return True

    def _take_refusal(
        self, order: _Order, outcome: OrderOutcome, is_repeated: bool
    ) -> None:
        self._log_refusal(order, outcome)
        full = outcome is OrderOutcome.NO_ROOM
        self._contact.pause(FULL_SECONDS if full else SICK_SECONDS)
        if outcome in (OrderOutcome.OTHER_LIFE, OrderOutcome.FENCED):
            return  # The next hold finds the same and acts upon it.
        if is_repeated:
            self._stop_for_good(order)  # The first try may still arrive.
        else:
            lost = [(order.key, order.number)]
            self._log_lost(lost, f"not started: {outcome.value}")

    def _log_refusal(self, order: _Order, outcome: OrderOutcome) -> None:
        logging.info(
            "run %d of %s at %s: start ended as %s",
            order.number,
            order.key,
            self._worker_id,
            outcome.value,
        )

    def _stop_for_good(self, order: _Order) -> None:
        """Send a stop until it is answered or the hold finds the worker silent."""
        while not self._try_stop(order, self._limits.call):
            self._clock.sleep(self._closed, STOP_PAUSE_SECONDS)
            if self._contact.holds_unanswered:
                return  # The hold decides; the run is looked at again afterwards.

    def _try_stop(self, order: _Order, timeout: float) -> bool:
        """Send a stop once; return whether nothing is left to be done."""
        if not self._may_send():
            return True
        answer = self._client.stop(
            StopOrder(key=order.key, number=order.number, fence=self._fence), timeout
        )
        self._take(answer)
        if answer.outcome in (OrderOutcome.DONE, OrderOutcome.OUTDATED):
            with self._lock:
                self._stopped[order.key] = order.number
            return True
        return answer.outcome in (OrderOutcome.OTHER_LIFE, OrderOutcome.FENCED)
