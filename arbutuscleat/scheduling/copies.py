"""Copies: second runs of tasks whose first one is silent or takes far too long.

Only steps that permit it (`speculative`) get copies, only of tasks that end by
themselves, and at most one beside a run. The decision answers the idle room of a
service at the end of a plan: nothing is copied while a task of the service waits that
one of its workers could run, and copies take a small share of the room only. The first
run that is done ends the task; the log holds both runs (see `JobTable`).

Whether a slow run is the fault of its worker or of its task also shows in whether
copies are done first: after some that were not, few are made.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from absl import logging

from arbutuscleat.jobs import JobTable, TaskKey, may_have_copy
from arbutuscleat.wire.gen_jobs.ttypes import RunRecord, StepRecord

from .copy_cases import CopyCase, CopyCases, CopyReason
from .copy_room import MAX_COMPARED, CopyRoom
from .run_times import RunTimes
from .worker_view import WorkerView

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

MAX_REFUSED = 4
"""Number of runs in one plan that find no room or worker for a copy, before the rest of
their service is left for a later plan."""


@dataclass(frozen=True, slots=True)
class _Copy:
    """A copy that was planned: its number, that of the run beside, and the reason."""

    number: int
    first: int
    reason: CopyReason
    service: str
    step: StepRecord


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
        self._cases = CopyCases()
        self._copies: dict[TaskKey, _Copy] = {}
        self._tries: dict[tuple[TaskKey, int], int] = {}
        self._waiting: set[str] = set()
        self._credit = MAX_CREDIT
        self._credit_at = 0.0
        self._first = 0
        """Position of the first worker that the next plan compares."""

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
        run_times: RunTimes,
        now: float,
    ) -> list[RunRecord]:
        """Return the copies to start now, after a plan that has reached all jobs.

        Parameters
        ----------
        table : JobTable
            The job table; the caller holds its lock.
        views : mapping of str to WorkerView
            All workers by id. Capacity for the copies is reserved in them.
        by_service : mapping of str to sequence of WorkerView
            The usable workers of each service.
        run_times : RunTimes
            Start times of runs.
        now : float
            Monotonic time in seconds.
        """
        cases = self._cases.find(table, views, self._waiting, run_times, now)
        runs: list[RunRecord] = []
        refused: Counter[str] = Counter()
        rooms: dict[str, CopyRoom] = {}
        for case in cases:
            if len(runs) >= MAX_COPIES:
                break
            service = table.service_of(case.job)
            if refused[service] >= MAX_REFUSED or not self._may_try(case):
                continue
            if service not in rooms:
                rooms[service] = self._room(service, by_service.get(service, ()))
            former = views.get(case.task.incarnation[0])
            found = self._place(case, rooms[service], former, service)
            if found is None:
                refused[service] += 1
            else:
                run_times.record_start(TaskKey.of(found), found.number, now)
                runs.append(found)
        return runs

    # ---- what has ended ----

    def observe(
        self,
        table: JobTable,
        views: Mapping[str, WorkerView],
        planned: Iterable[RunRecord],
        run_times: RunTimes,
        now: float,
    ) -> None:
        """Take the runs that were done since the last plan, and watch those it starts.

        Parameters
        ----------
        table : JobTable
            The job table; the caller holds its lock.
        views : mapping of str to WorkerView
            All workers by id.
        planned : iterable of RunRecord
            The runs of the plan, without copies.
        run_times : RunTimes
            Start times of runs.
        now : float
            Monotonic time in seconds.
        """
        earned = (now - self._credit_at) / CREDIT_SECONDS
        self._credit = min(MAX_CREDIT, self._credit + max(0.0, earned))
        self._credit_at = now
        while table.done_runs:
            key, number, (worker_id, _) = table.done_runs.popleft()
            self._settle_copy(key, number)
            seconds = run_times.known(key, number, now)
            view = views.get(worker_id)
            self._cases.record_done(table, key, number, view, seconds)
        for key, copy in list(self._copies.items()):
            if not table.is_current_run(key, copy.number):
                del self._copies[key]
                self.lost[copy.reason] += 1
        self._cases.prune(table, now)
        self._cases.watch(table, planned)
        self._tries = {
            run: n for run, n in self._tries.items() if table.is_current_run(*run)
        }

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

    # ---- where ----

    def _may_try(self, case: CopyCase) -> bool:
        """Return whether a run has had few copies, and its reason is good enough."""
        if self._tries.get((case.task.key, case.task.number), 0) >= MAX_TRIES:
            return False
        return case.reason is not CopyReason.SLOW or self._credit >= 1.0

    def _room(self, service: str, workers: Sequence[WorkerView]) -> CopyRoom:
        copied = [c.step for c in self._copies.values() if c.service == service]
        self._first += MAX_COMPARED
        return CopyRoom(workers, copied, self._cases.ratios, self._first)

    def _place(
        self,
        case: CopyCase,
        room: CopyRoom,
        former: WorkerView | None,
        service: str,
    ) -> RunRecord | None:
        """Return the copy of a run on the worker `former`; None if there is no room."""
        task, key = case.task, case.task.key
        step = case.job.steps[key.step]
        if not room.permits(step, case.reason):
            return None
        view = room.worker_for(case, step, former)
        if view is None or not may_have_copy(case.job, task, view.record.worker_id):
            return None
        room.take(step, view, key[:3])
        if case.reason is CopyReason.SLOW:
            self._credit -= 1.0
        run = key.run_record(task.last_number + 1, view.incarnation)
        run.beside = True
        tried = (key, task.number)
        self._tries[tried] = self._tries.get(tried, 0) + 1
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
