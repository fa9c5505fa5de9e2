"""Session manager: the sessions with workers that this process holds.

Every control instance runs one. It opens a session with each worker whose shard is
assigned to this process and closes it when the assignment ends. A run that the log
marks as running is ordered at once by the session with its worker, whichever process
has scheduled it.
"""

import threading
from collections.abc import Callable

from arbutuscleat.core import Clock
from arbutuscleat.jobs import JobTable, TaskKey
from arbutuscleat.jobs.task import WorkerIncarnation
from arbutuscleat.wire.gen_jobs.ttypes import RunRecord, WorkerRecord

from .begin_recorder import BeginRecorder
from .end_batcher import EndBatcher
from .leader_load import LeaderLoad
from .limits import ExecutionLimits
from .run_end_recorder import Propose
from .session import WorkerSession
from .session_holding import SessionHolding, SessionPermit
from .worker_client import WorkerClient

SESSIONS_PER_FENCE = 1_000_000
"""Number of fencing tokens available for each fence; a process opens far fewer sessions
in its lifetime."""

DueStop = tuple[WorkerSession, TaskKey, int]
"""The session that is to stop a run, the task, and the number of the run."""

MakeClient = Callable[[WorkerRecord], WorkerClient]


class SessionManager:
    """Opens and closes the sessions of this process, and passes orders to them.

    Parameters
    ----------
    table : JobTable
        The replicated job table.
    make_client : callable
        Creates the client of a worker.
    holding : SessionHolding
        Issues the permits of this process.
    propose : callable
        Proposes a command to the replicated log.
    clock : Clock
        Source of time.
    limits : ExecutionLimits
        Lease durations and timeouts.
    load : LeaderLoad
        Records the time from the commit of a start to its answer.
    start_threads : bool, default=True
        Whether sessions run their own threads; otherwise the caller runs their steps.

    Attributes
    ----------
    sessions : dict of str to WorkerSession
        The open sessions by worker id; guarded by the table's lock.
    """

    def __init__(
        self,
        table: JobTable,
        make_client: MakeClient,
        holding: SessionHolding,
        propose: Propose,
        clock: Clock,
        limits: ExecutionLimits,
        load: LeaderLoad,
        start_threads: bool = True,
    ):
        self._table = table
        self._make_client = make_client
        self._holding = holding
        self._clock = clock
        self._limits = limits
        self._load = load
        self._start_threads = start_threads
        self._end_batcher = EndBatcher(propose, clock)
        self._begin_recorder = BeginRecorder(table, self._end_batcher.propose, clock)
        self._session_count = 0
        self._permits: dict[str, SessionPermit] = {}
        self._leased_until: dict[WorkerIncarnation, float] = {}
        """When the leases granted by closed sessions have expired at the latest."""

        self._is_closed = threading.Event()
        self.sessions: dict[str, WorkerSession] = {}
        table.on_start = self._order_start

    def observe_leadership(self) -> None:
        """Read whether this process leads; the table's lock must not be held."""
        self._holding.observe_leadership()

    def reconcile(self) -> None:
        """Open and close sessions as the permits say; the table's lock must be held."""
        workers = self._table.workers
        for worker_id, session in list(self.sessions.items()):
            record = workers.get(worker_id)
            permit = self._holding.permit(worker_id)
            if (
                record is None
                or not session.is_with(record)
                or permit != self._permits[worker_id]
            ):
                self._close_session(worker_id)
        if self._is_closed.is_set():
            return
        for worker_id, record in workers.items():
            if worker_id not in self.sessions:
                permit = self._holding.permit(worker_id)
                if permit is not None:
                    self._permits[worker_id] = permit
                    self.sessions[worker_id] = self.open_session(record, permit)

    def take_due_stops(self) -> list[DueStop]:
        """Return the stops due in these sessions, once; the table's lock is held."""
        found = []
        for key, number in list(self._table.stops_due):
            job = self._table.jobs.get(key.job_id)
            task = None if job is None else job.task(key)
            run = None if task is None else task.run(number)
            if run is None:
                self._table.stops_due.discard((key, number))
                continue
            session = self.sessions.get(run.incarnation[0])
            if session is not None and session.incarnation == run.incarnation:
                self._table.stops_due.discard((key, number))
                found.append((session, key, number))
        return found

    def assigned_sessions(self) -> list[tuple[WorkerSession, SessionPermit]]:
        """Return the sessions held by assignment; the table's lock must be held."""
        return [
            (session, self._permits[worker_id])
            for worker_id, session in self.sessions.items()
            if self._permits[worker_id].is_assigned
        ]

    def close(self) -> None:
        """Close all sessions; no others are opened."""
        self._is_closed.set()
        with self._table.lock:
            for worker_id in list(self.sessions):
                self._close_session(worker_id)

    def open_session(
        self, record: WorkerRecord, permit: SessionPermit
    ) -> WorkerSession:
        """Open a session with a worker, under a permit."""
        # The count never starts again, as a permit can be given back and used again:
        # workers reject tokens lower than those of former sessions.
        self._session_count += 1
        fence = permit.fence * SESSIONS_PER_FENCE + self._session_count
        incarnation = (record.worker_id, record.born_ms)
        former_lease_until = max(
            permit.since + self._limits.longest_expiry(),
            self._leased_until.get(incarnation, 0.0),
        )
        session = WorkerSession(
            record,
            self._make_client(record),
            fence,
            self._table,
            self._end_batcher.propose,
            lambda: self._holding.may_order(permit),
            self._clock,
            self._limits,
            former_lease_until,
            self._load,
            self._begin_recorder,
        )
        if self._start_threads:
            session.start()
        return session

    def _close_session(self, worker_id: str) -> None:
        session = self.sessions.pop(worker_id)
        del self._permits[worker_id]
        session.close()
        now = self._clock.monotonic()
        self._leased_until = {
            incarnation: until
            for incarnation, until in self._leased_until.items()
            if until > now
        }
        self._leased_until[session.incarnation] = now + self._limits.longest_expiry()

    def _order_start(self, run: RunRecord) -> None:
        """Order the start of a run that the log has just marked as running.

        Without a session, the holder's next hold finds that the run is missing.
        """
        session = self.sessions.get(run.worker_id)
        if session is not None and session.incarnation[1] == run.born_ms:
            session.order_start(run)
