"""What a service is asked for, and which lasting tasks may move."""

from collections.abc import Iterable, Mapping, Set

from arbutuscleat.jobs import JobState, JobTable, TaskKey, TaskStatus
from arbutuscleat.jobs.task import WorkerIncarnation

from .pool_planner import Demand
from .worker_view import WorkerView


def service_demands(
    table: JobTable, service_names: Iterable[str], now_ms: int
) -> dict[str, Demand]:
    """Return what each service is asked for now; the table's lock is held."""
    jobs: dict[str, list[JobState]] = {name: [] for name in service_names}
    for job in table.active.values():
        found = jobs.get(table.service_of(job))
        if found is not None:
            found.append(job)
    return {name: job_demand(found, now_ms) for name, found in jobs.items()}


def job_demand(jobs: Iterable[JobState], now_ms: int) -> Demand:
    """Return what runs and what could start now.

    Tasks of steps that wait for others are not counted: their room comes free when
    those end.
    """
    running = waiting = least = 0
    for job in jobs:
        for occurrence in range(job.occurrence_count()):
            if job.record.repeat_count and job.due_at_ms(occurrence) > now_ms:
                break
            for number, step in enumerate(job.steps):
                if not job.is_ready(occurrence, number):
                    continue
                cpu = 0 if step.fills else step.cpu
                for task in job.tasks(occurrence, number):
                    running += cpu * (task.status is TaskStatus.RUNNING)
                    waiting += cpu * (task.status is TaskStatus.WAITING)
                if step.spread_limit and not job.is_step_done(occurrence, number):
                    least = max(least, -(-step.count // step.spread_limit))
    return Demand(running, waiting, least)


def movable_tasks(
    table: JobTable,
    incarnation: WorkerIncarnation,
    at_work: Set[tuple[TaskKey, int]],
    views: Mapping[str, WorkerView],
) -> list[tuple[TaskKey, int]]:
    """Return the lasting tasks of a worker that may be stopped now.

    At most one of each step at a time, only when fewer others of the step are away
    than the step allows, and only when there is room for it elsewhere.
    """
    found = []
    steps_seen = set()
    for key, task in table.runs.get(incarnation, {}).items():
        job = table.jobs.get(key.job_id)
        if job is None or job.is_over() or key[:3] in steps_seen:
            continue
        step = job.steps[key.step]
        if not step.long_running:
            continue
        tasks = job.tasks(key.occurrence, key.step)
        away = sum(
            other is not task and (other.key, other.number) not in at_work
            for other in tasks
        )
        if away >= max(1, step.may_miss):
            continue
        service_name = table.service_of(job)
        for view in views.values():
            if not view.usable or view.record.service_name != service_name:
                continue
            if view.accepts(step, key[:3]):
                view.take(step, key[:3])
                steps_seen.add(key[:3])
                found.append((key, task.number))
                break
    return found
