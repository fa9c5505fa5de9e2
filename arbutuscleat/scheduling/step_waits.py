"""Step waits: which steps have waiting tasks, since when, and for which reasons.

A task may wait because the fleet is full, or because of a limit that no other run will
ever lift. The planner does the same in both cases: nothing. The leader therefore checks
at intervals which limits keep the waiting tasks from each worker. Waits that last are
logged, each time their duration has doubled, and counted by reason in the metrics.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from absl import logging

from arbutuscleat.jobs import (
    SUSPECT_CRASHES,
    JobState,
    JobTable,
    TaskKey,
    TaskState,
    TaskStatus,
)
from arbutuscleat.wire.gen_jobs.ttypes import StepRecord

from .wait_reason import WaitReason
from .worker_view import WorkerView

CHECK_SECONDS = 1.0
"""Interval between checks."""

LOG_AFTER_SECONDS = 2.0
"""Duration after which a wait is logged. Most waits in a load peak are shorter."""

UNLISTED_SECONDS = 2.5
"""Duration for which a run may be missing in its worker's list. The list is as old as
the latest hold, so a new run is missing for as long as a worker may keep a hold open,
and until its call times out if the answer is lost."""

MAX_EXPLAINED = 32
"""Number of steps per check whose limits are compared with each worker. It bounds how
long the table is locked."""

MAX_LINES = 8
"""Number of waits logged per check."""

Group = tuple[str, int, int]
"""A job, occurrence and step."""


@dataclass(slots=True)
class StepWait:
    """Waiting tasks of one step.

    Parameters
    ----------
    group : tuple of str, int and int
        The job, occurrence and step.
    is_long_running : bool
        Whether the tasks run until the job is cancelled.
    since : float
        Monotonic time in seconds of the check that first saw tasks waiting.
    task_count : int
        Number of waiting tasks.
    reasons : Counter of WaitReason
        Number of workers by the reason that keeps the first waiting task from them;
        empty if not compared.
    log_at : float
        Monotonic time in seconds from which the wait is logged again.
    capped_team : str
        The team whose cap holds the tasks back; empty if none does.
    """

    group: Group
    is_long_running: bool
    since: float
    task_count: int = 0
    reasons: Counter[WaitReason] = field(default_factory=Counter)
    log_at: float = 0.0
    capped_team: str = ""

    @property
    def reason(self) -> WaitReason | None:
        """The reason that is nearest to a start; None if not compared."""
        return max(self.reasons, default=None)


class StepWaits:
    """Observes waiting tasks at intervals; not thread-safe."""

    def __init__(self) -> None:
        self._waits: dict[Group, StepWait] = {}
        self._unlisted: dict[TaskKey, tuple[int, float]] = {}
        self._checked_at = float("-inf")

    def reset(self) -> None:
        """Discard all observations, after this process gained or lost leadership."""
        self._waits = {}
        self._unlisted = {}

    def waits(self) -> list[StepWait]:
        """Return the waits of the latest check: long-running steps first, by age."""
        return sorted(
            self._waits.values(),
            key=lambda wait: (not wait.is_long_running, wait.since),
        )

    def is_due(self, now: float) -> bool:
        """Return whether the next check is due, at monotonic time `now` in seconds."""
        return now - self._checked_at >= CHECK_SECONDS

    def check(
        self,
        table: JobTable,
        views: Mapping[str, WorkerView],
        unlisted: Iterable[TaskKey],
        now: float,
        now_ms: int,
        held: Mapping[Group, str] | None = None,
    ) -> None:
        """Update the waits, and log those that last.

        Parameters
        ----------
        table : JobTable
            The job table; the caller holds its lock.
        views : mapping of str to WorkerView
            All workers by id, with the capacity left after the latest plan.
        unlisted : iterable of TaskKey
            Tasks with a run that its worker does not list. They count once their run
            has been missing for `UNLISTED_SECONDS`.
        now : float
            Monotonic time in seconds.
        now_ms : int
            Current Unix time in milliseconds.
        held : mapping of tuple of str, int and int to str, optional
            Steps that the latest plan held back by the cap of their team, and its name.
        """
        self._checked_at = now
        held = held or {}
        waiting = dict(_waiting_tasks(table, now_ms))
        since = dict.fromkeys(waiting, now)
        for task, missing_since in self._missing_runs(table, unlisted, now):
            group = task.key[:3]
            waiting.setdefault(group, []).append(task)
            since[group] = min(since.get(group, now), missing_since)
        self._waits = {
            group: self._waits.get(group)
            or StepWait(group, bool(_step(table, group).long_running), since[group])
            for group in waiting
        }
        by_service: dict[str, list[WorkerView]] = {}
        for view in views.values():
            by_service.setdefault(view.record.service_name, []).append(view)
        for position, wait in enumerate(self.waits()):
            tasks = waiting[wait.group]
            wait.task_count = len(tasks)
            wait.reasons = Counter()
            wait.capped_team = held.get(wait.group, "")
            if wait.capped_team:
                wait.reasons = Counter({WaitReason.TEAM_CAP: 1})
            elif position < MAX_EXPLAINED:
                service = table.service_of(table.jobs[wait.group[0]])
                wait.reasons = wait_reasons(
                    _step(table, wait.group), tasks[0], by_service.get(service, ())
                )
        self._log(now)

    def _missing_runs(
        self, table: JobTable, unlisted: Iterable[TaskKey], now: float
    ) -> Iterator[tuple[TaskState, float]]:
        """Yield the tasks whose run has been missing for long, and since when."""
        former, self._unlisted = self._unlisted, {}
        for key in unlisted:
            task = _find_task(table, key)
            if task is None:
                continue
            number, since = former.get(key, (0, now))
            if number != task.number:
                since = now
            self._unlisted[key] = (task.number, since)
            if now - since >= UNLISTED_SECONDS:
                yield task, since

    def _log(self, now: float) -> None:
        due = [
            wait
            for wait in self.waits()
            if wait.reasons and now >= max(wait.log_at, wait.since + LOG_AFTER_SECONDS)
        ]
        for wait in due[:MAX_LINES]:
            age = now - wait.since
            wait.log_at = now + age
            reasons = sorted(wait.reasons.items(), reverse=True)
            logging.info(
                "job %s: occurrence %d, step %d: %s tasks waiting for %.1f s: %d (%s)",
                *wait.group,
                "long-running" if wait.is_long_running else "finite",
                age,
                wait.task_count,
                f"held by the cap of team {wait.capped_team}"
                if wait.capped_team
                else ", ".join(f"{reason}: {count}" for reason, count in reasons),
            )


def wait_reasons(
    step: StepRecord, task: TaskState, workers: Sequence[WorkerView]
) -> Counter[WaitReason]:
    """Return the number of workers by the reason that keeps a task from them.

    Parameters
    ----------
    step : StepRecord
        The step of the task.
    task : TaskState
        A task that is waiting, or has a run that its worker does not list.
    workers : sequence of WorkerView
        The workers of the service.
    """
    if task.status is TaskStatus.RUNNING:
        return Counter({WaitReason.NOT_LISTED: 1})
    if not workers:
        return Counter({WaitReason.NO_WORKER: 1})
    return Counter(_reason(step, task, view) for view in workers)


def _reason(step: StepRecord, task: TaskState, view: WorkerView) -> WaitReason:
    limit = view.limit(step, task.key[:3])
    if limit is not None:
        return limit
    if task.crashes >= SUSPECT_CRASHES:
        return WaitReason.CRASHES
    if task.failed_on(view.record.worker_id):
        return WaitReason.FAILED_RUN
    return WaitReason.GANG if step.gang else WaitReason.NOT_PLANNED


def _waiting_tasks(
    table: JobTable, now_ms: int
) -> Iterator[tuple[Group, list[TaskState]]]:
    for job in table.active.values():
        for occurrence in range(job.occurrence_count()):
            if job.record.repeat_count and job.due_at_ms(occurrence) > now_ms:
                break
            for number in range(len(job.steps)):
                if not job.is_ready(occurrence, number):
                    continue
                tasks = [
                    task
                    for task in job.tasks(occurrence, number)
                    if task.status is TaskStatus.WAITING
                ]
                if tasks:
                    yield (job.job_id, occurrence, number), tasks


def _find_task(table: JobTable, key: TaskKey) -> TaskState | None:
    job: JobState | None = table.active.get(key.job_id)
    return None if job is None else job.task(key)


def _step(table: JobTable, group: Group) -> StepRecord:
    return table.jobs[group[0]].steps[group[2]]
