"""Crash trials: start tasks that may crash their workers apart from other jobs.

Several tasks are on a worker when it crashes, and the table counts the crash for each
of them. These rules find the one to blame (see `CrashCounts`):

- After one crash the tasks are placed anew on different workers, as far as they accept
  them, so that few of them meet a second crash together.
- After two, a task is a suspect. It starts on a worker that runs nothing of other jobs
  but settled long-running tasks, and nothing of them starts beside it: a trial. Each
  job has one trial worker at a time. If it crashes, the job is to blame.
- If no worker is free, one is kept free. After a bounded wait the suspect starts
  where the fewest others are, so that it never waits for what may not happen.
- At most half of a service's workers are isolated in this way.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from arbutuscleat.jobs import (
    MIN_CRASHES,
    SUSPECT_CRASHES,
    JobTable,
    TaskState,
    TaskStatus,
)
from arbutuscleat.wire.gen_jobs.ttypes import StepRecord

from .run_times import RunTimes
from .worker_view import WorkerView

TRIAL_SECONDS = 3.0
"""How long nothing of other jobs starts beside a suspect. A task that crashes its
worker usually does so at once."""

LONG_RUNNING_SECONDS = 2.0
"""Same as `TRIAL_SECONDS` for long-running tasks, which lose their value while they
wait."""

MAX_WAIT_SECONDS = 2.5
"""Longest wait of a suspect for a worker that runs nothing of other jobs."""

LAST_WAIT_SECONDS = 10.0
"""Same as `MAX_WAIT_SECONDS` for a task that ends by itself, after its third crash:
from then on a crash beside other jobs may end a job that is not to blame."""

MAX_ISOLATED_FRACTION = 0.5
"""Largest fraction of a service's workers that are isolated; never its only one."""

SecondsUntilIdle = Callable[[WorkerView], float]
"""Returns the expected time until a worker's finite runs have ended."""


@dataclass(slots=True)
class _Wait:
    """A job with suspects that wait for a trial.

    Parameters
    ----------
    since : float
        Monotonic time in seconds since which it waits and has no trial.
    worker_id : str
        The worker that is kept free for it; empty if there is none.
    kept_since : float
        Monotonic time in seconds since which that worker is kept free.
    crashes : int
        Largest number of crashes of its suspects.
    """

    since: float
    worker_id: str = ""
    kept_since: float = 0.0
    crashes: int = 0


class CrashTrials:
    """Trials of the suspects that the planner knows of; not thread-safe."""

    def __init__(self) -> None:
        self._waits: dict[str, _Wait] = {}
        self._views: Mapping[str, WorkerView] = {}
        self._kept: set[str] = set()
        """Workers kept free in this plan."""

        self._trials: dict[str, set[str]] = {}
        """Workers with a trial, by job."""

        self._may_isolate: Counter[str] = Counter()
        """Number of workers that may still be isolated in this plan, by service."""

    def observe(
        self,
        table: JobTable,
        views: Mapping[str, WorkerView],
        run_times: RunTimes,
        now: float,
    ) -> None:
        """Isolate the workers with a trial; called at the beginning of each plan.

        Parameters
        ----------
        table : JobTable
            The job table; the caller holds its lock.
        views : mapping of str to WorkerView
            All workers by id.
        run_times : RunTimes
            Start times of runs.
        now : float
            Monotonic time in seconds.
        """
        self._views = views
        self._kept = set()
        self._trials = {}
        tasks = table.crash_counts.tasks
        waiting = {
            key.job_id
            for key, task in tasks.items()
            if is_suspect(task) and task.status is TaskStatus.WAITING
        }
        self._waits = {job: w for job, w in self._waits.items() if job in waiting}
        if not tasks:
            self._may_isolate = Counter()
            return
        usable = [view for view in views.values() if view.usable]
        sizes = Counter(view.record.service_name for view in usable)
        self._may_isolate = Counter(
            {name: int(MAX_ISOLATED_FRACTION * n) for name, n in sizes.items()}
        )
        for key, task in tasks.items():
            for run in task.runs():
                view = views.get(run.incarnation[0])
                if view is None or view.incarnation != run.incarnation:
                    continue
                record_run(view, key.job_id)
                elapsed = run_times.elapsed(key, run.number, now)
                if is_suspect(task) and elapsed < TRIAL_SECONDS:
                    worker_id = view.record.worker_id
                    self._trials.setdefault(key.job_id, set()).add(worker_id)
                    self._isolate(view, key.job_id, elapsed < LONG_RUNNING_SECONDS)
        by_crashes = sorted(self._waits.items(), key=lambda item: -item[1].crashes)
        for job_id, wait in by_crashes:
            view = views.get(wait.worker_id)
            if view is not None and job_id not in self._trials:
                self._keep(view, job_id, wait, now)

    def workers_for(
        self,
        table: JobTable,
        step: StepRecord,
        suspects: Sequence[TaskState],
        workers: Sequence[WorkerView],
        until_idle: SecondsUntilIdle,
        now: float,
    ) -> list[WorkerView]:
        """Return the workers on which suspects of one step, or a gang, may start now.

        Parameters
        ----------
        table : JobTable
            The job table; the caller holds its lock.
        step : StepRecord
            The step.
        suspects : sequence of TaskState
            The suspects, or all tasks of a gang that has one.
        workers : sequence of WorkerView
            The workers of the service. One of them may be isolated for the job.
        until_idle : callable
            Returns the expected time until a worker's finite runs have ended.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of WorkerView
            The workers, which may still not accept the tasks; empty if they wait.
        """
        job_id, group = suspects[0].key.job_id, suspects[0].key[:3]
        wait = self._waits.setdefault(job_id, _Wait(now))
        wait.crashes = max(task.crashes for task in suspects)
        limit = MAX_WAIT_SECONDS
        if wait.crashes >= MIN_CRASHES and not step.long_running:
            limit = LAST_WAIT_SECONDS
        is_over = now - wait.since >= limit
        trial = self._trials.get(job_id, set())
        if trial and not step.gang:
            current = [view for view in workers if view.record.worker_id in trial]
            if not step.long_running:
                wait.since = now
                return current
            if not is_over or any(view.accepts(step, group) for view in current):
                return current
        self._release_unfit(wait, step, group, workers)
        others = {
            view.record.worker_id: _other_runs(table, view, job_id) for view in workers
        }
        accepting = [view for view in workers if view.accepts(step, group)]
        alone = [view for view in accepting if not others[view.record.worker_id]]
        if step.gang:
            self._keep_first(wait, step, group, workers, until_idle, now)
            return accepting if is_over else alone
        alone = [view for view in alone if self._may_be_isolated(view, job_id, wait)]
        if alone:
            return [min(alone, key=lambda view: _trial_rank(view, suspects))]
        if accepting and is_over:
            return [
                min(
                    accepting,
                    key=lambda view: (
                        view.crashed_beside(job_id),
                        others[view.record.worker_id],
                    ),
                )
            ]
        self._keep_first(wait, step, group, workers, until_idle, now)
        return []

    def record_start(self, task: TaskState, view: WorkerView, is_trial: bool) -> None:
        """Record that a plan starts a task on a worker, perhaps for a trial."""
        if task.crashes:
            record_run(view, task.key.job_id)
        if is_trial:
            wait = self._waits.get(task.key.job_id)
            if wait is not None and wait.worker_id != view.record.worker_id:
                self._release(wait)
            self._kept.discard(view.record.worker_id)
            self._trials.setdefault(task.key.job_id, set()).add(view.record.worker_id)
            self._isolate(view, task.key.job_id, True)

    def _release_unfit(
        self,
        wait: _Wait,
        step: StepRecord,
        group: tuple[str, int, int],
        workers: Sequence[WorkerView],
    ) -> None:
        """Stop keeping a worker free that cannot hold the suspect any more."""
        if wait.worker_id not in self._kept:
            return
        kept = [view for view in workers if view.record.worker_id == wait.worker_id]
        if not any(view.will_accept(step, group) for view in kept):
            self._release(wait)

    def _release(self, wait: _Wait) -> None:
        """Stop keeping a worker free, which others may use in this plan already."""
        view = self._views.get(wait.worker_id)
        wait.worker_id, kept = "", wait.worker_id
        if view is None or kept not in self._kept:
            return
        self._kept.discard(kept)
        view.isolated_for, view.keeps_out_long_running = "", False
        self._may_isolate[view.record.service_name] += 1

    def _may_be_isolated(self, view: WorkerView, job_id: str, wait: _Wait) -> bool:
        """Return whether a trial on a worker may keep other jobs from it."""
        if view.isolated_for == job_id or wait.worker_id in self._kept:
            return True
        return self._may_isolate[view.record.service_name] > 0

    def _keep_first(
        self,
        wait: _Wait,
        step: StepRecord,
        group: tuple[str, int, int],
        workers: Sequence[WorkerView],
        until_idle: SecondsUntilIdle,
        now: float,
    ) -> None:
        """Keep the worker free that is expected to be free first, unless one is."""
        if wait.worker_id in self._kept:
            return
        candidates = [view for view in workers if view.will_accept(step, group)]
        for view in sorted(candidates, key=until_idle):
            wait.kept_since = now
            if self._keep(view, group[0], wait, now):
                return

    def _keep(self, view: WorkerView, job_id: str, wait: _Wait, now: float) -> bool:
        """Keep a worker free for a job, if it may be isolated."""
        keeps_out_long_running = now - wait.kept_since < LONG_RUNNING_SECONDS
        if view.isolated_for or not self._isolate(view, job_id, keeps_out_long_running):
            return False
        wait.worker_id = view.record.worker_id
        self._kept.add(wait.worker_id)
        return True

    def _isolate(
        self, view: WorkerView, job_id: str, keeps_out_long_running: bool
    ) -> bool:
        """Isolate a worker for a job, unless too many of its service are."""
        if not view.usable or view.isolated_for not in ("", job_id):
            return False
        if not view.isolated_for:
            if not self._may_isolate[view.record.service_name]:
                return False
            self._may_isolate[view.record.service_name] -= 1
        view.isolate(job_id, keeps_out_long_running)
        return True


def is_suspect(task: TaskState) -> bool:
    """Return whether so many workers have crashed under a task that it is isolated."""
    return task.crashes >= SUSPECT_CRASHES


def record_run(view: WorkerView, job_id: str) -> None:
    """Count a run on a worker, of a task under which workers have crashed."""
    view.crashed_runs[job_id] = view.crashed_runs.get(job_id, 0) + 1


def _trial_rank(
    view: WorkerView, suspects: Sequence[TaskState]
) -> tuple[bool, int, bool, int]:
    """Return the order of idle workers for a trial; the lowest comes first.

    On the worker of the latest crash the worker itself might be at fault again.
    """
    worker_id = view.record.worker_id
    return (
        any(task.failed_on(worker_id) for task in suspects),
        view.grade,
        any(task.incarnation[0] == worker_id for task in suspects),
        sum(view.counts.values()),
    )


def _other_runs(table: JobTable, view: WorkerView, job_id: str) -> int:
    """Return the number of other jobs' runs, planned ones included, if not settled."""
    runs = sum(count for group, count in view.counts.items() if group[0] != job_id)
    return runs - sum(
        task.settled and key.job_id != job_id
        for key, task in table.runs.get(view.incarnation, {}).items()
    )
