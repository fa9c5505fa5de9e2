"""Worker draining: schedule no new runs on a worker until it is idle."""

from absl import logging

from arbutuscleat.core import Clock
from arbutuscleat.jobs import JobTable
from arbutuscleat.wire.gen_jobs.ttypes import JobCommand, RemoveWorker

from .executor import Executor
from .machine_tracker import MachineTracker

PLANS_BEFORE_ORDER = 2
"""Number of plans after which every run planned before the drain is in the log."""

LOG_AFTER_SECONDS = 5.0
"""Duration after which a drain is logged first, and again each time it has doubled. An
idle worker is drained for less."""


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
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        table: JobTable,
        executor: Executor,
        tracker: MachineTracker,
        clock: Clock,
    ):
        self._clock = clock
        self._since: dict[str, float] = {}
        self._log_at: dict[str, float] = {}
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
        self._log_long_drains()

    def reset(self) -> None:
        """End the drain of all workers."""
        if self._draining:
            self._executor.set_draining(set())
        self._draining = {}
        self._since = {}

    def is_active(self) -> bool:
        """Return whether any worker is draining."""
        return bool(self._draining)

    def drain_seconds(self) -> list[float]:
        """Return for how long each draining worker has been draining, in seconds."""
        now = self._clock.monotonic()
        return [now - since for since in self._since.values()]

    def _log_long_drains(self) -> None:
        now = self._clock.monotonic()
        self._since = {name: self._since.get(name, now) for name in self._draining}
        self._log_at = {k: v for k, v in self._log_at.items() if k in self._draining}
        for worker_id, since in self._since.items():
            age = now - since
            if age >= LOG_AFTER_SECONDS and now >= self._log_at.get(worker_id, 0.0):
                self._log_at[worker_id] = now + age
                logging.info(
                    "worker %s: draining for %.1f s, CPU %d still in use",
                    worker_id,
                    age,
                    self._tracker.cpu_in_use(worker_id),
                )

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
