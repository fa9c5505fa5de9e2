"""Worker emptiers: workers on which nothing new starts, until nothing runs there."""

from arbutuscleat.jobs import JobTable
from arbutuscleat.wire.gen_jobs.ttypes import JobCommand, RemoveWorker

from .executor import Executor
from .machine_tracker import MachineTracker

TURNS_BEFORE_ORDER = 2
"""Plans of the executor after which nothing planned before is still unlogged."""


class WorkerDrainer:
    """Has the executor start nothing new on some workers.

    Parameters
    ----------
    table : JobTable
        The replicated table.
    executor : Executor
        Starts nothing on the workers named.
    watch : MachineWatch
        Tells what runs on a worker.
    """

    def __init__(self, table: JobTable, executor: Executor, watch: MachineTracker):
        self._table = table
        self._executor = executor
        self._tracker = watch
        self._draining: dict[str, int] = {}
        """Workers being emptied, with the executor's turn when that began."""

    def drain(self, worker_ids: set[str]) -> None:
        """Empty these workers and no others."""
        turn = self._executor.plan_count
        for worker_id in worker_ids:
            self._draining.setdefault(worker_id, turn)
        for worker_id in list(self._draining):
            if worker_id not in worker_ids:
                del self._draining[worker_id]
        self._executor.set_draining(set(self._draining))

    def reset(self) -> None:
        """Empty none any more."""
        if self._draining:
            self._executor.set_draining(set())
        self._draining = {}

    def is_draining(self, worker_id: str) -> bool:
        """Return whether a worker is being emptied."""
        return worker_id in self._draining

    def is_drained(self, worker_id: str) -> bool:
        """Return whether nothing runs on a worker and nothing is on its way."""
        if not worker_id:
            return True
        closed_at = self._draining.get(worker_id)
        if closed_at is None:
            return False
        with self._table.lock:
            known = worker_id in self._table.workers
        if not known:
            return True
        if self._executor.plan_count < closed_at + TURNS_BEFORE_ORDER:
            return False
        return not self._tracker.cpu_in_use(worker_id)

    def drop(self, worker_id: str) -> None:
        """Log that a worker has ended with its machine's move or upkeep."""
        with self._table.lock:
            record = self._table.workers.get(worker_id)
        if record is not None:
            command = RemoveWorker(worker_id=worker_id, born_ms=record.born_ms)
            self._executor.propose(JobCommand(remove_worker=command))
