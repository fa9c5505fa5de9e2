"""Executor: the leader's dispatch loop from the job table to the workers.

While this replica leads, the executor keeps a session with every worker in the table.
In each iteration it asks the planner which runs to start, commits them to the
replicated log and passes the committed runs to the sessions. A replica that loses
the leadership closes its sessions and sends no orders.
"""

import threading
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence

from absl import logging
from returns.result import Success

from arbutuscleat.consensus import Replica
from arbutuscleat.core import Clock, run_loop
from arbutuscleat.jobs import JobTable, TaskKey
from arbutuscleat.jobs.task import WorkerIncarnation
from arbutuscleat.scheduling import (
    Demand,
    Planner,
    StepWaits,
    WaitReason,
    WorkerView,
    movable_tasks,
    service_demands,
)
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen_jobs.ttypes import (
    JobCommand,
    RunRecord,
    RunStarts,
    WorkerRecord,
)

from .end_batcher import EndBatcher
from .leader_load import LeaderLoad
from .limits import ExecutionLimits
from .run_settler import RunSettler
from .session import WorkerSession
from .worker_client import WorkerClient

IDLE_POLL_SECONDS = 0.25
"""Interval between plans while the table does not change."""

FOLLOWER_POLL_SECONDS = 0.05
"""Interval at which a follower checks whether it has become the leader."""

PROPOSE_TIMEOUT_SECONDS = 2.0
"""How long the loop waits for a proposal to be committed."""

MAX_LIMITED_FRACTION = 0.34
"""Largest fraction of a service's workers that circuit breakers may limit. If more
workers fail their runs, the jobs are the likely cause."""

READY_PERCENT = 100
"""Progress reported by a long-running task that has finished starting up."""

STOP_EFFECT_SECONDS = 15.0
"""How long a run that is to be stopped counts as unavailable although its worker lists
it. An unanswered order may take effect 12 s later; after that, it was never sent."""

SESSIONS_PER_TERM = 1_000_000
"""Number of fencing tokens available in each term; a process opens far fewer sessions
in its lifetime."""

MakeClient = Callable[[WorkerRecord], WorkerClient]


class Executor:
    """Dispatches the tasks of accepted jobs to the workers.

    Parameters
    ----------
    replica : Replica
        This process's member of the consensus group.
    table : JobTable
        The replicated job table.
    make_client : callable
        Creates the client of a worker.
    planner : Planner
        Decides which tasks start on which workers.
    clock : Clock
        Source of time.
    limits : ExecutionLimits
        Lease durations and timeouts.
    load : LeaderLoad, optional
        Records where the leader's time goes.
    start_threads : bool, default=True
        Whether sessions run their own threads; otherwise the caller runs their steps.

    Attributes
    ----------
    plan_count : int
        Number of plans made so far.
    sessions : dict of str to WorkerSession
        The open session with each worker, by worker id.
    step_waits : StepWaits
        The steps with waiting tasks, by the latest check; guarded by the table's lock.
    """

    def __init__(
        self,
        replica: Replica,
        table: JobTable,
        make_client: MakeClient,
        planner: Planner,
        clock: Clock,
        limits: ExecutionLimits,
        load: LeaderLoad | None = None,
        start_threads: bool = True,
    ):
        self._start_threads = start_threads
        self._load = LeaderLoad(clock) if load is None else load
        self._replica = replica
        self._table = table
        self._make_client = make_client
        self._planner = planner
        self._clock = clock
        self._limits = limits
        self._stopping = threading.Event()
        self._term = -1
        self._session_count = 0
        self._leased_until: dict[WorkerIncarnation, float] = {}
        """When the leases granted by closed sessions have expired at the latest."""

        self._draining: set[str] = set()
        self._moved: dict[TaskKey, tuple[int, float]] = {}
        """Runs stopped for a move, by task, and when their stops were ordered."""

        self.plan_count = 0
        self.step_waits = StepWaits()
        self._end_batcher = EndBatcher(self.propose, clock)
        self._run_settler = RunSettler(table, planner, self.propose, clock)
        self.sessions: dict[str, WorkerSession] = {}
        self._thread = threading.Thread(target=self._run, name="executor", daemon=True)

    def start(self) -> None:
        """Start the loop."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the loop and close all sessions."""
        self._stopping.set()
        with self._table.lock:
            self._table.changed.notify_all()
        self._thread.join(PROPOSE_TIMEOUT_SECONDS)
        self._close_sessions()

    # ---- for the machine controller ----

    def set_draining(self, worker_ids: set[str]) -> None:
        """Schedule no new runs on these workers, starting with the next plan."""
        with self._table.lock:
            if worker_ids != self._draining:
                self._draining = worker_ids
                self._table.changed.notify_all()

    def order_stop(self, worker_id: str, key: TaskKey, number: int) -> None:
        """Stop a run so that its task is rescheduled on another worker."""
        with self._table.lock:
            session = self.sessions.get(worker_id)
            active = self._table.active
            self._moved = {k: v for k, v in self._moved.items() if k.job_id in active}
            self._moved[key] = (number, self._clock.monotonic())
        if session is not None:
            session.order_stop(key, number)

    def worker_views(self) -> dict[str, WorkerView]:
        """Return the workers by id, with their free capacity and condition."""
        with self._table.lock:
            return self._views()

    def demands(
        self,
        service_names: Iterable[str],
        workers: Mapping[str, Sequence[WorkerView]],
    ) -> dict[str, Demand]:
        """Return the current demand of each service, which has these workers."""
        with self._table.lock:
            now_ms = self._clock.now_ms()
            return service_demands(self._table, service_names, now_ms, workers)

    def movable_tasks(self, worker_id: str) -> list[tuple[TaskKey, int]]:
        """Return the long-running tasks that may be moved off a worker now.

        Each step limits how many of its tasks may be unavailable because of a move.
        Every task that is not known to be ready counts towards this limit. A task
        is only returned if another worker has room for it.
        """
        with self._table.lock:
            session = self.sessions.get(worker_id)
            if session is None:
                return []
            # The tasks listed by a session are as old as its last hold, so a moved
            # task counts as unavailable until a later run of it is ready.
            ready_runs = set()
            for other in self.sessions.values():
                if not other.is_responsive():
                    continue
                pending = other.pending()
                ready_runs |= {
                    (task.key, task.number)
                    for task in other.running
                    if task.percent >= READY_PERCENT
                    and task.key not in pending
                    and not self._is_stop_expected(task.key, task.number)
                }
            views = self._views()
            for view in views.values():
                view.admits_long_running = False  # No move to a failing worker.
            return movable_tasks(self._table, session.incarnation, ready_runs, views)

    def _is_stop_expected(self, key: TaskKey, number: int) -> bool:
        """Return whether a listed run was stopped for a move shortly before."""
        stopped, at = self._moved.get(key, (0, 0.0))
        waited = self._clock.monotonic() - at
        return number <= stopped and waited < STOP_EFFECT_SECONDS

    def propose(self, command: JobCommand) -> bool:
        """Propose a command to the log; return False if its commit is unconfirmed."""
        result = self._replica.propose(encode(command), PROPOSE_TIMEOUT_SECONDS)
        return isinstance(result, Success)

    def _run(self) -> None:
        run_loop(self.run_once, self._stopping, self._clock)

    def run_once(self) -> None:
        """Run one iteration of the loop."""
        if not self._replica.leads():
            if self.sessions:
                logging.info("lost the leadership, closing all worker sessions")
                self._close_sessions()
            self._term = -1
            self._clock.sleep(self._stopping, FOLLOWER_POLL_SECONDS)
            return
        if self._replica.term() != self._term:
            self._close_sessions()
            self._term = self._replica.term()
            logging.info("leading term %d: sessions begin", self._term)
        self._run_settler.settle_if_due(self.sessions.values())
        self._plan_once()
        self._load.log_if_due()

    def _plan_once(self) -> None:
        with self._table.lock:
            with self._load.timed("plan"):
                self._reconcile_sessions()
                views = self._views()
                plan = self._planner.plan(
                    self._table, views, self._clock.now_ms(), self._clock.monotonic()
                )
            self._check_waits(views)
            self.plan_count += 1
            stops = self._take_due_stops()
            if not plan.runs and not stops:
                timeout = IDLE_POLL_SECONDS
                if plan.next_due_ms is not None:
                    due = (plan.next_due_ms - self._clock.now_ms()) / 1000.0
                    timeout = min(timeout, max(0.001, due))
                self._clock.wait(self._table.changed, timeout)
                return
        for session, key, number in stops:
            session.order_stop(key, number)
        if plan.runs:
            self._start_runs(plan.runs)

    def _check_waits(self, views: Mapping[str, WorkerView]) -> None:
        """Observe the tasks that the plan has left waiting, if a check is due."""
        now = self._clock.monotonic()
        if self.step_waits.is_due(now):
            with self._load.timed("check of waits"):
                self.step_waits.check(
                    self._table, views, self._unlisted(), now, self._clock.now_ms()
                )

    def _unlisted(self) -> list[TaskKey]:
        """Return the long-running tasks with a run that its worker does not list."""
        found = []
        for session in self.sessions.values():
            runs = self._table.runs.get(session.incarnation, {})
            listed = {(task.key, task.number) for task in session.running}
            for key, task in runs.items():
                job = self._table.active.get(key.job_id)
                if job is not None and job.steps[key.step].long_running:
                    if (key, task.number) not in listed:
                        found.append(key)
        return found

    def _start_runs(self, runs: list[RunRecord]) -> None:
        sessions = [self._session_of(run) for run in runs]
        payload = encode(JobCommand(starts=RunStarts(runs=runs)))
        for run, session in zip(runs, sessions, strict=True):
            if session is not None:
                session.expect_start(run)
        try:
            with self._load.timed("commit of starts"):
                result = self._replica.propose(payload, PROPOSE_TIMEOUT_SECONDS)
        except Exception:
            for run, session in zip(runs, sessions, strict=True):
                if session is not None:
                    session.withdraw_start(run)
            raise
        if isinstance(result, Success):
            _log_starts(runs)
            accepted = result.unwrap() or [False] * len(runs)
        else:
            logging.warning("commit of %d run starts is not confirmed", len(runs))
            accepted = [False] * len(runs)
        for run, session, is_accepted in zip(runs, sessions, accepted, strict=True):
            if session is None:
                continue
            if is_accepted:
                session.order_start(run)
            else:
                session.withdraw_start(run)

    def _session_of(self, run: RunRecord) -> WorkerSession | None:
        """Return the session with the worker incarnation of a run, if there is one."""
        session = self.sessions.get(run.worker_id)
        if session is None or session.incarnation[1] != run.born_ms:
            return None
        return session

    def _take_due_stops(self) -> list[tuple[WorkerSession, TaskKey, int]]:
        found = []
        for key in list(self._table.stops_due):
            self._table.stops_due.discard(key)
            job = self._table.jobs.get(key.job_id)
            task = None if job is None else job.task(key)
            session = None if task is None else self.sessions.get(task.incarnation[0])
            if (
                task is not None
                and session is not None
                and session.incarnation == task.incarnation
            ):
                found.append((session, key, task.number))
        return found

    def _reconcile_sessions(self) -> None:
        workers = self._table.workers
        for worker_id, session in list(self.sessions.items()):
            record = workers.get(worker_id)
            if record is None or not session.is_with(record):
                self._close_session(session)
                del self.sessions[worker_id]
        for worker_id, record in workers.items():
            if worker_id not in self.sessions:
                self.sessions[worker_id] = self._open_session(record)

    def _open_session(self, record: WorkerRecord) -> WorkerSession:
        # A leader that loses its quorum may lead again in the same term, so the count
        # never starts again: workers reject tokens lower than those of former sessions.
        self._session_count += 1
        fence = self._term * SESSIONS_PER_TERM + self._session_count
        former_lease_until = self._replica.led_since() + self._limits.longest_expiry()
        incarnation = (record.worker_id, record.born_ms)
        former_lease_until = max(
            former_lease_until, self._leased_until.get(incarnation, 0.0)
        )
        session = WorkerSession(
            record,
            self._make_client(record),
            fence,
            self._table,
            self._end_batcher.propose,
            self._replica.leads,
            self._clock,
            self._limits,
            former_lease_until,
            self._load,
        )
        if self._start_threads:
            session.start()
        return session

    def _close_sessions(self) -> None:
        for session in self.sessions.values():
            self._close_session(session)
        self.sessions = {}
        with self._table.lock:
            self.step_waits.reset()

    def _close_session(self, session: WorkerSession) -> None:
        session.close()
        now = self._clock.monotonic()
        self._leased_until = {
            incarnation: until
            for incarnation, until in self._leased_until.items()
            if until > now
        }
        self._leased_until[session.incarnation] = now + self._limits.longest_expiry()

    def _views(self) -> dict[str, WorkerView]:
        """Return the workers with the capacity left by the runs in the table."""
        views = {}
        limits: dict[str, dict[str, int]] = {}
        for worker_id, session in self.sessions.items():
            record = self._table.workers.get(worker_id)
            if record is None:
                continue  # Removed since the sessions were last reconciled.
            reason = self._unusable_because(session, record)
            view = WorkerView(record, reason is None, session.grade())
            if reason is not None:
                view.unusable_because = reason
            finite_runs = 0
            for key in self._table.runs.get(session.incarnation, ()):
                job = self._table.jobs.get(key.job_id)
                if job is not None:
                    step = job.steps[key.step]
                    view.reserve(step, key[:3])
                    finite_runs += not step.long_running
            views[worker_id] = view
            view.rejects_starts = session.rejects_starts()
            view.admits_long_running = session.accepts_long_running()
            limit = session.max_new_runs(finite_runs)
            if limit is not None:
                limits.setdefault(record.service_name, {})[worker_id] = limit
        limit_new_runs(views, limits)
        return views

    def _unusable_because(
        self, session: WorkerSession, record: WorkerRecord
    ) -> WaitReason | None:
        """Return why no runs may be scheduled on a worker; None if they may."""
        if record.draining:
            return WaitReason.LEAVING
        if not session.is_responsive():
            return WaitReason.UNRESPONSIVE
        if not session.is_usable():
            return WaitReason.PAUSED
        if record.worker_id in self._draining:
            return WaitReason.DRAINING
        return None


def limit_new_runs(
    views: Mapping[str, WorkerView], limits: Mapping[str, Mapping[str, int]]
) -> None:
    """Apply the limits of circuit breakers, given by service and worker id."""
    workers = Counter(view.record.service_name for view in views.values())
    for service_name, limit_by_worker in limits.items():
        if len(limit_by_worker) > workers[service_name] * MAX_LIMITED_FRACTION:
            continue
        for worker_id, limit in limit_by_worker.items():
            views[worker_id].max_new_runs = limit


def _log_starts(runs: list[RunRecord]) -> None:
    """Log one line for each step that has tasks starting."""
    groups: dict[tuple[str, int, int], list[str]] = {}
    for run in runs:
        group = (run.job_id, run.occurrence, run.step)
        groups.setdefault(group, []).append(f"{run.index}#{run.number}@{run.worker_id}")
    for (job_id, occurrence, step), places in groups.items():
        logging.info(
            "job %s: occurrence %d, step %d: starts %s",
            job_id,
            occurrence,
            step,
            " ".join(places),
        )
