"""Executor: the loop that schedules runs while this process leads.

In each iteration it asks the planner which runs to start and commits them to the
replicated log. The sessions with the workers are shared by all control instances: the
`SessionManager` of each one orders the committed runs of the workers that it holds, and
the leader knows the condition of the other workers from the reports of their holders.
"""

import threading
from collections.abc import Iterable, Iterator, Mapping, Sequence

from absl import logging
from returns.result import Success

from arbutuscleat.consensus import Replica
from arbutuscleat.core import Clock, run_loop
from arbutuscleat.jobs import JobTable, TaskKey
from arbutuscleat.scheduling import (
    Copies,
    Demand,
    Planner,
    StepWaits,
    WorkerView,
    movable_tasks,
    service_demands,
)
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen_jobs.ttypes import (
    JobCommand,
    RunRecord,
    RunStarts,
    StopRuns,
)

from .leader_load import LeaderLoad
from .run_settler import RunSettler
from .session import WorkerSession
from .session_manager import DueStop, SessionManager
from .session_registry import SessionRegistry
from .worker_condition import READY_PERCENT, WorkerCondition
from .worker_views import WorkerViews

IDLE_POLL_SECONDS = 0.25
"""Interval between plans while the table does not change."""

FOLLOWER_POLL_SECONDS = 0.025
"""Interval at which a follower checks whether it has become the leader, whether its
sessions have changed and whether stops are due."""

PROPOSE_TIMEOUT_SECONDS = 2.0
"""How long the loop waits for a proposal to be committed."""

STOP_EFFECT_SECONDS = 15.0
"""How long a run that is to be stopped counts as unavailable although its worker lists
it. An unanswered order may take effect 12 s later; after that, it was never sent."""


class Executor:
    """Schedules the tasks of accepted jobs while this process leads.

    Otherwise its loop only opens and closes the sessions of this process.

    Parameters
    ----------
    replica : Replica
        This process's member of the consensus group.
    table : JobTable
        The replicated job table.
    planner : Planner
        Decides which tasks start on which workers.
    clock : Clock
        Source of time.
    session_manager : SessionManager
        The sessions of this process.
    registry : SessionRegistry
        What the other control instances report of their sessions.
    load : LeaderLoad, optional
        Records where the leader's time goes.

    Attributes
    ----------
    plan_count : int
        Number of plans made so far.
    step_waits : StepWaits
        The steps with waiting tasks, by the latest check; guarded by the table's lock.
    """

    def __init__(
        self,
        replica: Replica,
        table: JobTable,
        planner: Planner,
        clock: Clock,
        session_manager: SessionManager,
        registry: SessionRegistry,
        load: LeaderLoad | None = None,
    ):
        self._load = LeaderLoad(clock) if load is None else load
        self._replica = replica
        self._table = table
        self._planner = planner
        self._clock = clock
        self._session_manager = session_manager
        self._worker_views = WorkerViews(table, session_manager, registry)
        self._stopping = threading.Event()
        self._term = -1
        self._draining: set[str] = set()
        self._moved: dict[TaskKey, tuple[int, float]] = {}
        """Runs stopped for a move, by task, and when their stops were ordered."""

        self.plan_count = 0
        self.step_waits = StepWaits()
        self._run_settler = RunSettler(table, planner, self.propose, clock)
        self._thread = threading.Thread(target=self._run, name="executor", daemon=True)

    @property
    def copies(self) -> Copies:
        """The copies that this process has decided on, counted."""
        return self._planner.copies

    @property
    def sessions(self) -> dict[str, WorkerSession]:
        """The open sessions of this process, by worker id."""
        return self._session_manager.sessions

    def start(self) -> None:
        """Start the loop."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the loop and close all sessions."""
        self._stopping.set()
        with self._table.lock:
            self._table.changed.notify_all()
        self._thread.join(PROPOSE_TIMEOUT_SECONDS)
        self._session_manager.close()

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
            record = self._table.workers.get(worker_id)
        if session is not None:
            session.order_stop(key, number)
        elif record is not None:
            run = key.run_record(number, (worker_id, record.born_ms))
            self.propose(JobCommand(stop_runs=StopRuns(runs=[run])))

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
            usage = self._planner.team_caps.usage
            return service_demands(self._table, service_names, now_ms, workers, usage)

    def movable_tasks(self, worker_id: str) -> list[tuple[TaskKey, int]]:
        """Return the long-running tasks that may be moved off a worker now.

        Each step limits how many of its tasks may be unavailable because of a move.
        Every task that is not known to be ready counts towards this limit. A task
        is only returned if another worker has room for it.
        """
        with self._table.lock:
            conditions = self._worker_views.conditions()
            if worker_id not in conditions:
                return []
            # The tasks listed by a session are as old as its last hold, so a moved
            # task counts as unavailable until a later run of it is ready.
            ready_runs = set()
            for other in conditions.values():
                if not other.is_responsive():
                    continue
                pending = other.pending()
                ready_runs |= {
                    (task.key, task.number)
                    for task in other.running
                    if task.percent >= READY_PERCENT
                    and task.key not in pending
                    and (task.key, task.number) not in self._table.stops_due
                    and not self._is_stop_expected(task.key, task.number)
                }
            views = self._views()
            for view in views.values():
                view.admits_long_running = False  # No move to a failing worker.
            incarnation = conditions[worker_id].incarnation
            return movable_tasks(self._table, incarnation, ready_runs, views)

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
        self._session_manager.observe_leadership()
        if not self._replica.leads():
            if self._term != -1:
                logging.info("lost the leadership of term %d", self._term)
                self._reset()
            with self._table.lock:
                self._session_manager.reconcile()
                stops = self._session_manager.take_due_stops()
            _order_stops(stops)
            self._clock.sleep(self._stopping, FOLLOWER_POLL_SECONDS)
            return
        if self._replica.term() != self._term:
            self._reset()
            self._term = self._replica.term()
            logging.info("leading term %d: scheduling begins", self._term)
        self._run_settler.settle_if_due(self._each_condition())
        self._plan_once()
        self._load.log_if_due()

    def _reset(self) -> None:
        self._term = -1
        with self._table.lock:
            self.step_waits.reset()
            self._table.done_runs.clear()  # Their times are those of another leader.

    def _plan_once(self) -> None:
        with self._table.lock:
            with self._load.timed("plan"):
                self._session_manager.reconcile()
                views = self._views()
                plan = self._planner.plan(
                    self._table, views, self._clock.now_ms(), self._clock.monotonic()
                )
            self._check_waits(views)
            self.plan_count += 1
            stops = self._session_manager.take_due_stops()
            if not plan.runs and not stops:
                timeout = IDLE_POLL_SECONDS
                if plan.next_due_ms is not None:
                    due = (plan.next_due_ms - self._clock.now_ms()) / 1000.0
                    timeout = min(timeout, max(0.001, due))
                self._clock.wait(self._table.changed, timeout)
                return
        _order_stops(stops)
        if plan.runs:
            self._start_runs(plan.runs)

    def _check_waits(self, views: Mapping[str, WorkerView]) -> None:
        """Observe the tasks that the plan has left waiting, if a check is due."""
        now = self._clock.monotonic()
        if self.step_waits.is_due(now):
            with self._load.timed("check of waits"):
                self.step_waits.check(
                    self._table,
                    views,
                    self._unlisted(),
                    now,
                    self._clock.now_ms(),
                    self._planner.team_caps.held(),
                )

    def _unlisted(self) -> list[TaskKey]:
        """Return the long-running tasks with a run that its worker does not list."""
        found = []
        for condition in self._worker_views.conditions().values():
            runs = self._table.runs.get(condition.incarnation, {})
            listed = {(task.key, task.number) for task in condition.running}
            for key, task in runs.items():
                job = self._table.active.get(key.job_id)
                if job is not None and job.steps[key.step].long_running:
                    if (key, task.number) not in listed:
                        found.append(key)
        return found

    def _start_runs(self, runs: list[RunRecord]) -> None:
        """Commit the starts of runs; the sessions order them once they are applied."""
        payload = encode(JobCommand(starts=RunStarts(runs=runs)))
        with self._load.timed("commit of starts"):
            result = self._replica.propose(payload, PROPOSE_TIMEOUT_SECONDS)
        if isinstance(result, Success):
            self._planner.team_caps.confirm_starts()
            _log_starts(runs)
        else:
            logging.warning("commit of %d run starts is not confirmed", len(runs))

    def _each_condition(self) -> Iterator[WorkerCondition]:
        """Yield the conditions of all workers; the table's lock must be held."""
        yield from self._worker_views.conditions().values()

    def _views(self) -> dict[str, WorkerView]:
        """Return the view of each worker; the table's lock must be held."""
        return self._worker_views.views(self._draining)


def _order_stops(stops: Iterable[DueStop]) -> None:
    for session, key, number in stops:
        session.order_stop(key, number)


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
