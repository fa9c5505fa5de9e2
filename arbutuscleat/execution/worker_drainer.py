"""Worker draining: schedule no new runs on a worker until it is idle."""

from arbutuscleat.jobs import JobTable
from arbutuscleat.wire.gen_jobs.ttypes import JobCommand, RemoveWorker

from .executor import Executor
from .machine_tracker import MachineTracker

PLANS_BEFORE_ORDER = 2
"""Number of plans after which every run planned before the drain is in the log."""


class WorkerDrainer:
    """Drains workers before their machines are moved or serviced.

    Parameters
    ----------
    table : JobTable
        The replicated job table.
    executor : Executor
        Schedules no new runs on draining workers.
    tracker : MachineTracker
        Reports the CPU in use on a worker.
    """

    def __init__(self, table: JobTable, executor: Executor, tracker: MachineTracker):
        self._table = table
        self._executor = executor
        self._tracker = tracker
        self._draining: dict[str, int] = {}
        """Draining workers, with the executor's plan count when the drain began."""

    def drain(self, worker_ids: set[str]) -> None:
        """Drain these workers, and end the drain of all others."""
        plan_count = self._executor.plan_count
        for worker_id in worker_ids:
            self._draining.setdefault(worker_id, plan_count)
        for worker_id in list(self._draining):
            if worker_id not in worker_ids:
                del self._draining[worker_id]
        self._executor.set_draining(set(self._draining))

    def reset(self) -> None:
        """End the drain of all workers."""
        if self._draining:
            self._executor.set_draining(set())
        self._draining = {}

    def is_active(self) -> bool:
        """Return whether any worker is draining."""
        return bool(self._draining)

    def is_draining(self, worker_id: str) -> bool:
        """Return whether a worker is draining."""
        return worker_id in self._draining

    def is_drained(self, worker_id: str) -> bool:
        """Return whether a draining worker has no runs left, planned ones included."""
        if not worker_id:
            return True
        initial_count = self._draining.get(worker_id)
        if initial_count is None:
            return False
        with self._table.lock:
            known = worker_id in self._table.workers
        if not known:
            return True
        if self._executor.plan_count < initial_count + PLANS_BEFORE_ORDER:
            return False
        return not self._tracker.cpu_in_use(worker_id)

    def remove_worker(self, worker_id: str) -> None:
        """Remove from the table a worker that a move or upkeep has ended."""
        with self._table.lock:
            record = self._table.workers.get(worker_id)
        if record is not None:
            command = RemoveWorker(worker_id=worker_id, born_ms=record.born_ms)
            self._executor.propose(JobCommand(remove_worker=command))
