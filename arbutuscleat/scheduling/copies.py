"""Copies: second runs of tasks whose first one is silent or takes far too long.

Only steps that permit it (`speculative`) get copies, only of tasks that end by
themselves, and at most one beside a run. The decision answers the idle room of a
service at the end of a plan: nothing is copied while a task of the service waits that
one of its workers could run, and copies take a small share of the room only. The first
run that is done ends the task; the log holds both runs (see `JobTable`).

A run is silent if the holder of its worker's session says that the worker does not
answer. The lease goes on then, so the task could not start elsewhere before it ends. A
run is slow if it takes far longer than is usual for its kind, and than the estimate of
its step. A slow worker is a reason for a copy; a task that is long by itself takes as
long again. Which of the two it is shows in other runs of the worker, and in whether
copies are done first: after some that were not, few are made.
"""

from collections import Counter
from collections.abc import Hashable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from absl import logging

from arbutuscleat.jobs import JobState, JobTable, TaskKey, TaskState, may_have_copy
from arbutuscleat.jobs.task import WorkerIncarnation
from arbutuscleat.wire.gen_jobs.ttypes import RunRecord, StepRecord

from .objective import objective_at_ms
from .run_ratios import RunRatios
from .run_times import RunTimes
from .worker_view import WorkerView

SILENT_SECONDS = 0.45
"""How long a worker is silent before its runs get copies. A hold without an answer is
sent again at once, with a timeout of 0.4 s: a single lost answer is no silence."""

SLOW_FACTOR = 2.5
"""Multiple of the usual run time from which on a run is slow. Estimates may be off by
half each way, so that runs differ by a factor of up to 3 without being slow; those
whose estimate was far too low are few."""

SLOW_WORKER_FACTOR = 1.5
"""The same on a worker known to be slow: most of its runs will take as long."""

SLOW_MARGIN_SECONDS = 0.3
"""Added to both limits, for the delays of a start and of the report of an end."""

SLOW_CHECK_SECONDS = 0.2
"""Interval at which runs are compared with their limits."""

MAX_SILENT_SHARE = 0.25
"""Largest share of a service's room that copies may have if they are of silent runs:
about that of a rack or a small data centre, whose runs are likely to be lost."""

MAX_SLOW_SHARE = 0.1
"""The same for copies of slow runs, which mostly cost work that is done anyway."""

MIN_IDLE_SHARE = 0.1
"""Share of a service's room that copies leave idle, for the jobs that arrive next."""

MAX_COPIES = 16
"""Number of copies in one plan."""

MAX_TRIES = 2
"""Number of copies made beside one run: a second one if the first was lost."""

MAX_CREDIT = 4.0
"""Number of copies of slow runs on sound workers that may be made in a row without one
of them being done first."""

CREDIT_SECONDS = 10.0
"""Time after which one more such copy may be made."""

WIN_CREDIT = 2.0
"""What a copy that is done first adds to that number."""

PRUNE_SECONDS = 10.0
"""Interval at which runs that have ended otherwise are forgotten."""


class CopyReason(StrEnum):
    """Why a copy is made."""

    SILENT = "silent worker"
    SLOW_WORKER = "slow worker"
    SLOW = "slow run"


@dataclass(frozen=True, slots=True)
class _Copy:
    """A copy that was planned: its number, that of the run beside, and the reason."""

    number: int
    first: int
    reason: CopyReason
    service: str
    step: StepRecord


@dataclass(frozen=True, slots=True)
class _Case:
    """A run that may get a copy, and the time by which its job should be complete."""

    objective_ms: int
    job: JobState
    task: TaskState
    reason: CopyReason
    seconds: float


class Copies:
    """Decides on copies, at the end of each plan; not thread-safe.

    Attributes
    ----------
    started, won, lost : Counter of CopyReason
        Copies planned, done before the run beside them, and not.
    """

    def __init__(self) -> None:
        self.started: Counter[CopyReason] = Counter()
        self.won: Counter[CopyReason] = Counter()
        self.lost: Counter[CopyReason] = Counter()
        self._ratios = RunRatios()
        self._watched: dict[tuple[TaskKey, int], str] = {}
        """Runs that may become slow, started by this planner, with their workers."""

        self._copies: dict[TaskKey, _Copy] = {}
        self._tries: Counter[tuple[TaskKey, int]] = Counter()
        self._silent_since: dict[WorkerIncarnation, float] = {}
        self._waiting: set[str] = set()
        self._credit = MAX_CREDIT
        self._credit_at = 0.0
        self._checked_at = 0.0
        self._pruned_at = 0.0

    def begin_plan(self) -> None:
        """Begin a plan: no task is known to wait."""
        self._waiting.clear()

    def record_waiting(
        self, service: str, steps: Iterable[StepRecord], workers: Sequence[WorkerView]
    ) -> None:
        """Record tasks that a plan leaves waiting, though a worker could run them."""
        if service in self._waiting:
            return
        for step in steps:
            if any(view.fits_if_idle(step) for view in workers):
                self._waiting.add(service)
                return

    def plan(
        self,
        table: JobTable,
        views: Mapping[str, WorkerView],
        by_service: Mapping[str, Sequence[WorkerView]],
        planned: Sequence[RunRecord],
        run_times: RunTimes,
        now: float,
    ) -> list[RunRecord]:
        """Return the copies to start now.

        Parameters
        ----------
        table : JobTable
            The job table; the caller holds its lock.
        views : mapping of str to WorkerView
            All workers by id. Capacity for the copies is reserved in them.
        by_service : mapping of str to sequence of WorkerView
            The usable workers of each service.
        planned : sequence of RunRecord
            The other runs of this plan.
        run_times : RunTimes
            Start times of runs.
        now : float
            Monotonic time in seconds.
        """
        self._learn(table, views, run_times, now)
        self._watch(table, planned)
        cases = self._silent_cases(table, views, run_times, now)
        if now - self._checked_at >= SLOW_CHECK_SECONDS:
            self._checked_at = now
            cases += self._slow_cases(table, views, run_times, now)
        cases.sort(key=lambda case: case.objective_ms)
        runs: list[RunRecord] = []
        for case in cases:
            if len(runs) >= MAX_COPIES:
                break
            service = table.service_of(case.job)
            if service in self._waiting:
                continue
            found = self._place(case, by_service.get(service, ()), views, service)
            if found is not None:
                run_times.record_start(TaskKey.of(found), found.number, now)
                runs.append(found)
        return runs

    # ---- what has ended ----

    def _learn(
        self,
        table: JobTable,
        views: Mapping[str, WorkerView],
        run_times: RunTimes,
        now: float,
    ) -> None:
        """Take the runs that were done since the last plan."""
        earned = (now - self._credit_at) / CREDIT_SECONDS
        self._credit = min(MAX_CREDIT, self._credit + max(0.0, earned))
        self._credit_at = now
        while table.done_runs:
            key, number, (worker_id, _) = table.done_runs.popleft()
            self._watched.pop((key, number), None)
            self._settle_copy(key, number)
            job = table.jobs.get(key.job_id)
            seconds = run_times.known(key, number, now)
            if job is None or seconds is None:
                continue
            step = job.steps[key.step]
            kind = _kind(job, key.step, views.get(worker_id))
            self._ratios.record(kind, worker_id, seconds, step.estimated_ms / 1000.0)
        for key, copy in list(self._copies.items()):
            if not table.is_current_run(key, copy.number):
                del self._copies[key]
                self.lost[copy.reason] += 1
        if now - self._pruned_at >= PRUNE_SECONDS:
            self._pruned_at = now
            self._prune(table)

    def _settle_copy(self, key: TaskKey, number: int) -> None:
        copy = self._copies.pop(key, None)
        if copy is None:
            return
        won = number == copy.number
        (self.won if won else self.lost)[copy.reason] += 1
        if won and copy.reason is CopyReason.SLOW:
            self._credit = min(MAX_CREDIT, self._credit + WIN_CREDIT)
        logging.info(
            "task %s is done: run %d was first, its copy was run %d beside run %d (%s)",
            key,
            number,
            copy.number,
            copy.first,
            copy.reason,
        )

    def _prune(self, table: JobTable) -> None:
        self._watched = {
            (key, number): worker_id
            for (key, number), worker_id in self._watched.items()
            if table.is_current_run(key, number)
        }
        self._tries = Counter(
            {run: n for run, n in self._tries.items() if table.is_current_run(*run)}
        )

    def _watch(self, table: JobTable, planned: Iterable[RunRecord]) -> None:
        for run in planned:
            job = table.active.get(run.job_id)
            if job is not None and _permits(job.steps[run.step]):
                self._watched[TaskKey.of(run), run.number] = run.worker_id

    # ---- which runs ----

    def _silent_cases(
        self,
        table: JobTable,
        views: Mapping[str, WorkerView],
        run_times: RunTimes,
        now: float,
    ) -> list[_Case]:
        found = []
        silent = [view for view in views.values() if view.is_silent]
        since = {
            v.incarnation: self._silent_since.get(v.incarnation, now) for v in silent
        }
        self._silent_since = since
        for incarnation, at in since.items():
            if now - at < SILENT_SECONDS:
                continue
            for key, run in table.runs.get(incarnation, {}).items():
                task = _candidate(table, key, run.number)
                if task is not None:
                    seconds = run_times.elapsed(key, run.number, now)
                    found.append(_case(table, task, CopyReason.SILENT, seconds))
        return found

    def _slow_cases(
        self,
        table: JobTable,
        views: Mapping[str, WorkerView],
        run_times: RunTimes,
        now: float,
    ) -> list[_Case]:
        found = []
        for (key, number), worker_id in self._watched.items():
            job = table.active.get(key.job_id)
            seconds = run_times.known(key, number, now)
            if job is None or seconds is None:
                continue
            estimate = job.steps[key.step].estimated_ms / 1000.0
            limit = SLOW_WORKER_FACTOR * estimate + SLOW_MARGIN_SECONDS
            if seconds < limit:
                continue
            usual = self._ratios.usual(_kind(job, key.step, views.get(worker_id)))
            if usual is None:
                continue
            expected = estimate * max(1.0, usual)
            is_slow = self._ratios.is_slow(worker_id)
            factor = SLOW_WORKER_FACTOR if is_slow else SLOW_FACTOR
            if seconds < factor * expected + SLOW_MARGIN_SECONDS:
                continue
            task = _candidate(table, key, number)
            if task is not None:
                reason = CopyReason.SLOW_WORKER if is_slow else CopyReason.SLOW
                found.append(_case(table, task, reason, seconds))
        return found

    # ---- where ----

    def _place(
        self,
        case: _Case,
        workers: Sequence[WorkerView],
        views: Mapping[str, WorkerView],
        service: str,
    ) -> RunRecord | None:
        task, key = case.task, case.task.key
        step = case.job.steps[key.step]
        if self._tries[key, task.number] >= MAX_TRIES:
            return None
        if case.reason is CopyReason.SLOW and self._credit < 1.0:
            return None
        if not self._has_room(step, case.reason, workers, service):
            return None
        view = self._worker_for(case, step, workers, views.get(task.incarnation[0]))
        if view is None or not may_have_copy(case.job, task, view.record.worker_id):
            return None
        view.reserve(step, key[:3])
        if case.reason is CopyReason.SLOW:
            self._credit -= 1.0
        run = key.run_record(task.last_number + 1, view.incarnation)
        run.beside = True
        self._tries[key, task.number] += 1
        self._copies[key] = _Copy(run.number, task.number, case.reason, service, step)
        self.started[case.reason] += 1
        logging.info(
            "job %s, step %d, task %d: run %d on worker %s gets a copy as run %d on "
            "worker %s after %.1f s, estimate %.1f s: %s",
            key.job_id,
            key.step,
            key.task_index,
            task.number,
            task.incarnation[0],
            run.number,
            view.record.worker_id,
            case.seconds,
            step.estimated_ms / 1000.0,
            case.reason,
        )
        return run

    def _has_room(
        self,
        step: StepRecord,
        reason: CopyReason,
        workers: Sequence[WorkerView],
        service: str,
    ) -> bool:
        """Return whether the idle room of a service is enough for one more copy."""
        share = MAX_SILENT_SHARE if reason is CopyReason.SILENT else MAX_SLOW_SHARE
        copied = [
            copy.step for copy in self._copies.values() if copy.service == service
        ]
        for asked, used, idle, room in (
            (
                step.cpu,
                sum(other.cpu for other in copied),
                sum(max(0, view.cpu) for view in workers),
                sum(view.record.cpu for view in workers),
            ),
            (
                step.mem_mb,
                sum(other.mem_mb for other in copied),
                sum(max(0, view.mem_mb) for view in workers),
                sum(view.record.mem_mb for view in workers),
            ),
            (
                step.gpu,
                sum(other.gpu for other in copied),
                sum(max(0, view.gpu) for view in workers),
                sum(view.record.gpu for view in workers),
            ),
        ):
            if asked and used + asked > share * room:
                return False
            if asked and idle - asked < MIN_IDLE_SHARE * room:
                return False
        return True

    def _worker_for(
        self,
        case: _Case,
        step: StepRecord,
        workers: Sequence[WorkerView],
        former: WorkerView | None,
    ) -> WorkerView | None:
        """Return a sound worker for a copy: on another rack if one accepts it."""
        group = case.task.key[:3]
        rack = former.rack if former is not None else ""
        found = [
            view
            for view in workers
            if view.record.worker_id != case.task.incarnation[0]
            and not view.grade
            and view.max_new_runs is None
            and not view.isolated_for
            and not self._ratios.is_slow(view.record.worker_id)
            and view.accepts(step, group)
        ]
        return min(
            found,
            key=lambda view: (
                bool(rack) and view.rack == rack,
                bool(step.data_rack) and view.rack != step.data_rack,
                view.cpu,
                view.record.worker_id,
            ),
            default=None,
        )


def _permits(step: StepRecord) -> bool:
    return bool(step.speculative) and not (step.gang or step.long_running or step.fills)


def _candidate(table: JobTable, key: TaskKey, number: int) -> TaskState | None:
    """Return the task of a run that may get a copy, or None.

    Tasks under which workers have crashed get none, nor do those whose job would fail
    with one more failure, nor those of teams with a cap, whose use is not known here.
    """
    job = table.active.get(key.job_id)
    task = None if job is None else job.task(key)
    if job is None or task is None or not _permits(job.steps[key.step]):
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
) -> _Case:
    job = table.active[task.key.job_id]
    objective = objective_at_ms(job, task.key.occurrence, table.queue_of(job))
    return _Case(objective, job, task, reason, seconds)


def _kind(job: JobState, number: int, view: WorkerView | None) -> Hashable:
    """Return the kind of a task: its queue, what it runs, whether its data is far."""
    step = job.steps[number]
    is_far = bool(step.data_rack) and (view is None or view.rack != step.data_rack)
    return (job.record.queue, step.image or number, is_far)
