"""Copy cases: which runs may get a copy, because they are silent or slow.

A run is silent if the holder of its worker's session reports that the worker does not
answer. The lease goes on then, so the task could not start elsewhere before it ends.

A run is slow if it takes far longer than is usual for its kind, than the estimate of
its step and than most of the step's tasks, on a worker that has answered all the time.
A slow worker is a reason for a copy; a task that is long by itself takes as long again.
Which of the two it is shows in other runs of the worker.
"""

from collections.abc import Hashable, Iterable, Mapping, Set
from dataclasses import dataclass
from enum import StrEnum

from arbutuscleat.jobs import JobState, JobTable, TaskKey, TaskState, TaskStatus
from arbutuscleat.jobs.task import WorkerIncarnation
from arbutuscleat.wire.gen_jobs.ttypes import RunRecord, StepRecord

from .objective import objective_at_ms
from .run_ratios import RunRatios
from .run_times import RunTimes
from .wait_reason import WaitReason
from .worker_view import WorkerView

SILENT_SECONDS = 0.45
"""How long a worker is silent before its runs get copies. A hold without an answer is
sent again at once, with a timeout of 0.4 s: a single lost answer is no silence."""

SLOW_FACTOR = 2.5
"""Multiple of the usual run time from which on a run is slow. Estimates may be off by
half each way, so that runs differ by a factor of up to 3 without being slow; those
whose estimate was far too low are few."""

SLOW_MARGIN_SECONDS = 0.3
"""Added to the limits, for the delays of a start and of the report of an end."""

MIN_GAIN_SECONDS = 0.5
"""Least time that a copy of a slow run is expected to save, and least usual run time of
its kind: objectives are seconds, and a start and a report take a part of one."""

SLOW_CHECK_SECONDS = 0.2
"""Interval at which runs are compared with their limits."""

PRUNE_SECONDS = 10.0
"""Interval at which runs that have ended otherwise are forgotten."""

_DISTURBED = (WaitReason.UNRESPONSIVE, WaitReason.PAUSED)


class CopyReason(StrEnum):
    """Why a copy is made."""

    SILENT = "silent worker"
    SLOW_WORKER = "slow worker"
    SLOW = "slow run"


@dataclass(frozen=True, slots=True)
class CopyCase:
    """A run that may get a copy, and the time by which its job should be complete.

    Parameters
    ----------
    objective_ms : int
        The objective of the job in Unix milliseconds.
    job : JobState
        The job.
    task : TaskState
        The task.
    reason : CopyReason
        Why its run may get a copy.
    seconds : float
        How long the run has been running, as far as this leader knows.
    """

    objective_ms: int
    job: JobState
    task: TaskState
    reason: CopyReason
    seconds: float


class CopyCases:
    """Finds the runs that may get a copy; not thread-safe.

    Attributes
    ----------
    ratios : RunRatios
        What is known of run times.
    """

    def __init__(self) -> None:
        self.ratios = RunRatios()
        self._watched: dict[tuple[TaskKey, int], str] = {}
        """Runs that may become slow, started by this planner, with their workers."""

        self._silent_since: dict[WorkerIncarnation, float] = {}
        self._disturbed_at: dict[str, float] = {}
        """When each worker was last seen not to take runs, for a reason of its own."""

        self._checked_at = 0.0
        self._pruned_at = 0.0

    def record_done(
        self,
        table: JobTable,
        key: TaskKey,
        number: int,
        view: WorkerView | None,
        seconds: float | None,
    ) -> None:
        """Record a run that was done, on a worker that may be gone since.

        Parameters
        ----------
        table : JobTable
            The job table; the caller holds its lock.
        key : TaskKey
            The task.
        number : int
            Number of the run.
        view : WorkerView or None
            Its worker.
        seconds : float or None
            How long it took; None if that is not known.
        """
        self._watched.pop((key, number), None)
        job = table.jobs.get(key.job_id)
        if job is None or seconds is None or view is None:
            return
        kind = _kind(job, key.step, view)
        estimate = job.steps[key.step].estimated_ms / 1000.0
        self.ratios.record(kind, view.record.worker_id, seconds, estimate)

    def watch(self, table: JobTable, planned: Iterable[RunRecord]) -> None:
        """Watch the runs that a plan starts."""
        for run in planned:
            job = table.active.get(run.job_id)
            if job is not None and _permits(job.steps[run.step]):
                self._watched[TaskKey.of(run), run.number] = run.worker_id

    def find(
        self,
        table: JobTable,
        views: Mapping[str, WorkerView],
        full: Set[str],
        run_times: RunTimes,
        now: float,
    ) -> list[CopyCase]:
        """Return the runs that may get a copy, by the objectives of their jobs.

        Parameters
        ----------
        table : JobTable
            The job table; the caller holds its lock.
        views : mapping of str to WorkerView
            All workers by id.
        full : set of str
            Services in which no copies are made now.
        run_times : RunTimes
            Start times of runs.
        now : float
            Monotonic time in seconds.
        """
        self._observe(views, now)
        found = self._silent_cases(table, full, run_times, now)
        if now - self._checked_at >= SLOW_CHECK_SECONDS:
            self._checked_at = now
            found += self._slow_cases(table, views, full, run_times, now)
        return sorted(found, key=lambda case: case.objective_ms)

    def prune(self, table: JobTable, now: float) -> None:
        """Forget runs that have ended and workers that are gone, if this is due."""
        if now - self._pruned_at < PRUNE_SECONDS:
            return
        self._pruned_at = now
        self._watched = {
            (key, number): worker_id
            for (key, number), worker_id in self._watched.items()
            if table.is_current_run(key, number)
        }
        self._disturbed_at = {
            name: at for name, at in self._disturbed_at.items() if name in table.workers
        }

    def _observe(self, views: Mapping[str, WorkerView], now: float) -> None:
        since = {}
        for name, view in views.items():
            if view.is_silent:
                since[view.incarnation] = self._silent_since.get(view.incarnation, now)
            if not view.usable and view.unusable_because in _DISTURBED:
                self._disturbed_at[name] = now
        self._silent_since = since

    def _silent_cases(
        self, table: JobTable, full: Set[str], run_times: RunTimes, now: float
    ) -> list[CopyCase]:
        found = []
        for incarnation, at in self._silent_since.items():
            if now - at < SILENT_SECONDS:
                continue
            for key, run in table.runs.get(incarnation, {}).items():
                task = _candidate(table, key, run.number, full)
                if task is not None:
                    seconds = run_times.elapsed(key, run.number, now)
                    found.append(_case(table, task, CopyReason.SILENT, seconds))
        return found

    def _slow_cases(
        self,
        table: JobTable,
        views: Mapping[str, WorkerView],
        full: Set[str],
        run_times: RunTimes,
        now: float,
    ) -> list[CopyCase]:
        found = []
        for (key, number), worker_id in self._watched.items():
            job = table.active.get(key.job_id)
            seconds = run_times.known(key, number, now)
            if job is None or seconds is None:
                continue
            estimate = job.steps[key.step].estimated_ms / 1000.0
            if seconds < estimate + SLOW_MARGIN_SECONDS:
                continue
            reason = self._why_slow(job, key, worker_id, views, seconds)
            if reason is None or not _are_most_done(job, key):
                continue
            if now - self._disturbed_at.get(worker_id, float("-inf")) <= seconds:
                continue
            task = _candidate(table, key, number, full)
            if task is not None:
                found.append(_case(table, task, reason, seconds))
        return found

    def _why_slow(
        self,
        job: JobState,
        key: TaskKey,
        worker_id: str,
        views: Mapping[str, WorkerView],
        seconds: float,
    ) -> CopyReason | None:
        """Return why a run of some seconds is slow; None if it is not known to be."""
        usual = self.ratios.usual(_kind(job, key.step, views.get(worker_id)))
        if usual is None:
            return None
        expected = job.steps[key.step].estimated_ms / 1000.0 * max(1.0, usual)
        if expected < MIN_GAIN_SECONDS or seconds < expected + SLOW_MARGIN_SECONDS:
            return None
        if seconds >= SLOW_FACTOR * expected + SLOW_MARGIN_SECONDS:
            return CopyReason.SLOW
        if self.ratios.is_slow(worker_id):
            left = self.ratios.slowness(worker_id) * expected - seconds
            if left - expected >= MIN_GAIN_SECONDS:
                return CopyReason.SLOW_WORKER
        return None


def _are_most_done(job: JobState, key: TaskKey) -> bool:
    """Return whether at least half of a step's other tasks are done."""
    others = [t for t in job.tasks(key.occurrence, key.step) if t.key != key]
    return 2 * sum(t.status is TaskStatus.DONE for t in others) >= len(others)


def _permits(step: StepRecord) -> bool:
    return bool(step.speculative) and not (step.gang or step.long_running or step.fills)


def _candidate(
    table: JobTable, key: TaskKey, number: int, full: Set[str]
) -> TaskState | None:
    """Return the task of a run that may get a copy, or None.

    Tasks under which workers have crashed get none, nor do those whose job would fail
    with one more failure, nor those of teams with a cap, whose use is not known here.
    """
    job = table.active.get(key.job_id)
    task = None if job is None else job.task(key)
    if job is None or task is None or not _permits(job.steps[key.step]):
        return None
    if table.service_of(job) in full:
        return None
    if task.number != number or task.copy is not None or not task.has_run():
        return None
    if task.ending or task.crashes or task.uncertain_crashes:
        return None
    if task.failures + 1 >= table.max_attempts_of(job):
        return None
    team = None if table.config is None else table.config.team_of(job.record)
    if team is not None and (team.cap.cpu or team.cap.mem_mb or team.cap.gpu):
        return None
    return task


def _case(
    table: JobTable, task: TaskState, reason: CopyReason, seconds: float
) -> CopyCase:
    job = table.active[task.key.job_id]
    objective = objective_at_ms(job, task.key.occurrence, table.queue_of(job))
    return CopyCase(objective, job, task, reason, seconds)


def _kind(job: JobState, number: int, view: WorkerView | None) -> Hashable:
    """Return the kind of a task: its queue, what it runs, whether its data is far."""
    step = job.steps[number]
    is_far = bool(step.data_rack) and (view is None or view.rack != step.data_rack)
    return (job.record.queue, step.image or number, is_far)
