"""Worker sessions: how the leader speaks with one life of one worker.

One task holds: it renews the lease, logs the ends that the worker lists and only
then acknowledges them.  Another task sends the orders.  A run that the log has
as ordered counts as running until an end of it is logged.  When the worker does not
list such a run, the session orders its stop, after whose answer the run can never
start; when the worker is silent, it waits until the lease has surely ended.
"""

import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass

from absl import logging

from arbutuscleat.core import Clock
from arbutuscleat.jobs import JobTable, RunOutcome, TaskKey
from arbutuscleat.wire.gen_jobs.ttypes import (
    EndRecord,
    JobCommand,
    RemoveWorker,
    RunEnds,
    RunRecord,
    WorkerRecord,
)

from .limits import ExecutionLimits
from .worker_client import (
    HoldAnswer,
    HoldOrder,
    OrderOutcome,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerClient,
)
from .worker_clock import WorkerClock

START_TRIES = 2
"""Tries of an unanswered start before its run is stopped for good."""

STOP_PAUSE_SECONDS = 0.3
"""Between tries of a stop that got no answer; a fifth of a worker's heartbeat."""

RETRY_SECONDS = 0.2
"""Between holds that got no answer."""

IDLE_SECONDS = 0.5
"""How often a session without runs looks for some when nobody wakes it."""

RENEWALS_UNANSWERED = 2
"""Holds without an answer after which the lease is no longer renewed."""

HOLD_SLACK_SECONDS = 0.7
"""How much longer than the worker may wait we wait for its answer."""

SICK_SECONDS = 1.0
"""How long a worker that says it is not in good order gets nothing new."""

FULL_SECONDS = 0.3
"""The same for one that had no room where we saw some."""

Propose = Callable[[JobCommand], bool]
"""Puts a command through the log; False when it is not known to be in it."""


@dataclass(frozen=True)
class _Order:
    start: RunRecord | None
    key: TaskKey
    number: int


class WorkerSession:
    """The leader's conversation with one life of a worker.

    Parameters
    ----------
    record : WorkerRecord
        The worker.
    client : WorkerClient
        Calls to it.
    fence : int
        Fencing token of this session; a later session has a higher one.
    table : JobTable
        The replicated table.
    propose : callable
        Puts a command through the log.
    may_order : callable
        Whether this process still leads; asked right before each call.
    clock : Clock
        Source of time.
    limits : ExecutionLimits
        Times that leases go by.
    former_lease_until : float
        Monotonic seconds at which leases of former leaders have surely ended.
    """

    def __init__(
        self,
        record: WorkerRecord,
        client: WorkerClient,
        fence: int,
        table: JobTable,
        propose: Propose,
        may_order: Callable[[], bool],
        clock: Clock,
        limits: ExecutionLimits,
        former_lease_until: float,
    ):
        self.worker_id: str = record.worker_id
        self.life = (record.worker_id, record.born_ms)
        self._client = client
        self._fence = fence
        self._table = table
        self._propose = propose
        self._may_order = may_order
        self._clock = clock
        self._limits = limits
        self._worker_clock = WorkerClock(clock)
        self._lock = threading.Lock()
        self._wake = threading.Condition(self._lock)
        self._closed = threading.Event()
        self._orders: queue.SimpleQueue[_Order | None] = queue.SimpleQueue()
        self._pending: dict[TaskKey, int] = {}
        self._stopped: dict[TaskKey, int] = {}
        self._acknowledged = 0
        self._misses = 0
        self._greeted = False
        self._unusable_until = 0.0
        self._lease_until = former_lease_until
        self._failed_in_a_row = 0
        self.running: tuple[RunningTask, ...] = ()
        self._threads = [
            threading.Thread(target=self._hold_on, name="hold", daemon=True),
            threading.Thread(target=self._send_orders, name="orders", daemon=True),
        ]

    # ---- for the executor ----

    def start(self) -> None:
        """Start the tasks."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """End the tasks; nothing more is sent."""
        self._closed.set()
        self._orders.put(None)
        with self._lock:
            self._wake.notify_all()
        self._client.close()

    def is_usable(self) -> bool:
        """Return whether something new may start on the worker."""
        if self._closed.is_set() or not self._greeted or self._misses:
            return False
        return self._clock.monotonic() >= self._unusable_until

    def answers(self) -> bool:
        """Return whether the worker answered the latest hold."""
        return self._greeted and not self._misses

    def grade(self) -> int:
        """Return how many runs have failed in a row, up to a bound."""
        return min(self._failed_in_a_row, 3)

    def order_start(self, run: RunRecord) -> None:
        """Order a run that is in the log."""
        key = TaskKey.of(run)
        with self._lock:
            self._pending[key] = run.number
            self._wake.notify_all()
        self._orders.put(_Order(run, key, run.number))

    def order_stop(self, key: TaskKey, number: int) -> None:
        """Order the end of a run; a start of it that waits is passed over."""
        with self._lock:
            if self._pending.get(key) == number:
                return  # Looked at again when the order before it has ended.
            self._pending[key] = number
        self._orders.put(_Order(None, key, number))

    # ---- holding ----

    def _hold_on(self) -> None:
        while not self._closed.is_set():
            if not self._may_order():
                self._clock.sleep(self._closed, RETRY_SECONDS)
            elif self._has_runs() or not self._greeted:
                self.hold_once()
            else:
                with self._lock:
                    self._clock.wait(self._wake, IDLE_SECONDS)

    def _has_runs(self) -> bool:
        with self._table.lock:
            return self.life in self._table.runs

    def hold_once(self) -> None:
        """Hold once and act upon the answer: one step of the holding task."""
        with self._table.lock:
            runs = self._table.runs.get(self.life, {})
            believed = {key: task.number for key, task in runs.items()}
        with self._lock:
            believed = {k: n for k, n in believed.items() if k not in self._pending}
            stopped = dict(self._stopped)
        renew = self._worker_clock.known() and self._misses < RENEWALS_UNANSWERED
        if renew:
            self._note_lease()
        wait = self._limits.hold_wait if self._greeted and not self._misses else 0.0
        answer = self._client.hold(
            HoldOrder(
                fence=self._fence,
                acknowledged=self._acknowledged,
                expires_ms=self._expires_ms() if renew else None,
                wait_ms=int(1000 * wait),
            ),
            wait + HOLD_SLACK_SECONDS,
        )
        if self._closed.is_set():
            return
        if answer.outcome is OrderOutcome.DONE:
            self._take_answer(answer, believed, stopped)
        else:
            self._take_refusal(answer.outcome)

    def _expires_ms(self) -> int:
        return self._worker_clock.after_ms(self._limits.lease)

    def _note_lease(self) -> None:
        end = self._clock.monotonic() + self._limits.surely_over(self._limits.lease)
        self._lease_until = max(self._lease_until, end)

    def _take_answer(
        self,
        answer: HoldAnswer,
        believed: dict[TaskKey, int],
        stopped: dict[TaskKey, int],
    ) -> None:
        if answer.born_ms != self.life[1]:
            logging.info(
                "worker %s has started again at %d, known since %d",
                self.worker_id,
                answer.born_ms,
                self.life[1],
            )
            self._remove_worker()
            return
        self._worker_clock.take(answer.clock_ms)
        if self._misses:
            logging.info("worker %s answers again", self.worker_id)
        first = not self._greeted
        self._misses = 0
        self._greeted = True
        self.running = answer.running
        if not self._log_ends(answer):
            return
        ended = {(end.key, end.number) for end in answer.finished}
        listed = {task.key: task.number for task in answer.running}
        self._stop_unwanted(listed)
        lost = []
        for key, number in believed.items():
            if listed.get(key) == number or (key, number) in ended:
                continue
            if stopped.get(key) == number:
                lost.append((key, number))
            else:
                self.order_stop(key, number)
        self._log_lost(lost, "stopped before it started")
        if first:
            self._notify_table()

    def _log_ends(self, answer: HoldAnswer) -> bool:
        fresh = [end for end in answer.finished if end.position > self._acknowledged]
        if not fresh:
            return True
        ends = [
            EndRecord(
                run=end.key.run_record(end.number, self.life),
                outcome=int(end.outcome),
                checkpoint=end.checkpoint,
            )
            for end in fresh
        ]
        if not self._propose(
            JobCommand(ends=RunEnds(ends=ends, at_ms=self._clock.now_ms()))
        ):
            return False
        self._acknowledged = max(end.position for end in fresh)
        for end in fresh:
            if end.outcome is RunOutcome.DONE:
                self._failed_in_a_row = 0
            else:
                logging.info(
                    "run %d of %s at %s ended as %s",
                    end.number,
                    end.key,
                    self.worker_id,
                    end.outcome.name.lower(),
                )
            if end.outcome is RunOutcome.FAILED:
                self._failed_in_a_row += 1
            with self._lock:
                if self._stopped.get(end.key) == end.number:
                    del self._stopped[end.key]
        return True

    def _stop_unwanted(self, listed: dict[TaskKey, int]) -> None:
        with self._table.lock:
            unwanted = [
                (key, number)
                for key, number in listed.items()
                if not self._table.is_wanted(key, number)
            ]
        for key, number in unwanted:
            if self._stopped.get(key) != number:
                self.order_stop(key, number)

    def _take_refusal(self, outcome: OrderOutcome) -> None:
        if outcome is OrderOutcome.OTHER_LIFE:
            logging.info("worker %s is gone: another is at its address", self.worker_id)
            self._remove_worker()
            return
        if outcome is OrderOutcome.FENCED:
            logging.warning("worker %s has a later session", self.worker_id)
            self._clock.sleep(self._closed, RETRY_SECONDS)
            return
        self._misses += 1
        if self._misses == 1:
            logging.info("worker %s: hold ended as %s", self.worker_id, outcome.value)
        if self._clock.monotonic() > self._lease_until:
            with self._table.lock:
                runs = self._table.runs.get(self.life, {})
                lost = [(key, task.number) for key, task in runs.items()]
            self._log_lost(lost, "the lease of its silent worker has ended")
        self._clock.sleep(self._closed, RETRY_SECONDS)

    def _remove_worker(self) -> None:
        command = RemoveWorker(worker_id=self.life[0], born_ms=self.life[1])
        if self._propose(JobCommand(remove_worker=command)):
            self._closed.set()
        else:
            self._clock.sleep(self._closed, RETRY_SECONDS)

    def _log_lost(self, lost: list[tuple[TaskKey, int]], reason: str) -> None:
        if not lost:
            return
        for key, number in lost:
            logging.info(
                "run %d of %s at %s is lost: %s",
                number,
                key,
                self.worker_id,
                reason,
            )
        ends = [
            EndRecord(
                run=key.run_record(number, self.life),
                outcome=int(RunOutcome.LOST),
                checkpoint="",
            )
            for key, number in lost
        ]
        self._propose(JobCommand(ends=RunEnds(ends=ends, at_ms=self._clock.now_ms())))
        with self._lock:
            for key, number in lost:
                if self._stopped.get(key) == number:
                    del self._stopped[key]

    # ---- orders ----

    def _send_orders(self) -> None:
        while not self._closed.is_set():
            order = self._orders.get()
            if order is None or self._closed.is_set():
                return
            self._carry_out(order)

    def send_waiting_orders(self) -> None:
        """Send the orders that wait: one step of the ordering task."""
        while not self._orders.empty():
            order = self._orders.get()
            if order is not None:
                self._carry_out(order)

    def _carry_out(self, order: _Order) -> None:
        try:
            if order.start is not None:
                self._start_run(order.key, order.start)
            else:
                self._stop_run(order.key, order.number)
        finally:
            with self._lock:
                self._pending.pop(order.key, None)
                self._wake.notify_all()

    def _start_run(self, key: TaskKey, run: RunRecord) -> None:
        with self._table.lock:
            wanted = self._table.is_wanted(key, run.number)
            job = self._table.jobs.get(key.job_id)
            task = None if job is None else job.task(key)
            spec = "" if job is None else job.record.spec
            checkpoint = "" if task is None else task.checkpoint
        if not wanted:
            self._log_lost([(key, run.number)], "its job was over before the start")
            return
        uncertain = False
        for _ in range(START_TRIES):
            if self._closed.is_set() or not self._may_order():
                return
            self._note_lease()
            order = StartOrder(
                key=key,
                number=run.number,
                spec=spec,
                expires_ms=self._expires_ms(),
                fence=self._fence,
                checkpoint=checkpoint,
            )
            answer = self._client.start(order, self._limits.call)
            self._worker_clock.take(answer.clock_ms)
            if answer.outcome is OrderOutcome.DONE:
                return
            if answer.outcome is not OrderOutcome.NO_ANSWER:
                break
            uncertain = True
        self._take_start_refusal(key, run.number, answer.outcome, uncertain)

    def _take_start_refusal(
        self, key: TaskKey, number: int, outcome: OrderOutcome, uncertain: bool
    ) -> None:
        logging.info(
            "run %d of %s at %s: start ended as %s",
            number,
            key,
            self.worker_id,
            outcome.value,
        )
        pause = FULL_SECONDS if outcome is OrderOutcome.NO_ROOM else SICK_SECONDS
        self._unusable_until = self._clock.monotonic() + pause
        if outcome in (OrderOutcome.OTHER_LIFE, OrderOutcome.FENCED):
            return  # The next hold finds the same and acts upon it.
        if uncertain:
            self._stop_run(key, number)
        else:
            self._log_lost([(key, number)], f"not started: {outcome.value}")

    def _stop_run(self, key: TaskKey, number: int) -> None:
        while not self._closed.is_set() and self._may_order():
            order = StopOrder(key=key, number=number, fence=self._fence)
            answer = self._client.stop(order, self._limits.call)
            self._worker_clock.take(answer.clock_ms)
            if answer.outcome in (OrderOutcome.DONE, OrderOutcome.OUTDATED):
                with self._lock:
                    self._stopped[key] = number
                return
            if answer.outcome in (OrderOutcome.OTHER_LIFE, OrderOutcome.FENCED):
                return
            self._clock.sleep(self._closed, STOP_PAUSE_SECONDS)
            if self._misses:
                return  # The hold decides; the run is looked at again afterwards.

    # ---- details ----

    def _notify_table(self) -> None:
        with self._table.lock:
            self._table.changed.notify_all()
