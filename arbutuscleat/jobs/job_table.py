"""The job table: the replicated state machine of the job queue.

It holds the configuration, the jobs with their tasks, the workers that have
announced themselves, and the waves.  Every replica applies the same commands in
the same order; only the leader acts on the resulting state.
"""

import threading
from collections import deque
from collections.abc import Callable, Iterator
from copy import copy
from enum import Enum
from typing import Any

from absl import logging

from arbutuscleat.consensus import StateMachine
from arbutuscleat.wire import decode, decode_items, encode_items
from arbutuscleat.wire.gen_jobs.ttypes import (
    AdvanceWave,
    AssignSessions,
    BeginJobs,
    CancelJob,
    EndRecord,
    JobCommand,
    JobImage,
    JobRecord,
    JobTableImage,
    MachineHolder,
    OrderMachines,
    RemoveWorker,
    RunEnds,
    RunRecord,
    RunStarts,
    SetConfig,
    SettleRuns,
    StopRuns,
    WaveRecord,
    WorkerRecord,
)

from .cancelled_ids import CancelledIds, JobOwner
from .checkpoints import Checkpoints
from .crash_counts import CrashCounts
from .job_size import job_bytes
from .job_state import JobState
from .queue_config import Queue, QueueConfig
from .run_outcome import RunOutcome
from .session_assignments import SessionAssignments
from .task import TaskCopy, TaskKey, TaskRun, TaskState, TaskStatus, WorkerIncarnation
from .wave import Wave
from .worker_announcement import is_outdated

ENDED_JOBS_KEPT_MS = 150_000
"""How long the state of an ended job can be read; callers are promised 120 s."""

JOB_ID_LENGTH = 16
"""Number of characters of each job id."""

DEFAULT_MAX_ATTEMPTS = 3
"""Applies to jobs whose queue is no longer configured."""


MAX_LOGGED = 20
"""Number of runs that one log line names."""


MAX_DONE_RUNS = 4096
"""Number of runs kept in `JobTable.done_runs`: more than a plan finds, even after a
pause of the leader."""


MAX_WAVES = 10_000
"""Number of waves kept, complete ones included: those of many years."""


class AcceptResult(Enum):
    """Result of submitting a job."""

    ACCEPTED = "accepted"
    EXISTS = "exists"
    CONFLICT = "conflict"
    CANCELLED = "cancelled before it was submitted"


class CancelResult(Enum):
    """Result of cancelling a job."""

    CANCELLED = "cancelled"
    """Also that of a job that has ended."""

    NO_JOB = "no job"
    """No job has the id, and none that is submitted later will be accepted."""

    NO_ROOM = "no room"
    """No job has the id, but it cannot be kept beside those of other cancellations."""


class JobTable(StateMachine):
    """State machine that holds the configuration, jobs, workers and waves.

    Parameters
    ----------
    decode_config : callable
        Parses the operator's configuration into a `QueueConfig`.  The content has been
        validated before.
    """

    def __init__(self, decode_config: Callable[[bytes], QueueConfig]):
        self._decode_config = decode_config
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.config: QueueConfig | None = None
        self.config_content = b""
        self.jobs: dict[str, JobState] = {}
        self.active: dict[str, JobState] = {}
        self.held_bytes = 0
        """Memory of all jobs, by the estimate of `job_bytes`."""

        self.cancelled_ids = CancelledIds()
        self.checkpoints = Checkpoints()
        self.workers: dict[str, WorkerRecord] = {}
        self.runs: dict[WorkerIncarnation, dict[TaskKey, TaskRun]] = {}
        self.run_versions: dict[WorkerIncarnation, int] = {}
        """Rises for an incarnation with each change of its entry in `runs`."""

        self._run_version = 0
        self.waves: dict[int, Wave] = {}
        self.machine_holders: dict[str, tuple[str, int]] = {}
        """Latest holder of each machine, and the log index of the holder's entry."""

        self.stops_due: set[tuple[TaskKey, int]] = set()
        """Runs that are to be stopped by the session with their worker."""

        self.done_runs: deque[tuple[TaskKey, int, WorkerIncarnation]] = deque(
            maxlen=MAX_DONE_RUNS
        )
        """Runs done lately, until the planner takes them; not replicated."""

        self.session_assignments = SessionAssignments()
        self.on_start: Callable[[RunRecord], None] | None = None
        """Called with each run that is marked as running; `lock` is held."""

        self.crash_counts = CrashCounts()

    # ---- state machine ----

    def apply(self, index: int, payload: bytes) -> Any:
        """Apply one committed command and return its result to the proposer.

        A command that is invalid has no result, and as little effect as possible: every
        replica applies the same entries, and would end again after each restart.
        """
        command = _attempt(f"log entry {index}", decode, JobCommand, payload)
        if command is None:
            return None
        with self.lock:
            result = _attempt(f"log entry {index}", self._apply, index, command)
            self.changed.notify_all()
            return result

    def image(self) -> bytes:
        """Return the whole state in its snapshot format."""
        with self.lock:
            return encode_items(
                (job.to_image() for job in self.jobs.values()),
                len(self.jobs),
                JobTableImage(
                    workers=list(self.workers.values()),
                    config_version=self.config.version if self.config else -1,
                    config=self.config_content,
                    waves=[wave.to_record() for wave in self.waves.values()],
                    machine_holders=[
                        MachineHolder(machine=machine, holder=holder)
                        for machine, (holder, _) in self.machine_holders.items()
                    ],
                    unresolved_runs=self.crash_counts.unresolved_runs(),
                    session_assignments=self.session_assignments.records(),
                    last_session_fence=self.session_assignments.last_fence,
                    cancelled_ids=self.cancelled_ids.to_images(),
                ),
            )

    def restore(self, image: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        jobs, read_rest = decode_items(JobImage, JobTableImage, image)
        restored = [JobState.from_image(item) for item in jobs]
        table = read_rest()
        with self.lock:
            self.config_content = table.config
            self.config = None
            if table.config:
                self.config = _attempt(
                    "configuration", self._decode_config, table.config
                )
            self.workers = {item.worker_id: item for item in table.workers}
            self.waves = {item.wave: Wave(item) for item in table.waves}
            self.machine_holders = {
                item.machine: (item.holder, 0) for item in table.machine_holders or ()
            }
            self.session_assignments.restore(
                table.session_assignments or (), table.last_session_fence or 0
            )
            self.cancelled_ids.restore(table.cancelled_ids or ())
            self.jobs = {}
            self.active = {}
            self.held_bytes = 0
            self.runs = {}
            self.run_versions = {}
            self.stops_due = set()
            for job in restored:
                self.jobs[job.job_id] = job
                self.held_bytes += job_bytes(job.record)
                if not job.is_over():
                    self.active[job.job_id] = job
                for task in job.all_tasks():
                    if job.is_over() or task.status is TaskStatus.DONE:
                        task.checkpoint = ""  # Former versions keep it.
                    for run in task.runs():
                        self._add_run(run)
                        if job.is_over() or task.ending:
                            self.stops_due.add((run.key, run.number))
            for record in self.workers.values():
                self._stop_if_leaving(record)
            self.checkpoints.restore(
                task for job in restored for task in job.all_tasks()
            )
            self.crash_counts.restore(
                (task for job in self.active.values() for task in job.all_tasks()),
                table.unresolved_runs or (),
            )
            self.changed.notify_all()

    # ---- queries; `lock` must be held ----

    def queue_of(self, job: JobState) -> Queue | None:
        """Return the queue of a job as it is configured now; None if it is not."""
        return self.config.queue_of(job.record) if self.config else None

    def find_job(self, host: str, path: str) -> JobState | None:
        """Return the job that its callers know by a host and path, if there is one."""
        job = self.jobs.get(path[-JOB_ID_LENGTH:])
        if job is None:
            return None
        prefix = path[:-JOB_ID_LENGTH]
        if job.record.host is not None:
            is_known = (job.record.host, job.record.path_prefix) == (host, prefix)
        else:
            queue = self.queue_of(job)
            is_known = queue is not None and (queue.host, queue.path_prefix) == (
                host,
                prefix,
            )
        return job if is_known else None

    def find_submitted(self, record: JobRecord) -> AcceptResult | None:
        """Return the result of submitting a job; None if nothing is known of its id."""
        existing = self.jobs.get(record.job_id)
        if existing is None:
            is_cancelled = self.cancelled_ids.refuses(record)
            return AcceptResult.CANCELLED if is_cancelled else None
        same = _have_same_queue(existing.record, record)
        if not same or _have_different_teams(existing.record, record):
            return AcceptResult.CONFLICT
        return AcceptResult.EXISTS

    def evictable_bytes(self, now_ms: int) -> int:
        """Return the memory that becomes free once a job is accepted."""
        return sum(job_bytes(job.record) for job in self._evictable_jobs(now_ms))

    def service_of(self, job: JobState) -> str:
        """Return the name of the service that currently runs a job's tasks."""
        queue = self.queue_of(job)
        return job.record.service_name if queue is None else queue.service_name

    def max_attempts_of(self, job: JobState) -> int:
        """Return the number of failed runs of a task after which a job has failed."""
        queue = self.queue_of(job)
        return DEFAULT_MAX_ATTEMPTS if queue is None else queue.max_attempts

    def pending(self, queue: Queue) -> int:
        """Return the number of active jobs of a queue that have not begun."""
        return sum(
            not job.started and queue.holds(job.record) for job in self.active.values()
        )

    def is_current_run(self, key: TaskKey, number: int) -> bool:
        """Return whether a run is wanted: of a task, not yet done, of an active job."""
        job = self.jobs.get(key.job_id)
        task = None if job is None or job.is_over() else job.task(key)
        return (
            task is not None
            and task.status is TaskStatus.RUNNING
            and task.run(number) is not None
        )

    # ---- commands ----

    def _apply(self, index: int, command: JobCommand) -> Any:
        if command.starts is not None:
            return self._start(command.starts)
        if command.ends is not None:
            return self._end(command.ends)
        if command.accept is not None:
            return self._accept(command.accept)
        if command.cancel is not None:
            return self._cancel(command.cancel)
        if command.worker is not None:
            keeps_runs = bool(command.keeps_runs)
            return self._register_worker(command.worker, command.at_ms, keeps_runs)
        if command.remove_worker is not None:
            keeps_runs = bool(command.keeps_runs)
            return self._remove_worker(command.remove_worker, command.at_ms, keeps_runs)
        if command.settle is not None:
            return self._settle(command.settle)
        if command.config is not None:
            return self._set_config(command.config)
        if command.wave is not None:
            return self._add_wave(command.wave)
        if command.advance_wave is not None:
            return self._advance_wave(command.advance_wave)
        if command.order_machines is not None:
            return self._order_machines(index, command.order_machines)
        if command.assign_sessions is not None:
            return self._assign_sessions(index, command.assign_sessions)
        if command.begin_jobs is not None:
            return self._begin_jobs(command.begin_jobs)
        if command.stop_runs is not None:
            return self._stop_runs(command.stop_runs)
        logging.error("ignored a log entry with an unknown command type")
        return None

    def _set_config(self, command: SetConfig) -> bool:
        current = self.config.version if self.config else -1
        if command.version <= current:
            return False
        self.config = self._decode_config(command.content)
        self.config_content = command.content
        return True

    def _accept(self, record: JobRecord) -> AcceptResult:
        known = self.find_submitted(record)
        if known is not None:
            return known
        if not record.steps or not all(step.count for step in record.steps):
            raise ValueError(f"job {record.job_id} has no steps, or one without tasks")
        self._evict_ended_jobs(record.accepted_at_ms)
        job = JobState(record)
        self.jobs[job.job_id] = job
        self.held_bytes += job_bytes(record)
        self.active[job.job_id] = job
        return AcceptResult.ACCEPTED

    def _evict_ended_jobs(self, now_ms: int) -> None:
        for job in list(self._evictable_jobs(now_ms)):
            del self.jobs[job.job_id]
            self.held_bytes -= job_bytes(job.record)

    def _evictable_jobs(self, now_ms: int) -> Iterator[JobState]:
        """Yield the ended jobs that the next accepted job evicts."""
        oldest = now_ms - ENDED_JOBS_KEPT_MS
        for job in self.jobs.values():
            if not job.is_over():
                continue
            if any(task.has_run() for task in job.all_tasks()):
                continue
            if job.ended_at_ms >= oldest:
                return
            yield job

    def _cancel(self, command: CancelJob) -> CancelResult:
        """Cancel a job, or keep the id if its owner has no such job."""
        if command.host is None:  # An entry of a former version.
            owner, job = None, self.jobs.get(command.job_id)
        else:
            owner = JobOwner(command.host, command.path_prefix, command.team)
            job = self.find_job(owner.host, owner.path_prefix + command.job_id)
            if job is not None and not owner.may_access(job.record):
                job = None
        if job is not None:
            if not job.is_over():
                self._close_job(job, command.at_ms)
                job.cancelled = True
            return CancelResult.CANCELLED
        if owner is None or self.cancelled_ids.add(
            owner, command.job_id, command.at_ms
        ):
            return CancelResult.NO_JOB
        return CancelResult.NO_ROOM

    def _fail_job(self, job: JobState, now_ms: int) -> None:
        self._close_job(job, now_ms)
        job.failed = True

    def _close_job(self, job: JobState, now_ms: int) -> None:
        job.ended_at_ms = max(1, now_ms)
        self.active.pop(job.job_id, None)
        for task in job.all_tasks():
            self.crash_counts.discard(task)
            self.checkpoints.discard(task)
            self.stops_due.update((run.key, run.number) for run in task.runs())

    def _begin_jobs(self, command: BeginJobs) -> None:
        for job_id in command.job_ids:
            job = self.jobs.get(job_id)
            if job is not None:
                job.started = True

    def _start(self, command: RunStarts) -> list[bool]:
        return [
            bool(_attempt("start of a run", self._start_one, run))
            for run in command.runs
        ]

    def _start_one(self, run: Any) -> bool:
        """Mark one task as running, unless its start is no longer valid."""
        key = TaskKey.of(run)
        incarnation = (run.worker_id, run.born_ms)
        job = self.active.get(run.job_id)
        worker = self.workers.get(run.worker_id)
        task = None if job is None else job.task(key)
        if job is None or task is None or worker is None:
            return False
        if run.number <= task.last_number:
            return False
        if worker.draining or worker.leaving or worker.born_ms != run.born_ms:
            return False
        if run.beside:
            if not may_have_copy(job, task, run.worker_id):
                return False
            task.copy = TaskCopy(key, run.number, incarnation)
            self._add_run(task.copy)
        else:
            if task.status is not TaskStatus.WAITING:
                return False
            task.status = TaskStatus.RUNNING
            task.number = run.number
            task.incarnation = incarnation
            task.settled = False
            task.inherited = False
            self._add_run(task)
        task.last_number = run.number
        self.crash_counts.record_responsive(incarnation)
        if self.on_start is not None:
            self.on_start(run)
        return True

    def _end(self, command: RunEnds) -> None:
        for end in command.ends:
            _attempt("end of a run", self._end_reported, end, command.at_ms)

    def _end_reported(self, end: EndRecord, at_ms: int) -> None:
        run = end.run
        key = TaskKey.of(run)
        outcome = RunOutcome(end.outcome)
        job = self.jobs.get(run.job_id)
        if end.unresponsive and self.is_current_run(key, run.number):
            self._record_unresponsive(key, run.number, at_ms)
        self._end_one(key, run.number, outcome, end.checkpoint)
        if job is not None and not job.is_over():
            self._close_if_ended(job, key, at_ms)

    def _end_one(
        self,
        key: TaskKey,
        number: int,
        outcome: RunOutcome,
        checkpoint: str = "",
    ) -> None:
        job = self.jobs.get(key.job_id)
        task = None if job is None else job.task(key)
        if job is None or task is None:
            return
        run = task.run(number)
        if run is None:
            return
        incarnation = run.incarnation
        self._remove_run(run)
        if task.ending:
            task.ending = False  # Another run was done before; this one counts nothing.
            return
        if run is task.copy:
            task.copy = None
        has_other = task.copy is not None or run is not task
        if run is task and task.copy is not None:
            self.runs[task.copy.incarnation][key] = task
            task.adopt_copy()
        if outcome is not RunOutcome.LOST:
            job.started = True
        step = job.steps[key.step]
        if outcome is RunOutcome.DONE and not step.long_running:
            self.done_runs.append((key, number, incarnation))
            job.mark_done(task)
            self.crash_counts.discard(task)
            self.checkpoints.discard(task)
            if step.gang:
                self._end_gang(job, key)
            elif has_other:
                task.ending = True
                self.stops_due.add((key, task.number))
            return
        if not has_other:
            task.status = TaskStatus.WAITING
            task.number = task.last_number
        if outcome is RunOutcome.FAILED:
            task.failures += 1
            if not has_other:
                task.failed_number = task.number
        if checkpoint and not job.is_over():
            resumes = job.tasks(key.occurrence, key.step) if step.gang else [task]
            self.checkpoints.keep(resumes, checkpoint)

    def _end_gang(self, job: JobState, key: TaskKey) -> None:
        """Mark all members of a gang as done once one of them is."""
        for member in job.tasks(key.occurrence, key.step):
            if member.status is TaskStatus.RUNNING:
                self._remove_run(member)
            job.mark_done(member)
            self.crash_counts.discard(member)
            self.checkpoints.discard(member)

    def _add_run(self, run: TaskRun) -> None:
        self.runs.setdefault(run.incarnation, {})[run.key] = run
        self._run_version += 1
        self.run_versions[run.incarnation] = self._run_version

    def _remove_run(self, run: TaskRun) -> None:
        self.stops_due.discard((run.key, run.number))
        runs = self.runs.get(run.incarnation)
        if runs is not None:
            runs.pop(run.key, None)
            self._run_version += 1
            self.run_versions[run.incarnation] = self._run_version
            if not runs:
                del self.runs[run.incarnation]
                del self.run_versions[run.incarnation]
                self._remove_if_leaving(run.incarnation)

    def _close_if_ended(self, job: JobState, key: TaskKey, now_ms: int) -> None:
        """Close a job if it is complete or if a task has used up its attempts."""
        step = job.steps[key.step]
        if not step.long_running:
            tasks = job.tasks(key.occurrence, key.step)
            failures = tasks[key.task_index].failures
            if step.gang:
                failures = sum(task.failures for task in tasks)
            if (
                failures >= self.max_attempts_of(job)
                and tasks[key.task_index].status is not TaskStatus.DONE
            ):
                self._fail_job(job, now_ms)
                return
        if job.is_complete():
            self._close_job(job, now_ms)

    def _register_worker(
        self, record: WorkerRecord, now_ms: int | None, keeps_runs: bool
    ) -> bool:
        """Store a worker's announcement unless a newer one is already stored.

        A new incarnation of a worker, or another worker at the same address, means that
        the previous one has crashed, unless it was draining. A new incarnation inherits
        the runs; another worker does not, as it rejects orders for the previous one.
        """
        address = (record.host, record.port)
        others = [
            item
            for item in self.workers.values()
            if item.worker_id != record.worker_id and (item.host, item.port) == address
        ]
        if keeps_runs and any(other.born_ms > record.born_ms for other in others):
            return False
        stored = self.workers.get(record.worker_id)
        if stored is not None:
            if is_outdated(record, stored):
                return False
            if stored.born_ms != record.born_ms and keeps_runs:
                self._replace_incarnation(stored, record.born_ms, now_ms)
            elif stored.born_ms != record.born_ms:
                self._end_incarnation(stored, True, now_ms)
        for other in others:
            if other.born_ms > record.born_ms:
                return False
            del self.workers[other.worker_id]
            self._end_incarnation(other, True, now_ms)
        self.workers[record.worker_id] = record
        return True

    def _remove_worker(
        self, command: RemoveWorker, now_ms: int | None, keeps_runs: bool
    ) -> bool:
        stored = self.workers.get(command.worker_id)
        if stored is None or stored.born_ms != command.born_ms:
            return False
        if command.successor_born_ms is not None:
            self._replace_incarnation(stored, command.successor_born_ms, now_ms)
            self.workers[command.worker_id] = _unregistered(
                stored, command.successor_born_ms
            )
            return True
        incarnation = (stored.worker_id, stored.born_ms)
        if keeps_runs and not command.unplanned and incarnation in self.runs:
            stored = self.workers[command.worker_id] = copy(stored)
            stored.leaving = True
            self._stop_if_leaving(stored)
            return True
        del self.workers[command.worker_id]
        self._end_incarnation(stored, bool(command.unplanned), now_ms)
        return True

    def _stop_if_leaving(self, record: WorkerRecord) -> None:
        """Have the runs of a worker that drains and leaves stopped.

        Without a drain, the report can be that of a former incarnation.
        """
        if record.leaving and record.draining:
            runs = self.runs.get((record.worker_id, record.born_ms), {})
            self.stops_due.update((run.key, run.number) for run in runs.values())

    def _remove_if_leaving(self, incarnation: WorkerIncarnation) -> None:
        """Remove a worker that leaves, once it has no runs."""
        record = self.workers.get(incarnation[0])
        if record is None or not record.leaving or record.born_ms != incarnation[1]:
            return
        del self.workers[record.worker_id]
        self.crash_counts.record_responsive(incarnation)

    def _end_incarnation(
        self, record: WorkerRecord, unplanned: bool, now_ms: int | None
    ) -> None:
        """End the runs of a worker incarnation as lost; count them if it crashed."""
        given_up = self._count_crash(record, unplanned, now_ms)
        incarnation = (record.worker_id, record.born_ms)
        for run in list(self.runs.get(incarnation, {}).values()):
            self._end_one(run.key, run.number, RunOutcome.LOST)
        for job in given_up:
            self._fail_job(job, now_ms or 0)

    def _replace_incarnation(
        self, record: WorkerRecord, born_ms: int, now_ms: int | None
    ) -> None:
        """Count the crash of an incarnation; its runs pass to the worker's next one.

        The worker keeps its id, and orders name nothing else, so one that was sent to
        the former incarnation can start on the next. The session with that one ends the
        runs that it does not list and can start no more.
        """
        given_up = self._count_crash(record, True, now_ms)
        incarnation = (record.worker_id, record.born_ms)
        for run in list(self.runs.get(incarnation, {}).values()):
            is_stop_due = (run.key, run.number) in self.stops_due
            self._remove_run(run)
            run.incarnation = (record.worker_id, born_ms)
            run.inherited = True
            self._add_run(run)
            if is_stop_due:
                self.stops_due.add((run.key, run.number))
        for job in given_up:
            self._fail_job(job, now_ms or 0)

    def _count_crash(
        self, record: WorkerRecord, unplanned: bool, now_ms: int | None
    ) -> list[JobState]:
        """Count the end of an incarnation; return the jobs that are to be given up.

        Entries of a version that counted no crashes have no time; they count none.
        """
        incarnation = (record.worker_id, record.born_ms)
        unplanned = unplanned and now_ms is not None and not record.leaving
        tasks = list(self.runs.get(incarnation, {}).values())
        if tasks:
            logging.info(
                "worker %s, started at %d ms, has %s with %d runs: %s%s",
                *incarnation,
                "crashed" if unplanned and not record.draining else "ended",
                len(tasks),
                " ".join(f"{task.key}#{task.number}" for task in tasks[:MAX_LOGGED]),
                " ..." if len(tasks) > MAX_LOGGED else "",
            )
        counts = self.crash_counts
        if not unplanned:
            counts.record_responsive(incarnation)
            return []
        if record.draining:
            return counts.record_end_of_drained(incarnation, tasks, self.active)
        return counts.record_crash(incarnation, tasks, self.active)

    def _active_task(self, key: TaskKey) -> TaskState | None:
        job = self.active.get(key.job_id)
        return None if job is None else job.task(key)

    def _record_unresponsive(self, key: TaskKey, number: int, now_ms: int) -> None:
        task = self._active_task(key)
        run = None if task is None else task.run(number)
        record = None if run is None else self.workers.get(run.incarnation[0])
        if task is None or run is None or (record is not None and record.leaving):
            return
        if self.crash_counts.record_unresponsive(task, run):
            self._fail_job(self.active[key.job_id], now_ms)

    def _settle(self, command: SettleRuns) -> None:
        for run in command.runs:
            task = self._active_task(TaskKey.of(run))
            if task is not None and self.is_current_run(task.key, run.number):
                self.crash_counts.settle(task)

    def _add_wave(self, record: WaveRecord) -> bool:
        if record.wave in self.waves:
            return False
        self.waves[record.wave] = Wave(record)
        if len(self.waves) > MAX_WAVES:
            complete = (n for n, wave in self.waves.items() if wave.is_complete())
            self.waves.pop(next(complete, -1), None)
        return True

    def _order_machines(self, index: int, command: OrderMachines) -> bool:
        for machine in command.machines:
            self.machine_holders[machine] = (command.holder, index)
        return True

    def _assign_sessions(self, index: int, command: AssignSessions) -> list[bool]:
        return self.session_assignments.apply(index, command)

    def _stop_runs(self, command: StopRuns) -> None:
        for run in command.runs:
            key = TaskKey.of(run)
            if self.is_current_run(key, run.number):
                self.stops_due.add((key, run.number))

    def _advance_wave(self, command: AdvanceWave) -> bool:
        wave = self.waves.get(command.wave)
        if wave is None:
            return False
        if command.finished:
            wave.finished.add(command.machine)
        else:
            wave.ordered.add(command.machine)
        if wave.is_complete():
            wave.forget_machines()
        return True


def may_have_copy(job: JobState, task: TaskState, worker_id: str) -> bool:
    """Return whether a copy of a task's run may start on a worker.

    Only tasks that end by themselves, by themselves alone, and of steps that permit it.
    """
    step = job.steps[task.key.step]
    return (
        bool(step.speculative)
        and not step.gang
        and not step.long_running
        and task.status is TaskStatus.RUNNING
        and task.copy is None
        and task.incarnation[0] != worker_id
    )


def _have_same_queue(first: JobRecord, second: JobRecord) -> bool:
    """Return whether two jobs were submitted to the same queue.

    Records of former versions have only its name.
    """
    if first.host is None or second.host is None:
        return first.queue == second.queue
    return (first.host, first.path_prefix) == (second.host, second.path_prefix)


def _have_different_teams(first: JobRecord, second: JobRecord) -> bool:
    """Return whether two jobs belong to different teams.

    A job without a team was submitted while its queue needed no key.
    """
    return None not in (first.team, second.team) and first.team != second.team


def _unregistered(record: WorkerRecord, born_ms: int) -> WorkerRecord:
    """Return the record of a worker's next incarnation before it registers.

    Nothing starts on it until then, as it can have another capacity or other labels.
    """
    successor = copy(record)
    successor.born_ms = born_ms
    successor.draining = True
    successor.leaving = None
    successor.sequence = 0
    return successor


def _attempt(what: str, apply: Callable[..., Any], *args: Any) -> Any:
    """Return the result of a step; None if it fails, which is logged.

    All replicas fail in the same way, so they keep the same state. A lack of memory is
    passed on, because it concerns one process only.
    """
    try:
        return apply(*args)
    except MemoryError:
        raise
    except Exception:
        logging.exception("%s is invalid, it is ignored", what)
        return None
