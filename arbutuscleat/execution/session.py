"""Worker sessions: how the leader speaks with one incarnation of one worker.

One task holds: it renews the lease, logs the ends that the worker lists and only
then acknowledges them.  An `OrderSender` sends the orders.  A run that the log has
as ordered counts as running until an end of it is logged.  When the worker does not
list such a run, the session orders its stop, after whose answer the run can never
start; when the worker is silent, it waits until the lease has surely ended.
"""

import threading
from collections.abc import Callable

from absl import logging

from arbutuscleat.core import Clock
from arbutuscleat.jobs import JobTable, RunOutcome, TaskKey
from arbutuscleat.wire.gen_jobs.ttypes import (
    JobCommand,
    RemoveWorker,
    RunRecord,
    WorkerRecord,
)

from .end_log import EndLog, Propose
from .limits import ExecutionLimits
from .order_sender import OrderSender, Run
from .stall_watch import StallWatch
from .worker_client import (
    HoldAnswer,
    HoldOrder,
    OrderOutcome,
    RunningTask,
    WorkerClient,
)
from .worker_contact import WorkerContact

RETRY_SECONDS = 0.2
"""Between holds that got no answer."""

IDLE_SECONDS = 0.5
"""How often a session without runs looks for some when nobody wakes it."""

LOOK_AGAIN_SECONDS = 0.05
"""How long a worker may keep a hold open while runs that it did not list are being
stopped: a call's time several times over."""

STALLED_SECONDS = 3.0
"""How long a worker gets nothing new on which a task has stood still: longer than it
takes to notice the next one."""

RENEWALS_UNANSWERED = 2
"""Holds without an answer after which the lease is no longer renewed."""

HOLD_SLACK_SECONDS = 0.4
"""How much longer than the worker may wait we wait for its answer: some turns of a
leader's tasks on a machine that runs slowly."""


class WorkerSession:
    """The leader's conversation with one incarnation of a worker.

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
        self.incarnation = (record.worker_id, record.born_ms)
        self._client = client
        self._fence = fence
        self._table = table
        self._propose = propose
        self._may_order = may_order
        self._clock = clock
        self._limits = limits
        self._ends = EndLog(self.incarnation, propose, clock)
        self._contact = WorkerContact(clock, limits, former_lease_until)
        self._sender = OrderSender(
            self.worker_id,
            client,
            fence,
            table,
            self._log_lost,
            may_order,
            self._contact,
            clock,
            limits,
        )
        self._wake = threading.Condition()
        self._closed = threading.Event()
        self._acknowledged = 0
        self._failed_in_a_row = 0
        self._misses_runs = False
        self._stalls = StallWatch()
        self.running: tuple[RunningTask, ...] = ()
        self._thread = threading.Thread(target=self._hold_on, name="hold", daemon=True)

    # ---- for the executor ----

    def start(self) -> None:
        """Start the tasks."""
        self._thread.start()
        self._sender.start()

    def close(self) -> None:
        """End the tasks; nothing more is sent."""
        self._closed.set()
        self._sender.close()
        with self._wake:
            self._wake.notify_all()
        self._client.close()

    def is_usable(self) -> bool:
        """Return whether something new may start on the worker."""
        return not self._closed.is_set() and self._contact.is_usable()

    def answers(self) -> bool:
        """Return whether the worker answered the latest hold."""
        return self._contact.answers()

    def grade(self) -> int:
        """Return how many runs have failed in a row, up to a bound."""
        return min(self._failed_in_a_row, 3)

    def order_start(self, run: RunRecord) -> None:
        """Order a run that is in the log."""
        self._sender.order_start(run)
        with self._wake:
            self._wake.notify_all()

    def order_stop(self, key: TaskKey, number: int) -> None:
        """Order the end of a run; a start of it that waits goes first."""
        self._sender.order_stop(key, number)

    def send_waiting_orders(self) -> None:
        """Send the orders that wait: one step of the ordering tasks."""
        self._sender.send_waiting()

    # ---- holding ----

    def _hold_on(self) -> None:
        while not self._closed.is_set():
            if not self._may_order():
                self._clock.sleep(self._closed, RETRY_SECONDS)
            elif self._has_runs() or not self._contact.is_greeted():
                self.hold_once()
            else:
                with self._wake:
                    self._clock.wait(self._wake, IDLE_SECONDS)

    def _has_runs(self) -> bool:
        with self._table.lock:
            return self.incarnation in self._table.runs

    def hold_once(self) -> None:
        """Hold once and act upon the answer: one step of the holding task."""
        believed, is_busy = self._believed_runs()
        stopped = self._sender.stopped()
        unanswered = self._contact.holds_unanswered
        renew = self._contact.knows_clock() and unanswered < RENEWALS_UNANSWERED
        if renew:
            self._contact.note_lease()
        wait = 0.0
        if self._contact.answers():
            wait = self._limits.busy_wait if is_busy else self._limits.hold_wait
            if self._misses_runs:
                wait = LOOK_AGAIN_SECONDS
        answer = self._client.hold(
            HoldOrder(
                fence=self._fence,
                acknowledged=self._acknowledged,
                expires_ms=self._contact.expires_ms() if renew else None,
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

    def _believed_runs(self) -> tuple[dict[TaskKey, int], bool]:
        """Return the runs that should be listed, and whether any is to end."""
        is_busy = False
        runs = {}
        with self._table.lock:
            for key, task in self._table.runs.get(self.incarnation, {}).items():
                job = self._table.jobs.get(key.job_id)
                is_busy |= job is not None and not job.steps[key.step].long_running
                runs[key] = task.number
        pending = self._sender.pending()
        return {k: n for k, n in runs.items() if k not in pending}, is_busy

    def _take_answer(
        self,
        answer: HoldAnswer,
        believed: dict[TaskKey, int],
        stopped: dict[TaskKey, int],
    ) -> None:
        if answer.born_ms != self.incarnation[1]:
            logging.info(
                "worker %s has started again at %d, known since %d",
                self.worker_id,
                answer.born_ms,
                self.incarnation[1],
            )
            self._remove_worker()
            return
        self._contact.take_clock(answer.clock_ms)
        if self._contact.holds_unanswered:
            logging.info("worker %s answers again", self.worker_id)
        first = self._contact.note_hold()
        self.running = answer.running
        if not self._log_ends(answer):
            return
        ended = {(end.key, end.number) for end in answer.finished}
        listed = {task.key: task.number for task in answer.running}
        self._stop_unwanted(listed)
        self._stop_stalled(answer)
        lost = []
        self._misses_runs = False
        for key, number in believed.items():
            if listed.get(key) == number or (key, number) in ended:
                continue
            if stopped.get(key) == number:
                lost.append((key, number))
            else:
                self._misses_runs = True
                self.order_stop(key, number)
        self._log_lost(lost, "stopped before it started")
        if first:
            self._notify_table()

    def _log_ends(self, answer: HoldAnswer) -> bool:
        fresh = [end for end in answer.finished if end.position > self._acknowledged]
        if not fresh:
            return True
        if not self._ends.log_listed(fresh):
            return False
        self._acknowledged = max(end.position for end in fresh)
        for end in fresh:
            if end.outcome is RunOutcome.DONE:
                self._failed_in_a_row = 0
            elif end.outcome is RunOutcome.FAILED:
                self._failed_in_a_row += 1
            self._sender.forget_stop(end.key, end.number)
        return True

    def _stop_unwanted(self, listed: dict[TaskKey, int]) -> None:
        with self._table.lock:
            unwanted = [
                (key, number)
                for key, number in listed.items()
                if not self._table.is_current_run(key, number)
            ]
        for key, number in self._not_stopped(unwanted):
            self.order_stop(key, number)

    def _not_stopped(self, runs: list[Run]) -> list[Run]:
        """Return those whose stop has not been answered yet."""
        stopped = self._sender.stopped()
        return [(key, number) for key, number in runs if stopped.get(key) != number]

    def _stop_stalled(self, answer: HoldAnswer) -> None:
        """Stop tasks that stand still; nothing new starts beside them for a while."""
        progressing = []
        with self._table.lock:
            for item in answer.running:
                job = self._table.jobs.get(item.key.job_id)
                step = None if job is None else job.steps[item.key.step]
                if step is not None and not step.long_running and not step.gang:
                    progressing.append((item, step.estimated_ms))
        stalled = self._stalls.look(progressing, self._clock.monotonic())
        if stalled:
            self._contact.pause(STALLED_SECONDS)
        for key, number in self._not_stopped(stalled):
            logging.info(
                "run %d of %s at %s stands still and is stopped",
                number,
                key,
                self.worker_id,
            )
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
        self._contact.note_silent_hold()
        if self._contact.holds_unanswered == 1:
            logging.info("worker %s: hold ended as %s", self.worker_id, outcome.value)
            return  # One call alone can get lost: asked again at once.
        if self._contact.lease_has_ended():
            with self._table.lock:
                runs = self._table.runs.get(self.incarnation, {})
                lost = [(key, task.number) for key, task in runs.items()]
            self._log_lost(lost, "the lease of its silent worker has ended")
        self._clock.sleep(self._closed, RETRY_SECONDS)

    def _remove_worker(self) -> None:
        command = RemoveWorker(
            worker_id=self.incarnation[0], born_ms=self.incarnation[1]
        )
        if self._propose(JobCommand(remove_worker=command)):
            self._closed.set()
        else:
            self._clock.sleep(self._closed, RETRY_SECONDS)

    def _log_lost(self, lost: list[Run], reason: str) -> None:
        if not lost:
            return
        self._ends.log_lost(lost, reason)
        for key, number in lost:
            self._sender.forget_stop(key, number)

    # ---- details ----

    def _notify_table(self) -> None:
        with self._table.lock:
            self._table.changed.notify_all()
