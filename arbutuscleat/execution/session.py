"""Worker session: its holder's communication with one incarnation of a worker.

One thread sends holds: it renews the lease, records the ends that the worker lists in
the replicated log, and acknowledges them only afterwards. An `OrderSender` sends the
start and stop orders. A worker without runs is held every few seconds, and more often
while it is unusable for want of an answer, because nothing else would end that.

A run whose start is in the log counts as running until its end is in the log. If the
worker does not list such a run, the session sends a stop; once the stop has been
answered, the run can never start and is recorded as lost, or with the end that the
worker lists at a position which cannot be acknowledged. A run that was ordered
before the session began needs no stop: the worker has seen a higher fencing token. An
answer whose list of ends is full shows nothing about runs that it does not list. If
the worker is unresponsive, the session waits until its lease is certain to have
expired.
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

from .begin_recorder import BeginRecorder
from .failure_breaker import MAX_GRADE, FailureBreaker
from .leader_load import LeaderLoad
from .limits import ExecutionLimits
from .order_sender import OrderSender, Run
from .run_end_recorder import Propose, RunEndRecorder
from .stall_detector import StallDetector
from .worker_client import (
    NO_POSITION,
    FinishedRun,
    HoldAnswer,
    HoldOrder,
    OrderOutcome,
    RunningTask,
    WorkerClient,
)
from .worker_condition import WorkerCondition
from .worker_status import WorkerStatus

RETRY_SECONDS = 0.2
"""Interval between unanswered holds."""

IDLE_POLL_SECONDS = 0.5
"""Interval at which a session without runs checks for new ones if not notified, and
between unanswered holds of a worker without runs."""

RECHECK_SECONDS = 0.05
"""How long a worker may keep a hold open while runs missing from its list are being
stopped: several times the duration of a call."""

STALL_PAUSE_SECONDS = 3.0
"""How long no new runs are scheduled on a worker after a task stalled there. It is
longer than detecting the next stalled task takes."""

MAX_POSITION_STEP = 1_000_000
"""How far the position of an end can be ahead of the last recorded one. Positions rise
by one, and a worker lists some hundred ends. To acknowledge one that is further ahead
would hide all ends of that worker from then on."""

HOLD_TIMEOUT_MARGIN_SECONDS = 0.4
"""Added to the time that a worker may keep a hold open to get the timeout of the call.
It allows for scheduling delays of the leader's threads on a slow machine."""


class WorkerSession(WorkerCondition):
    """The session of its holder with one incarnation of a worker.

    Parameters
    ----------
    record : WorkerRecord
        The worker.
    client : WorkerClient
        Client of the worker.
    fence : int
        Fencing token of this session; later sessions have higher tokens.
    table : JobTable
        The replicated job table.
    propose : callable
        Proposes a command to the replicated log.
    may_order : callable
        Returns whether this process still holds the session; checked before each hold
        and right before each order.
    clock : Clock
        Source of time.
    limits : ExecutionLimits
        Lease durations and timeouts.
    former_lease_until : float
        Monotonic time in seconds by which all leases granted by former holders of the
        session have expired.
    load : LeaderLoad, optional
        Records the time from the commit of a start to its answer.
    begin_recorder : BeginRecorder, optional
        Records the jobs that begin; the sessions of a process share one.

    Attributes
    ----------
    worker_id : str
        Id of the worker.
    incarnation : WorkerIncarnation
        The worker's incarnation: its id and start time.
    running : tuple of RunningTask
        The tasks listed in the latest answered hold.
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
        load: LeaderLoad | None = None,
        begin_recorder: BeginRecorder | None = None,
    ):
        self.worker_id: str = record.worker_id
        self.incarnation = (record.worker_id, record.born_ms)
        self._address = (record.host, record.port)
        self._client = client
        self._fence = fence
        self._table = table
        self._propose = propose
        self._may_order = may_order
        self._clock = clock
        self._limits = limits
        self._end_recorder = RunEndRecorder(self.incarnation, propose, clock)
        self._begin_recorder = begin_recorder or BeginRecorder(table, propose, clock)
        self._status = WorkerStatus(clock, limits, former_lease_until)
        self._sender = OrderSender(
            self.worker_id,
            client,
            fence,
            table,
            self._record_lost,
            may_order,
            self._status,
            clock,
            limits,
            LeaderLoad(clock) if load is None else load,
            self._begin_recorder,
        )
        self._wake = threading.Condition()
        self._closed = threading.Event()
        self._acknowledged = 0
        with table.lock:
            runs = table.runs.get(self.incarnation, {})
            self._inherited = {key: task.number for key, task in runs.items()}
            """Runs ordered before this session, until the first complete answer."""

        self._breaker = FailureBreaker(clock)
        self._has_missing_runs = False
        self._stall_detector = StallDetector()
        self._ended: dict[TaskKey, int] = {}
        """Runs whose end is committed, but not applied to the table here yet."""

        self.running: tuple[RunningTask, ...] = ()
        self._thread = threading.Thread(target=self._run, name="hold", daemon=True)

    # ---- for the executor ----

    def start(self) -> None:
        """Start the threads."""
        self._thread.start()
        self._sender.start()

    def close(self) -> None:
        """Stop the threads and close the client; nothing more is sent."""
        self._closed.set()
        self._sender.close()
        with self._wake:
            self._wake.notify_all()
        self._client.close()

    def is_with(self, record: WorkerRecord) -> bool:
        """Return whether this open session calls the worker as it is registered."""
        address = (record.host, record.port)
        same = (record.born_ms, address) == (self.incarnation[1], self._address)
        is_open = not self._closed.is_set() and not self._sender.is_closed()
        return same and is_open

    def is_usable(self) -> bool:
        """Return whether new runs may be scheduled on the worker."""
        return not self._closed.is_set() and self._status.is_usable()

    def is_responsive(self) -> bool:
        """Return whether the worker answered the latest hold."""
        return self._status.is_responsive()

    def rejects_starts(self) -> bool:
        """Return whether the worker has rejected several starts in a row just now."""
        return self._status.rejects_starts()

    def grade(self) -> int:
        """Return the number of consecutive failed runs, or 3 if no run starts."""
        return MAX_GRADE if self.rejects_starts() else self._breaker.grade()

    def max_new_runs(self, running: int) -> int | None:
        """Return how many runs may be scheduled on the worker; None for any number.

        Parameters
        ----------
        running : int
            Number of runs on the worker that end by themselves.
        """
        return self._breaker.max_new_runs(running)

    def accepts_long_running(self) -> bool:
        """Return whether the circuit breaker admits long-running tasks."""
        return self._breaker.accepts_long_running()

    def order_start(self, run: RunRecord) -> None:
        """Queue the start of a run that is committed to the log."""
        self._sender.order_start(run)
        with self._wake:
            self._wake.notify_all()

    def order_stop(self, key: TaskKey, number: int) -> None:
        """Queue the stop of a run, unless an order for this run is pending."""
        self._sender.order_stop(key, number)

    def pending(self) -> set[TaskKey]:
        """Return the tasks with an order that is queued or being sent."""
        return self._sender.pending()

    def send_queued_orders(self) -> None:
        """Send all queued orders: one iteration of the sender's threads."""
        self._sender.send_queued()

    # ---- holding ----

    def _run(self) -> None:
        try:
            while not self._closed.is_set():
                self._hold_if_due()
        finally:
            self._closed.set()  # After an exception the session is replaced.

    def _hold_if_due(self) -> None:
        if not self._may_order():
            self._clock.sleep(self._closed, RETRY_SECONDS)
        elif self._has_runs() or not self._status.has_answered():
            self.hold_once()
        elif self._status.needs_hold():
            self.hold_once()
            if self._status.needs_hold():
                self._clock.sleep(self._closed, IDLE_POLL_SECONDS)
        elif self._status.is_idle_hold_due():
            self.hold_once()
        else:
            with self._wake:
                self._clock.wait(self._wake, IDLE_POLL_SECONDS)

    def _has_runs(self) -> bool:
        with self._table.lock:
            return self.incarnation in self._table.runs

    def hold_once(self) -> None:
        """Send one hold and handle the response: one iteration of the hold thread."""
        expected_runs, is_busy = self._expected_runs()
        stopped = self._sender.stopped()
        # A hold can arrive although its response is lost. If retries renewed the lease,
        # it would never be certain to have expired.
        renew = self._status.has_clock() and not self._status.holds_unanswered
        expires_ms = self._status.grant_lease() if renew else None
        # The expiry is computed before this check, so a lease granted by a process that
        # is paused and resumed does not last longer than one of its time as leader.
        if not self._may_order():
            return
        wait = 0.0
        if self._status.is_responsive() and self._has_runs():
            wait = self._limits.busy_wait if is_busy else self._limits.hold_wait
            if self._has_missing_runs:
                wait = RECHECK_SECONDS
        timeout = wait + HOLD_TIMEOUT_MARGIN_SECONDS
        if self._status.holds_unanswered:
            timeout = self._status.within_lease(timeout)
        answer = self._client.hold(
            HoldOrder(
                fence=self._fence,
                acknowledged=self._acknowledged,
                expires_ms=expires_ms,
                wait_ms=int(1000 * wait),
            ),
            timeout,
        )
        if self._closed.is_set():
            return
        if answer.outcome is OrderOutcome.DONE:
            self._handle_answer(answer, expected_runs, stopped)
        else:
            self._handle_failed_hold(answer.outcome)

    def _expected_runs(self) -> tuple[dict[TaskKey, int], bool]:
        """Return the runs that the worker should list, and whether any is finite.

        Runs with a pending order are left out. A run is finite if its task ends by
        itself, so that its end is awaited.
        """
        is_busy = False
        runs = {}
        with self._table.lock:
            tasks = self._table.runs.get(self.incarnation, {})
            self._ended = {
                key: number
                for key, number in self._ended.items()
                if key in tasks and tasks[key].number == number
            }
            for key, task in tasks.items():
                if key in self._ended:
                    continue
                job = self._table.jobs.get(key.job_id)
                is_busy |= job is not None and not job.steps[key.step].long_running
                runs[key] = task.number
        pending = self._sender.pending()
        return {k: n for k, n in runs.items() if k not in pending}, is_busy

    def _handle_answer(
        self,
        answer: HoldAnswer,
        expected_runs: dict[TaskKey, int],
        stopped: dict[TaskKey, int],
    ) -> None:
        if answer.born_ms != self.incarnation[1]:
            logging.info(
                "worker %s has restarted: started at %d, previous incarnation at %d",
                self.worker_id,
                answer.born_ms,
                self.incarnation[1],
            )
            self._remove_worker(answer.born_ms)
            return
        self._status.update_clock(answer.clock_ms)
        if self._status.holds_unanswered:
            logging.info(
                "worker %s is responsive again after %d unanswered holds",
                self.worker_id,
                self._status.holds_unanswered,
            )
        is_first = self._status.record_hold()
        self.running = answer.running
        if not self._record_ends(answer):
            return
        ended = {
            (end.key, end.number)
            for end in answer.finished
            if NO_POSITION < end.position <= self._acknowledged
        }
        listed = {(task.key, task.number) for task in answer.running}
        self._handle_listed(answer.running)
        self._stop_stalled(answer)
        self._has_missing_runs = False
        if answer.lists_all_ends:
            known = listed | ended
            missing = [run for run in expected_runs.items() if run not in known]
            self._handle_missing(missing, stopped, answer.finished)
            self._inherited = {}
        self._begin_recorder.record_if_due()
        if is_first:
            self._notify_table()

    def _handle_missing(
        self,
        missing: list[Run],
        stopped: dict[TaskKey, int],
        finished: tuple[FinishedRun, ...],
    ) -> None:
        """Record the ends of runs that are not on the worker and can start no more.

        They are lost, unless the worker lists an end at an implausible position.

        Parameters
        ----------
        missing : list of tuple of TaskKey and int
            The expected runs that a complete answer does not list.
        stopped : dict of TaskKey to int
            The runs whose stop had been answered before that answer was requested.
        finished : tuple of FinishedRun
            All ends that the answer lists.
        """
        listed = {(end.key, end.number): end for end in finished}
        reported, lost = [], []
        for key, number in missing:
            # A run that was ordered before the session began has a lower token, which
            # the worker rejects now.
            if number in (stopped.get(key), self._inherited.get(key)):
                end = listed.get((key, number))
                if end is None:
                    lost.append((key, number))
                else:
                    reported.append(end)
            else:
                self._has_missing_runs = True
                self.order_stop(key, number)
        if reported:
            self._commit_ends(reported)
        self._record_lost(lost, "it is not on its worker and can start no more")

    def _record_ends(self, answer: HoldAnswer) -> bool:
        listed = [end for end in answer.finished if end.position > self._acknowledged]
        first = self._acknowledged or min((end.position for end in listed), default=0)
        new_ends = [end for end in listed if end.position <= first + MAX_POSITION_STEP]
        if not new_ends:
            if answer.finished or answer.skipped_ends:
                # It cannot be acknowledged, so the worker will answer at once.
                self._clock.sleep(self._closed, RETRY_SECONDS)
            return True
        if not self._commit_ends(new_ends):
            return False
        self._acknowledged = max(end.position for end in new_ends)
        return True

    def _commit_ends(self, new_ends: list[FinishedRun]) -> bool:
        """Commit reported ends; return False if that is not confirmed."""
        if not self._end_recorder.record_reported(new_ends):
            return False
        self._note_ended([(end.key, end.number) for end in new_ends])
        for end in new_ends:
            if end.outcome is RunOutcome.DONE:
                self._breaker.record_success()
            elif end.outcome is RunOutcome.FAILED:
                self._record_failure(end.key)
            self._sender.clear_stop(end.key, end.number)
        return True

    def _record_failure(self, key: TaskKey) -> None:
        if self._breaker.record_failure(key.job_id):
            logging.info(
                "worker %s fails every run: no new ones for now, then one at a time",
                self.worker_id,
            )

    def _handle_listed(self, listed: tuple[RunningTask, ...]) -> None:
        """Stop the runs that nobody wants; note the jobs that have begun."""
        with self._table.lock:
            unwanted = [
                (item.key, item.number)
                for item in listed
                if not self._table.is_current_run(item.key, item.number)
            ]
            begun = self._begun_jobs(listed)
        self._begin_recorder.observe(begun)
        for key, number in self._not_stopped(unwanted):
            self.order_stop(key, number)

    def _begun_jobs(self, listed: tuple[RunningTask, ...]) -> set[str]:
        """Return the jobs of listed runs that are not known to have begun."""
        active = self._table.active
        return {
            item.key.job_id
            for item in listed
            if item.key.job_id in active and not active[item.key.job_id].started
        }

    def _not_stopped(self, runs: list[Run]) -> list[Run]:
        """Return the runs whose stop has not been answered yet."""
        stopped = self._sender.stopped()
        return [(key, number) for key, number in runs if stopped.get(key) != number]

    def _stop_stalled(self, answer: HoldAnswer) -> None:
        """Stop stalled tasks and schedule no new runs on the worker for a time."""
        progressing = []
        with self._table.lock:
            for item in answer.running:
                job = self._table.jobs.get(item.key.job_id)
                if job is None or job.task(item.key) is None:
                    continue
                step = job.steps[item.key.step]
                if not step.long_running and not step.gang:
                    progressing.append((item, step.estimated_ms))
        stalled = self._stall_detector.find_stalled(
            progressing, self._clock.monotonic()
        )
        if stalled:
            self._status.pause(STALL_PAUSE_SECONDS)
        for key, number in self._not_stopped(stalled):
            logging.info(
                "run %d of %s on worker %s makes no progress, stopping it",
                number,
                key,
                self.worker_id,
            )
            self.order_stop(key, number)

    def _handle_failed_hold(self, outcome: OrderOutcome) -> None:
        if outcome is OrderOutcome.OTHER_WORKER:
            logging.info(
                "worker %s no longer exists: its address is used by another worker",
                self.worker_id,
            )
            self._remove_worker()
            return
        # A worker that rejects the fencing token counts as unresponsive: as long as
        # this process leads, no other one renews the lease.
        self._status.record_unanswered_hold()
        if self._status.holds_unanswered == 1:
            logging.info("worker %s: hold failed: %s", self.worker_id, outcome.value)
            return  # A single call can be lost, so the hold is retried immediately.
        self._record_expired()
        self._clock.sleep(self._closed, self._status.within_lease(RETRY_SECONDS))
        self._record_expired()

    def _record_expired(self) -> None:
        """Record all runs of the unresponsive worker as lost once its lease expired."""
        if self._closed.is_set() or not self._status.has_lease_expired():
            return
        with self._table.lock:
            runs = self._table.runs.get(self.incarnation, {})
            lost = [(key, task.number) for key, task in runs.items()]
        self._record_lost(
            lost, "the lease of its unresponsive worker has expired", True
        )

    def _remove_worker(self, successor_born_ms: int | None = None) -> None:
        """Remove this incarnation, which has ended, from the table.

        Parameters
        ----------
        successor_born_ms : int, optional
            Start time of the incarnation that answers in its place; None if another
            worker does.
        """
        command = RemoveWorker(
            worker_id=self.incarnation[0],
            born_ms=self.incarnation[1],
            unplanned=True,
            successor_born_ms=successor_born_ms,
        )
        now_ms = self._clock.now_ms()
        if self._propose(JobCommand(remove_worker=command, at_ms=now_ms)):
            self._closed.set()
        else:
            self._clock.sleep(self._closed, RETRY_SECONDS)

    def _record_lost(
        self, lost: list[Run], reason: str, unresponsive: bool = False
    ) -> None:
        if not lost:
            return
        if self._end_recorder.record_lost(lost, reason, unresponsive):
            self._note_ended(lost)
        for key, number in lost:
            self._sender.clear_stop(key, number)

    def _note_ended(self, runs: list[Run]) -> None:
        with self._table.lock:
            self._ended.update(runs)

    def _notify_table(self) -> None:
        with self._table.lock:
            self._table.changed.notify_all()
