"""The executor: the leader's loop from the table to the workers and back.

While this replica leads it keeps a session with every worker that the table lists,
lets the planner decide what starts, logs the decision and hands it to the sessions.
A replica that no longer leads closes its sessions and orders nothing.
"""

import threading
from collections.abc import Callable, Iterable

from absl import logging
from returns.result import Success

from arbutuscleat.consensus import Replica
from arbutuscleat.core import Clock
from arbutuscleat.jobs import JobTable, TaskKey
from arbutuscleat.scheduling import (
    Demand,
    Planner,
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

from .limits import ExecutionLimits
from .session import WorkerSession
from .worker_client import WorkerClient

IDLE_SECONDS = 0.25
"""How often the loop looks when nothing changes."""

FOLLOWER_SECONDS = 0.05
"""How often a follower looks whether it leads."""

PROPOSE_SECONDS = 2.0
"""How long the loop waits for a decision to be committed."""

AT_WORK_PERCENT = 100
"""Progress of a lasting task that is past its start."""

SESSIONS_PER_TERM = 1_000_000
"""Fencing tokens that one term can give out."""

MakeClient = Callable[[WorkerRecord], WorkerClient]


class Executor:
    """Runs the tasks of accepted jobs on the workers.

    Parameters
    ----------
    replica : Replica
        This process's member of the consensus group.
    table : JobTable
        Its state.
    make_client : callable
        Makes the client of a worker.
    planner : Planner
        Decides what starts where.
    clock : Clock
        Source of time.
    limits : ExecutionLimits
        Times that leases go by.
    """

    def __init__(
        self,
        replica: Replica,
        table: JobTable,
        make_client: MakeClient,
        planner: Planner,
        clock: Clock,
        limits: ExecutionLimits,
    ):
        self._replica = replica
        self._table = table
        self._make_client = make_client
        self._planner = planner
        self._clock = clock
        self._limits = limits
        self._stopping = threading.Event()
        self._term = -1
        self._session_count = 0
        self._closing: set[str] = set()
        self._moved: dict[TaskKey, int] = {}
        self.turns = 0
        self.sessions: dict[str, WorkerSession] = {}
        self._thread = threading.Thread(target=self._run, name="executor", daemon=True)

    def start(self) -> None:
        """Start the loop."""
        self._thread.start()

    def stop(self) -> None:
        """End the loop and all sessions."""
        self._stopping.set()
        with self._table.lock:
            self._table.changed.notify_all()
        self._thread.join(PROPOSE_SECONDS)
        self._close_sessions()

    # ---- for the machine keeper ----

    def set_closing(self, worker_ids: set[str]) -> None:
        """Start nothing new on these workers from the next plan on."""
        with self._table.lock:
            if worker_ids != self._closing:
                self._closing = worker_ids
                self._table.changed.notify_all()

    def order_stop(self, worker_id: str, key: TaskKey, number: int) -> None:
        """Order the end of a run, so that its task starts elsewhere."""
        with self._table.lock:
            session = self.sessions.get(worker_id)
            active = self._table.active
            self._moved = {k: n for k, n in self._moved.items() if k.job_id in active}
            self._moved[key] = number
        if session is not None:
            session.order_stop(key, number)

    def demands(self, service_names: Iterable[str]) -> dict[str, Demand]:
        """Return what each service is asked for now."""
        with self._table.lock:
            return service_demands(self._table, service_names, self._clock.now_ms())

    def movable_tasks(self, worker_id: str) -> list[tuple[TaskKey, int]]:
        """Return the lasting tasks that may leave a worker now.

        A step names how many of its tasks may be away by our doing; any other task
        that is not seen at work counts as away.  There has to be room elsewhere.
        """
        with self._table.lock:
            session = self.sessions.get(worker_id)
            if session is None:
                return []
            # What a session has seen is up to a hold old: a task that was ordered to
            # move is away until a later run of it is seen at work.
            at_work = {
                (task.key, task.number)
                for other in self.sessions.values()
                if other.answers()
                for task in other.running
                if task.percent >= AT_WORK_PERCENT
                and task.number > self._moved.get(task.key, 0)
            }
            views = self._views()
            return movable_tasks(self._table, session.incarnation, at_work, views)

    def propose(self, command: JobCommand) -> bool:
        """Put a command through the log; False when it is not known to be in it."""
        result = self._replica.propose(encode(command), PROPOSE_SECONDS)
        return isinstance(result, Success)

    def _run(self) -> None:
        while not self._stopping.is_set():
            if not self._replica.leads():
                if self.sessions:
                    logging.info("no longer leading: orders end")
                    self._close_sessions()
                self._term = -1
                self._clock.sleep(self._stopping, FOLLOWER_SECONDS)
                continue
            if self._replica.term() != self._term:
                self._close_sessions()
                self._term = self._replica.term()
                logging.info("leading term %d: sessions begin", self._term)
            self._turn()

    def _turn(self) -> None:
        with self._table.lock:
            self._match_sessions()
            views = self._views()
            plan = self._planner.plan(self._table, views, self._clock.now_ms())
            self.turns += 1
            stops = self._due_stops()
            if not plan.runs and not stops:
                timeout = IDLE_SECONDS
                if plan.next_due_ms is not None:
                    due = (plan.next_due_ms - self._clock.now_ms()) / 1000.0
                    timeout = min(timeout, max(0.001, due))
                self._clock.wait(self._table.changed, timeout)
                return
        for session, key, number in stops:
            session.order_stop(key, number)
        if plan.runs:
            self._order(plan.runs)

    def _order(self, runs: list[RunRecord]) -> None:
        command = JobCommand(starts=RunStarts(runs=runs))
        result = self._replica.propose(encode(command), PROPOSE_SECONDS)
        if not isinstance(result, Success):
            logging.warning("starts of %d runs are not known to be logged", len(runs))
            return
        _log_starts(runs)
        for run, taken in zip(runs, result.unwrap(), strict=True):
            session = self.sessions.get(run.worker_id)
            if taken and session is not None and session.incarnation[1] == run.born_ms:
                session.order_start(run)

    def _due_stops(self) -> list[tuple[WorkerSession, TaskKey, int]]:
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

    def _match_sessions(self) -> None:
        workers = self._table.workers
        for worker_id, session in list(self.sessions.items()):
            record = workers.get(worker_id)
            if record is None or record.born_ms != session.incarnation[1]:
                session.close()
                del self.sessions[worker_id]
        for worker_id, record in workers.items():
            if worker_id not in self.sessions:
                self.sessions[worker_id] = self._begin(record)

    def _begin(self, record: WorkerRecord) -> WorkerSession:
        self._session_count += 1
        fence = self._term * SESSIONS_PER_TERM + self._session_count
        former = self._replica.led_since() + self._limits.surely_over(
            self._limits.max_lease
        )
        session = WorkerSession(
            record,
            self._make_client(record),
            fence,
            self._table,
            self.propose,
            self._replica.leads,
            self._clock,
            self._limits,
            former,
        )
        session.start()
        return session

    def _close_sessions(self) -> None:
        for session in self.sessions.values():
            session.close()
        self.sessions = {}
        self._session_count = 0

    def _views(self) -> dict[str, WorkerView]:
        """Return the workers with the room that the log's runs leave."""
        views = {}
        for worker_id, session in self.sessions.items():
            record = self._table.workers[worker_id]
            usable = session.is_usable() and not record.draining
            usable = usable and worker_id not in self._closing
            view = WorkerView(record, usable, session.grade())
            for key in self._table.runs.get(session.incarnation, ()):
                job = self._table.jobs.get(key.job_id)
                if job is not None:
                    view.take(job.steps[key.step], key[:3])
            views[worker_id] = view
        return views


def _log_starts(runs: list[RunRecord]) -> None:
    """Log one line for each step of which tasks start."""
    groups: dict[tuple[str, int, int], list[str]] = {}
    for run in runs:
        group = (run.job_id, run.occurrence, run.step)
        groups.setdefault(group, []).append(f"{run.index}#{run.number}@{run.worker_id}")
    for (job_id, occurrence, step), places in groups.items():
        logging.info(
            "job %s: %d.%d starts %s", job_id, occurrence, step, " ".join(places)
        )
