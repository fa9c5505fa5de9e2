"""Session reports: the conditions of the workers whose sessions this process holds."""

from arbutuscleat.jobs import JobTable
from arbutuscleat.wire.gen_jobs.ttypes import ListedRun, WorkerConditionRecord

from .session import WorkerSession
from .session_holding import SessionPermit
from .session_manager import SessionManager
from .worker_condition import NO_LIMIT, READY_PERCENT


class SessionReports:
    """Describes the sessions of this process, and which have changed.

    Parameters
    ----------
    table : JobTable
        The replicated job table.
    session_manager : SessionManager
        The sessions of this process.
    """

    def __init__(self, table: JobTable, session_manager: SessionManager):
        self._table = table
        self._session_manager = session_manager
        self._acknowledged: dict[str, WorkerConditionRecord] = {}

    def current(self) -> dict[str, WorkerConditionRecord]:
        """Return the conditions of all sessions by worker id."""
        with self._table.lock:
            return {
                session.worker_id: self._describe(session, permit)
                for session, permit in self._session_manager.assigned_sessions()
            }

    def changes(
        self, current: dict[str, WorkerConditionRecord]
    ) -> list[WorkerConditionRecord]:
        """Return those that differ from the last acknowledged ones."""
        known = self._acknowledged
        return [item for name, item in current.items() if known.get(name) != item]

    def acknowledge(self, reported: dict[str, WorkerConditionRecord]) -> None:
        """Record that the leader has received these conditions."""
        self._acknowledged = reported

    def forget(self) -> None:
        """Record that it is not known which conditions the leader has received."""
        self._acknowledged = {}

    def _describe(
        self, session: WorkerSession, permit: SessionPermit
    ) -> WorkerConditionRecord:
        limit = session.max_new_runs(0)
        return WorkerConditionRecord(
            worker_id=session.worker_id,
            born_ms=session.incarnation[1],
            fence=permit.fence,
            responsive=session.is_responsive(),
            usable=session.is_usable(),
            rejects_starts=session.rejects_starts(),
            grade=session.grade(),
            max_new_runs=NO_LIMIT if limit is None else limit,
            accepts_long_running=session.accepts_long_running(),
            long_running=self._long_running(session),
        )

    def _long_running(self, session: WorkerSession) -> list[ListedRun]:
        found = []
        pending = session.pending()
        for item in session.running:
            job = self._table.active.get(item.key.job_id)
            if job is not None and job.steps[item.key.step].long_running:
                ready = item.percent >= READY_PERCENT and item.key not in pending
                run = item.key.run_record(item.number, session.incarnation)
                found.append(ListedRun(run=run, ready=ready))
        return found
