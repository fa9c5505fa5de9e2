"""Demand of services, and selection of long-running tasks that may be moved."""

from collections.abc import Iterable, Mapping, Sequence, Set
from dataclasses import replace

from arbutuscleat.jobs import JobState, JobTable, TaskKey, TaskStatus
from arbutuscleat.jobs.task import WorkerIncarnation
from arbutuscleat.wire.gen_jobs.ttypes import StepRecord

from .service_demand import Demand, Requirement
from .team_caps import TeamCaps
from .team_usage import TeamUsage
from .unplaced_tasks import Placement
from .worker_view import WorkerView


def service_demands(
    table: JobTable,
    service_names: Iterable[str],
    now_ms: int,
    workers: Mapping[str, Sequence[WorkerView]] | None = None,
    usage: TeamUsage | None = None,
) -> dict[str, Demand]:
    """Return the current demand of each service.

    Parameters
    ----------
    table : JobTable
        The job table; the caller holds its lock.
    service_names : iterable of str
        The services.
    now_ms : int
        Current Unix time in milliseconds.
    workers : mapping of str to sequence of WorkerView, optional
        The workers that each service has or is about to get. Capacity for waiting
        tasks is reserved in them. If not given, no task counts as unplaced.
    usage : TeamUsage, optional
        What the teams use; it is brought up to date.

    Returns
    -------
    dict of str to Demand
        The demand of each service.
    """
    jobs: dict[str, list[JobState]] = {name: [] for name in service_names}
    caps = TeamCaps(usage)
    caps.begin_plan(table, 0.0)
    active: Iterable[JobState] = table.active.values()
    if caps.has_teams:  # As in a plan, long-running tasks use the cap first.
        active = sorted(active, key=lambda job: not job.has_long_running_step())
    for job in active:
        found = jobs.get(table.service_of(job))
        if found is not None:
            found.append(job)
    demands = {}
    for name, found in jobs.items():
        views = None if workers is None else workers.get(name, ())
        demands[name] = job_demand(found, now_ms, views, caps)
    return demands


def job_demand(
    jobs: Iterable[JobState],
    now_ms: int,
    workers: Sequence[WorkerView] | None = None,
    caps: TeamCaps | None = None,
) -> Demand:
    """Return the demand of running tasks and of tasks that could start now.

    Tasks of steps that wait for other steps are not counted, because those steps free
    their capacity when they end. Nor are tasks that the cap of their team holds back:
    they would not start on another machine either.

    Parameters
    ----------
    jobs : iterable of JobState
        The active jobs.
    now_ms : int
        Current Unix time in milliseconds.
    workers : sequence of WorkerView, optional
        The workers that run the jobs; without them, no task counts as unplaced.
    caps : TeamCaps, optional
        What the teams use. Waiting tasks that are counted are added.
    """
    placement = None if workers is None else Placement(workers)
    total = _Sum()
    parts: dict[Requirement, _Sum] = {}
    for job in jobs:
        account = None if caps is None else caps.account_of(job)
        for occurrence in range(job.occurrence_count()):
            if job.record.repeat_count and job.due_at_ms(occurrence) > now_ms:
                break
            for number, step in enumerate(job.steps):
                if not job.is_ready(occurrence, number):
                    continue
                if job.is_step_done(occurrence, number):
                    continue
                tasks = job.tasks(occurrence, number)
                running = sum(task.status is TaskStatus.RUNNING for task in tasks)
                waiting = sum(task.status is TaskStatus.WAITING for task in tasks)
                if account is not None:
                    waiting = account.take_room(step, waiting)
                total.add(step, running, waiting)
                if step.required_label or step.gpu:
                    # Machines with more accelerators than one also run these tasks.
                    gpu = min(1, step.gpu)
                    requirement = Requirement(step.required_label or "", gpu)
                    part = parts.setdefault(requirement, _Sum())
                    part.add(step, running, waiting)
                    part.add_spread(step)
                else:
                    total.add_spread(step)
                if waiting and placement is not None:
                    placement.add(step, (job.job_id, occurrence, number), waiting)
    demand = total.demand({key: part.demand({}) for key, part in parts.items()})
    if placement is None:
        return demand
    return replace(
        demand,
        unplaced=tuple(placement.unplaced),
        has_tasks_with_room=placement.long_running_with_room > 0,
    )


class _Sum:
    """Demand of the steps added so far."""

    def __init__(self) -> None:
        self._running = [0, 0, 0]
        self._waiting = [0, 0, 0]
        self._waiting_tasks = 0
        self._min_machines = 0

    def add(self, step: StepRecord, running: int, waiting: int) -> None:
        """Add a step with some running and waiting tasks."""
        # Tasks that fill use only the CPU that others leave unused.
        sizes = (0 if step.fills else step.cpu, step.mem_mb, step.gpu)
        for position, size in enumerate(sizes):
            self._running[position] += running * size
            self._waiting[position] += waiting * size
        self._waiting_tasks += waiting

    def add_spread(self, step: StepRecord) -> None:
        """Add the number of machines that the spread limit of a step requires."""
        if step.spread_limit:
            count = -(-step.count // step.spread_limit)
            self._min_machines = max(self._min_machines, count)

    def demand(self, parts: Mapping[Requirement, Demand]) -> Demand:
        """Return the demand, of which some parts have a requirement."""
        return Demand(
            running_cpu=self._running[0],
            waiting_cpu=self._waiting[0],
            min_machines=self._min_machines,
            running_mem_mb=self._running[1],
            waiting_mem_mb=self._waiting[1],
            running_gpu=self._running[2],
            waiting_gpu=self._waiting[2],
            waiting_tasks=self._waiting_tasks,
            by_requirement=parts,
        )


def movable_tasks(
    table: JobTable,
    incarnation: WorkerIncarnation,
    ready_runs: Set[tuple[TaskKey, int]],
    views: Mapping[str, WorkerView],
) -> list[tuple[TaskKey, int]]:
    """Return the long-running tasks of a worker that may be stopped now.

    At most one task of each step is returned. It is returned only if fewer of the
    step's other tasks are unavailable than the step allows, and only if another worker
    has room for it.

    Parameters
    ----------
    table : JobTable
        The job table; the caller holds its lock.
    incarnation : WorkerIncarnation
        The worker's incarnation: its id and start time.
    ready_runs : set of tuple of TaskKey and int
        The task and run number of every run that is known to be ready. All other
        tasks count as unavailable.
    views : mapping of str to WorkerView
        All workers by id. Capacity for the returned tasks is reserved in them.

    Returns
    -------
    list of tuple of TaskKey and int
        The tasks and their run numbers.
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
        unavailable = sum(
            other is not task and (other.key, other.number) not in ready_runs
            for other in tasks
        )
        if unavailable >= max(1, step.may_miss):
            continue
        service_name = table.service_of(job)
        for view in views.values():
            if not view.usable or view.record.service_name != service_name:
                continue
            if view.accepts(step, key[:3]):
                view.reserve(step, key[:3])
                steps_seen.add(key[:3])
                found.append((key, task.number))
                break
    return found
