"""Run settler: records which long-running runs did not crash their worker.

A task that crashes each worker that starts it does so soon after the start. A
long-running run that has lasted is therefore settled: crashes of its worker count for
others (see `CrashCounts`). That is recorded in the log, so that a new leader knows it.
"""

from collections.abc import Callable, Iterable

from arbutuscleat.core import Clock
from arbutuscleat.jobs import JobTable
from arbutuscleat.jobs.task import TaskRun
from arbutuscleat.scheduling import Planner
from arbutuscleat.wire.gen_jobs.ttypes import JobCommand, SettleRuns

from .worker_condition import WorkerCondition

SETTLE_SECONDS = 3.0
"""Duration after which a long-running run is settled: it did not crash its worker."""

CHECK_SECONDS = 1.0
"""Interval between checks for such runs; those found share a log entry."""


class RunSettler:
    """Settles long-running runs; used by the thread of the executor only.

    Parameters
    ----------
    table : JobTable
        The replicated job table.
    planner : Planner
        Knows for how long each run has been running.
    propose : callable
        Proposes a command to the replicated log.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        table: JobTable,
        planner: Planner,
        propose: Callable[[JobCommand], bool],
        clock: Clock,
    ):
        self._table = table
        self._planner = planner
        self._propose = propose
        self._clock = clock
        self._checked_at = float("-inf")

    def settle_if_due(self, conditions: Iterable[WorkerCondition]) -> None:
        """Record the runs that have lasted, if a check is due.

        Parameters
        ----------
        conditions : iterable of WorkerCondition
            The conditions of all workers; only responsive ones are considered.
        """
        now = self._clock.monotonic()
        if now - self._checked_at < CHECK_SECONDS:
            return
        self._checked_at = now
        with self._table.lock:
            runs = [
                task.key.run_record(task.number, condition.incarnation)
                for condition in conditions
                if condition.is_responsive()
                for task in self._long_running(condition)
                if not task.settled and self._has_lasted(task, now)
            ]
        if runs:
            self._propose(JobCommand(settle=SettleRuns(runs=runs)))

    def _has_lasted(self, task: TaskRun, now: float) -> bool:
        seconds = self._planner.seconds_running(task.key, task.number, now)
        return seconds >= SETTLE_SECONDS

    def _long_running(self, condition: WorkerCondition) -> list[TaskRun]:
        """Return the tasks with a long-running run that their worker lists."""
        runs = self._table.runs.get(condition.incarnation, {})
        found = []
        for item in condition.running:
            task = runs.get(item.key)
            job = self._table.active.get(item.key.job_id)
            if task is not None and job is not None and task.number == item.number:
                if job.steps[item.key.step].long_running:
                    found.append(task)
        return found
