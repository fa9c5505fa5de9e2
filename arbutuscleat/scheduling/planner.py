"""Planner: select the waiting tasks to start now, and a worker for each.

The planner is designed for loads in which one queue at a time needs more capacity than
its workers have. Long-running tasks come first, because they have a value for as long
as they run. If some fit nowhere, capacity is reserved for the first of them; finite
tasks that do not delay it may use it meanwhile. A gang that does not fit reserves
capacity in the same way when its turn comes. Jobs that can still meet their
objective come next, by the priority of their queue and then by the latest time at which
they have to start. Jobs that are already late use the remaining capacity. Tasks under
which workers have crashed start apart from other jobs (see `CrashTrials`). If the
configuration has teams, their caps limit what starts (see `TeamCaps`), and their
weights say whose job comes first (see `fair_turns`).
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import takewhile

from arbutuscleat.jobs import JobTable, TaskKey, TaskState, TaskStatus
from arbutuscleat.wire.gen_jobs.ttypes import RunRecord, StepRecord

from .backfill import ExpectedEnd, reserve_capacity
from .candidates import Candidate, CandidateFinder
from .copies import Copies
from .crash_trials import CrashTrials, is_suspect
from .failed_tasks import FailedTasks
from .fair_order import Shares, Turn, fair_turns, service_shares
from .full_services import FullServices
from .run_times import RunTimes
from .team_caps import TeamCaps
from .worker_view import WorkerView

MAX_STARTS = 64
"""Approximate limit of runs per plan, which bounds how long the table is locked. The
plan ends with the job that reaches it."""

OTHER_WORKER_WAIT_SECONDS = 2.0
"""Longest wait of a task that has failed on the only worker that accepts it now, for
another one. It spans a short task and the interval after which a worker that fails
everything gets no new runs."""

LAST_ATTEMPT_WAIT_SECONDS = 8.0
"""Same as `OTHER_WORKER_WAIT_SECONDS`, before the last attempt of a finite task on a
worker where no run has succeeded since: as long as a circuit breaker gives a worker no
new runs at most. After it the job may fail; before, it is at worst late."""


@dataclass(frozen=True)
class Plan:
    """The runs to start now.

    Parameters
    ----------
    runs : list of RunRecord
        The runs to commit to the log and to order.
    next_due_ms : int or None
        Due time of the next occurrence in Unix milliseconds; None if there is none.
    """

    runs: list[RunRecord]
    next_due_ms: int | None = None


_Blocked = tuple[StepRecord, Sequence[TaskState]]
"""A task that no worker accepts now, or the tasks of a gang, and their step."""


class Planner:
    """Makes plans from the job table and the free capacity of the workers.

    A planner remembers since when failed tasks wait and runs run; not thread-safe.

    Parameters
    ----------
    can_grow : callable, optional
        Returns whether a service can get more machines than it has or is about to get.

    Attributes
    ----------
    copies : Copies
        Decides on second runs, once the waiting tasks have been placed.
    """

    def __init__(self, can_grow: Callable[[str], bool] = lambda service: False):
        self._can_grow = can_grow
        self._failed_tasks = FailedTasks()
        self._run_times = RunTimes()
        self._crash_trials = CrashTrials()
        self._full_services = FullServices()
        self.team_caps = TeamCaps()
        self._candidate_finder = CandidateFinder()
        self.copies = Copies()

    def seconds_running(self, key: TaskKey, number: int, now: float) -> float:
        """Return for how long a run has been running, as far as this planner knows."""
        return self._run_times.elapsed(key, number, now)

    def plan(
        self,
        table: JobTable,
        views: Mapping[str, WorkerView],
        now_ms: int,
        now: float,
    ) -> Plan:
        """Return the runs to start now.

        Parameters
        ----------
        table : JobTable
            The job table; the caller holds its lock.
        views : mapping of str to WorkerView
            All workers by id. Capacity for the planned runs is reserved in them.
        now_ms : int
            Current Unix time in milliseconds.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Plan
            The runs to start, and when the next occurrence is due.
        """
        self._failed_tasks.prune(table, now)
        self._run_times.prune(table, now)
        self._crash_trials.observe(table, views, self._run_times, now)
        self._full_services = FullServices()
        self.team_caps.begin_plan(table, now)
        by_service: dict[str, list[WorkerView]] = {}
        for view in views.values():
            if view.usable:
                service = view.record.service_name
                by_service.setdefault(service, []).append(view)
        candidates, next_due_ms = self._candidate_finder.find(table, by_service, now_ms)
        shares = self._shares(table, candidates, by_service)
        runs = self._start_jobs(table, candidates, shares, by_service, now_ms, now)
        for run in runs:
            self._run_times.record_start(TaskKey.of(run), run.number, now)
        is_complete = len(runs) < MAX_STARTS
        self.copies.observe(table, views, runs, self._run_times, now)
        if is_complete:
            runs += self.copies.plan(table, views, by_service, self._run_times, now)
        return Plan(runs, next_due_ms)

    def _shares(
        self,
        table: JobTable,
        candidates: Iterable[Candidate],
        by_service: Mapping[str, Sequence[WorkerView]],
    ) -> Shares:
        """Return the shares of the teams.

        They are empty if the configuration has none, or if they decide nothing.
        """
        if table.config is None or not self.team_caps.has_teams:
            return {}
        if all(self._can_grow(service) for service in by_service):
            return {}
        totals = {
            service: (
                sum(view.record.cpu for view in views),
                sum(view.record.mem_mb for view in views),
                sum(view.record.gpu for view in views),
            )
            for service, views in by_service.items()
        }
        usage = self.team_caps.usage
        teams = table.config.teams
        return service_shares(candidates, usage, teams, totals, self._can_grow)

    def _start_jobs(
        self,
        table: JobTable,
        candidates: Sequence[Candidate],
        shares: Shares,
        by_service: Mapping[str, Sequence[WorkerView]],
        now_ms: int,
        now: float,
    ) -> list[RunRecord]:
        self.copies.begin_plan()
        runs: list[RunRecord] = []
        blocked: dict[str, list[_Blocked]] = {}
        reserved: set[str] = set()
        starved: set[str] = set()
        long_running = takewhile(
            lambda candidate: candidate.job.has_long_running_step(), candidates
        )
        for turn in fair_turns(long_running, shares, now_ms):
            service = turn.candidate.service
            found, left = self._start_job(table, turn, by_service[service], True, now)
            runs.extend(found)
            blocked.setdefault(service, []).extend(left)
            if len(runs) >= MAX_STARTS:
                return runs
        for service, tasks in blocked.items():
            self.copies.record_waiting(
                service, (step for step, _ in tasks), by_service[service]
            )
            if tasks and self._reserve_first(tasks, by_service[service], table, now):
                reserved.add(service)
        for turn in fair_turns(candidates, shares, now_ms):
            service = turn.candidate.service
            workers = by_service[service]
            found, left = self._start_job(table, turn, workers, False, now)
            runs.extend(found)
            self.copies.record_waiting(service, (step for step, _ in left), workers)
            gangs = [(step, tasks) for step, tasks in left if step.gang]
            if left and service not in starved and turn.is_starved(now_ms):
                starved.add(service)
                gangs = left
            if gangs and service not in reserved:
                if self._reserve_first(gangs, workers, table, now):
                    reserved.add(service)
            if len(runs) >= MAX_STARTS:
                break
        return runs

    def _start_job(
        self,
        table: JobTable,
        turn: Turn,
        workers: Sequence[WorkerView],
        long_running: bool,
        now: float,
    ) -> tuple[list[RunRecord], list[_Blocked]]:
        """Return runs for the waiting tasks of a job, and tasks that fit nowhere.

        Either the long-running tasks or the finite ones are considered.
        """
        job, occurrence = turn.candidate.job, turn.candidate.occurrence
        account = self.team_caps.account_of(job)
        max_attempts = None if long_running else table.max_attempts_of(job)
        runs: list[RunRecord] = []
        blocked: list[_Blocked] = []
        for number, step in enumerate(job.steps):
            if bool(step.long_running) is not long_running:
                continue
            if turn.is_over():
                break
            if job.is_step_done(occurrence, number):
                continue
            if not job.is_ready(occurrence, number):
                continue
            tasks = job.tasks(occurrence, number)
            waiting = [task for task in tasks if task.status is TaskStatus.WAITING]
            if turn.planned:
                waiting = [task for task in waiting if task.key not in turn.planned]
            if long_running:
                waiting = [t for t in waiting if not self._is_delayed(t, now)]
            if not waiting:
                continue
            if account is not None and not (step.gang and len(waiting) < len(tasks)):
                group, together = waiting[0].key[:3], len(tasks) if step.gang else 1
                if not account.admits(step, together, group):
                    self.team_caps.hold(account, step, group, len(waiting), now)
                    continue
            suspects = [task for task in waiting if is_suspect(task)]
            trial_workers = workers
            if suspects:
                trial_workers = self._crash_trials.workers_for(
                    table,
                    step,
                    waiting if step.gang else suspects,
                    workers,
                    lambda view: self._seconds_until_idle(view, table, now),
                    now,
                )
            if step.gang:
                if len(waiting) == len(tasks):
                    found = self._place_gang(
                        step, waiting, trial_workers, max_attempts, turn, now
                    )
                    runs.extend(found)
                    if not found:
                        blocked.append((step, waiting))
                continue
            found, left = self._place_each(
                step, suspects, trial_workers, max_attempts, turn, now
            )
            runs.extend(found)
            blocked.extend(left)
            others = [task for task in waiting if not is_suspect(task)]
            found, left = self._place_each(
                step, others, workers, max_attempts, turn, now
            )
            runs.extend(found)
            blocked.extend(left)
        return runs, blocked

    def _place_each(
        self,
        step: StepRecord,
        waiting: Sequence[TaskState],
        workers: Sequence[WorkerView],
        max_attempts: int | None,
        turn: Turn,
        now: float,
    ) -> tuple[list[RunRecord], list[_Blocked]]:
        runs = []
        blocked: list[_Blocked] = []
        service = workers[0].record.service_name if workers else ""
        last: WorkerView | None = None
        account = self.team_caps.account_of(turn.candidate.job)
        for position, task in enumerate(waiting):
            if turn.is_over():
                break
            if account is not None and not account.admits(step, 1, task.key[:3]):
                left = len(waiting) - position
                self.team_caps.hold(account, step, task.key[:3], left, now)
                break
            view = None
            if not self._full_services.is_full(service, step):
                view = self._worker_for(step, task, workers, max_attempts, last, now)
            if view is not None:
                view.reserve(step, task.key[:3])
                number = task.number + 1
                self._record_start(
                    turn, step, task, number, view, is_suspect(task), now
                )
                runs.append(task.key.run_record(number, view.incarnation))
                last = view if _is_unproblematic(task) else None
                continue
            blocked.append((step, [task]))
            if not task.failures:
                break  # The same requirements: the step's other tasks fit nowhere.
        return runs, blocked

    def _record_start(
        self,
        turn: Turn,
        step: StepRecord,
        task: TaskState,
        number: int,
        view: WorkerView,
        is_trial: bool,
        now: float,
    ) -> None:
        self._failed_tasks.record_start(task.key, now)
        self._crash_trials.record_start(task, view, is_trial)
        account = self.team_caps.account_of(turn.candidate.job)
        if account is not None:
            self.team_caps.record_start(account, step, task.key, number, now)
        turn.record_start(step, task.key)

    def _worker_for(
        self,
        step: StepRecord,
        task: TaskState,
        workers: Sequence[WorkerView],
        max_attempts: int | None,
        last: WorkerView | None,
        now: float,
    ) -> WorkerView | None:
        """Return the worker for a task, or None if it has to wait.

        `last` is the worker of the task before. With less capacity left it ranks even
        better, so it is the best one for the next task as long as it accepts it.
        """
        group = task.key[:3]
        if last is not None and _is_unproblematic(task) and last.accepts(step, group):
            return last
        is_last = _is_last_attempt(task.failures, max_attempts)
        view = self._best_worker(step, task, workers, is_last, now)
        if view is None and not is_suspect(task):
            service = workers[0].record.service_name if workers else ""
            self._full_services.record_refused(service, step, group, workers)
        return view

    def _is_delayed(self, task: TaskState, now: float) -> bool:
        """Return whether the restart of a long-running task is delayed."""
        return task.has_failed_latest_run() and not self._failed_tasks.may_restart(
            task, now
        )

    def _reserve_first(
        self,
        blocked: Iterable[_Blocked],
        workers: Sequence[WorkerView],
        table: JobTable,
        now: float,
    ) -> bool:
        """Reserve capacity for the first of these tasks or gangs that will ever fit.

        One at a time keeps little from the finite tasks, and each has its turn. Return
        False if none will fit.
        """
        ends = {v.record.worker_id: self._expected_ends(v, table, now) for v in workers}
        for step, tasks in blocked:
            group = tasks[0].key[:3]
            others = [
                view
                for view in workers
                if not any(task.failed_on(view.record.worker_id) for task in tasks)
            ]
            for views in (others, workers):
                if reserve_capacity(step, group, len(tasks), views, ends):
                    return True
        return False

    def _expected_ends(
        self, view: WorkerView, table: JobTable, now: float
    ) -> list[ExpectedEnd]:
        found = []
        for key, task in table.runs.get(view.incarnation, {}).items():
            job = table.jobs.get(key.job_id)
            if job is None or job.steps[key.step].long_running:
                continue
            step = job.steps[key.step]
            elapsed = self._run_times.elapsed(key, task.number, now)
            in_ms = max(0, step.estimated_ms - round(1000 * elapsed))
            found.append(ExpectedEnd(in_ms, step))
        return found

    def _seconds_until_idle(
        self, view: WorkerView, table: JobTable, now: float
    ) -> float:
        ends = self._expected_ends(view, table, now)
        return max((end.in_ms for end in ends), default=0) / 1000.0

    def _place_gang(
        self,
        step: StepRecord,
        waiting: Sequence[TaskState],
        workers: Sequence[WorkerView],
        max_attempts: int | None,
        turn: Turn,
        now: float,
    ) -> list[RunRecord]:
        """Place all tasks of a gang or none, on one rack if possible when requested."""
        number = 1 + max(task.number for task in waiting)
        failures = sum(task.failures for task in waiting)
        is_last = _is_last_attempt(failures, max_attempts)
        groups: list[Sequence[WorkerView]] = [workers]
        if step.rack_local:
            racks = sorted({view.rack for view in workers})
            racks.sort(key=lambda rack: rack != (step.data_rack or ""))
            groups = [[v for v in workers if v.rack == rack] for rack in racks]
            groups.append(workers)
        for group in groups:
            taken: list[tuple[TaskState, WorkerView]] = []
            for task in waiting:
                view = self._best_worker(step, task, group, is_last, now)
                if view is None:
                    break
                view.reserve(step, task.key[:3])
                taken.append((task, view))
            if len(taken) == len(waiting):
                is_trial = any(is_suspect(task) for task in waiting)
                for task, view in taken:
                    self._record_start(turn, step, task, number, view, is_trial, now)
                return [
                    task.key.run_record(number, view.incarnation)
                    for task, view in taken
                ]
            for task, view in taken:
                view.release(step, task.key[:3])
        return []

    def _best_worker(
        self,
        step: StepRecord,
        task: TaskState,
        workers: Sequence[WorkerView],
        is_last: bool,
        now: float,
    ) -> WorkerView | None:
        """Return the worker for a task, or None if it has to wait.

        `is_last` is whether the job fails if this attempt fails.
        """
        best = None
        best_rank: tuple[bool, int, int, bool, int] | None = None
        group = task.key[:3]
        rack = step.data_rack or ""
        for view in workers:
            if not view.accepts(step, group):
                continue
            rank = (
                task.failed_on(view.record.worker_id),
                view.grade,
                view.crashed_beside(group[0]) if task.crashes else 0,
                bool(rack) and view.rack != rack,
                view.cpu,
            )
            if best_rank is None or rank < best_rank:
                best, best_rank = view, rank
        if best is not None and best_rank is not None and best_rank[0]:
            others = [view for view in workers if view is not best]
            limit = OTHER_WORKER_WAIT_SECONDS
            if is_last and best.grade:
                if any(view.fits_beside_long_running(step) for view in others):
                    limit = LAST_ATTEMPT_WAIT_SECONDS
            if self._waits_for_another(step, task, others, limit, now):
                return None
        return best

    def _waits_for_another(
        self,
        step: StepRecord,
        task: TaskState,
        others: Iterable[WorkerView],
        limit: float,
        now: float,
    ) -> bool:
        """Return whether a task that has failed should wait for another worker.

        It waits rather than use up its next attempt on the same worker, for at most
        `limit` seconds. A long-running task has any number of attempts, so it only
        waits if one of the others will accept it.
        """
        if not task.has_failed_latest_run():
            return False
        waited = self._failed_tasks.seconds_waited(task, now)
        if waited >= limit:
            return False
        if step.long_running:
            return any(view.will_accept(step, task.key[:3]) for view in others)
        return any(view.fits_if_idle(step) for view in others)


def _is_unproblematic(task: TaskState) -> bool:
    """Return whether all workers are the same for a task, but for their capacity."""
    return not task.failures and not task.crashes


def _is_last_attempt(failures: int, max_attempts: int | None) -> bool:
    """Return whether the next attempt is the last; None is any number of attempts."""
    return max_attempts is not None and failures + 1 >= max_attempts
