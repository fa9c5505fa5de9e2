"""Worker views: what the leader knows about each worker when it plans.

It joins three sources: the registration and the runs in the job table, the sessions of
this process, and what the holders of the other sessions report.
"""

from collections import Counter
from collections.abc import Mapping

from arbutuscleat.jobs import JobTable
from arbutuscleat.scheduling import UsageCache, WaitReason, WorkerView
from arbutuscleat.wire.gen_jobs.ttypes import WorkerRecord

from .session_manager import SessionManager
from .session_registry import SessionRegistry
from .worker_condition import ReportedCondition, WorkerCondition

MAX_LIMITED_FRACTION = 0.34
"""Largest fraction of a service's workers that circuit breakers may limit. If more
workers fail their runs, the jobs are the likely cause."""


class WorkerViews:
    """Conditions and free capacity of all workers; guarded by the table's lock.

    Parameters
    ----------
    table : JobTable
        The replicated job table.
    session_manager : SessionManager
        The sessions of this process.
    registry : SessionRegistry
        What the other control instances report of their sessions.
    """

    def __init__(
        self,
        table: JobTable,
        session_manager: SessionManager,
        registry: SessionRegistry,
    ):
        self._table = table
        self._session_manager = session_manager
        self._registry = registry
        self._usage_cache = UsageCache()

    def conditions(self) -> dict[str, WorkerCondition]:
        """Return the condition of each worker in the table, by worker id."""
        conditions: dict[str, WorkerCondition] = {}
        reported = self._registry.conditions(self._table.session_assignments)
        sessions = self._session_manager.sessions
        for worker_id, record in self._table.workers.items():
            incarnation = (worker_id, record.born_ms)
            condition: WorkerCondition | None = sessions.get(worker_id)
            if condition is None:
                condition = reported.get(worker_id)
            if condition is None or condition.incarnation != incarnation:
                condition = ReportedCondition(incarnation)
            conditions[worker_id] = condition
        return conditions

    def views(self, draining: set[str]) -> dict[str, WorkerView]:
        """Return the workers with the capacity left by the runs in the table.

        Parameters
        ----------
        draining : set of str
            Ids of workers on which no new runs may be scheduled.
        """
        views = {}
        limits: dict[str, dict[str, int]] = {}
        for worker_id, condition in self.conditions().items():
            record = self._table.workers[worker_id]
            reason = _unusable_because(condition, record, draining)
            view = WorkerView(record, reason is None, condition.grade())
            if reason is not None:
                view.unusable_because = reason
            view.is_silent = condition.is_known() and not condition.is_responsive()
            usage = self._usage_cache.usage(self._table, condition.incarnation)
            usage.take_from(view)
            views[worker_id] = view
            view.rejects_starts = condition.rejects_starts()
            view.admits_long_running = condition.accepts_long_running()
            limit = condition.max_new_runs(usage.finite_runs)
            if limit is not None:
                limits.setdefault(record.service_name, {})[worker_id] = limit
        self._usage_cache.prune(self._table)
        limit_new_runs(views, limits)
        return views


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


def _unusable_because(
    condition: WorkerCondition, record: WorkerRecord, draining: set[str]
) -> WaitReason | None:
    """Return why no runs may be scheduled on a worker; None if they may."""
    if record.draining or record.leaving:
        return WaitReason.LEAVING
    if not condition.is_responsive():
        return WaitReason.UNRESPONSIVE
    if not condition.is_usable():
        return WaitReason.PAUSED
    if record.worker_id in draining:
        return WaitReason.DRAINING
    return None
