"""The job table: the replicated state that the log's commands change.

It holds the configuration, the jobs with their tasks, the workers that have
announced themselves, and the waves.  Every replica applies the same commands in
the same order; only the leader acts upon what it finds here.
"""

import threading
from collections.abc import Callable
from enum import Enum
from typing import Any

from absl import logging

from arbutuscleat.consensus import StateMachine
from arbutuscleat.wire import decode, encode
from arbutuscleat.wire.gen_jobs.ttypes import (
    AdvanceWave,
    CancelJob,
    JobCommand,
    JobRecord,
    JobTableImage,
    MachineHolder,
    OrderMachines,
    RemoveWorker,
    RunEnds,
    RunStarts,
    SetConfig,
    WaveRecord,
    WorkerRecord,
)

from .job_state import JobState
from .queue_config import QueueConfig
from .run_outcome import RunOutcome
from .task import TaskKey, TaskState, TaskStatus, WorkerIncarnation
from .wave import Wave

ENDED_JOBS_KEPT_MS = 150_000
"""How long an ended job can be asked for; callers are promised 120 s."""

DEFAULT_MAX_ATTEMPTS = 3
"""For jobs of a queue that the configuration no longer has."""


class AcceptResult(Enum):
    """What became of a job that was handed in."""

    ACCEPTED = "accepted"
    EXISTS = "exists"
    CONFLICT = "conflict"


class JobTable(StateMachine):
    """The replicated table.

    Parameters
    ----------
    decode_config : callable
        Turns the operator's text into a `QueueConfig`; it has been validated.
    """

    def __init__(self, decode_config: Callable[[bytes], QueueConfig]):
        self._decode_config = decode_config
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.config: QueueConfig | None = None
        self.config_content = b""
        self.jobs: dict[str, JobState] = {}
        self.active: dict[str, JobState] = {}
        self.workers: dict[str, WorkerRecord] = {}
        self.runs: dict[WorkerIncarnation, dict[TaskKey, TaskState]] = {}
        self.waves: dict[int, Wave] = {}
        self.machine_holders: dict[str, tuple[str, int]] = {}
        """Who ordered a machine last, and in which entry of the log it was said."""

        self.stops_due: set[TaskKey] = set()
        """Runs of jobs that are over; the leader orders their stop."""

    # ---- the log ----

    def apply(self, index: int, payload: bytes) -> Any:
        """Apply one command and return its result for the proposer."""
        command = decode(JobCommand, payload)
        with self.lock:
            result = self._apply(index, command)
            self.changed.notify_all()
            return result

    def image(self) -> bytes:
        """Return the whole state for a snapshot."""
        with self.lock:
            return encode(
                JobTableImage(
                    jobs=[job.to_image() for job in self.jobs.values()],
                    workers=list(self.workers.values()),
                    config_version=self.config.version if self.config else -1,
                    config=self.config_content,
                    waves=[wave.to_record() for wave in self.waves.values()],
                    machine_holders=[
                        MachineHolder(machine=machine, holder=holder)
                        for machine, (holder, _) in self.machine_holders.items()
                    ],
                )
            )

    def restore(self, image: bytes) -> None:
        """Replace the whole state by an image."""
        found = decode(JobTableImage, image)
        with self.lock:
            self.config_content = found.config
            self.config = self._decode_config(found.config) if found.config else None
            self.workers = {item.worker_id: item for item in found.workers}
            self.waves = {item.wave: Wave(item) for item in found.waves}
            self.machine_holders = {
                item.machine: (item.holder, 0) for item in found.machine_holders or ()
            }
            self.jobs = {}
            self.active = {}
            self.runs = {}
            for item in found.jobs:
                job = JobState.from_image(item)
                self.jobs[job.job_id] = job
                if not job.is_over():
                    self.active[job.job_id] = job
                for task in job.all_tasks():
                    if task.status is TaskStatus.RUNNING:
                        self.runs.setdefault(task.incarnation, {})[task.key] = task
            self.changed.notify_all()

    # ---- reading, with `lock` held ----

    def service_of(self, job: JobState) -> str:
        """Return the service that runs a job's tasks now."""
        queue = self.config.queues.get(job.record.queue) if self.config else None
        return job.record.service_name if queue is None else queue.service_name

    def max_attempts_of(self, job: JobState) -> int:
        """Return the failed runs after which a job has failed."""
        queue = self.config.queues.get(job.record.queue) if self.config else None
        return DEFAULT_MAX_ATTEMPTS if queue is None else queue.max_attempts

    def pending(self, queue: str) -> int:
        """Return the number of a queue's jobs of which nothing has started."""
        return sum(
            job.record.queue == queue and not job.started
            for job in self.active.values()
        )

    def is_current_run(self, key: TaskKey, number: int) -> bool:
        """Return whether a run is the current one of a job that goes on."""
        job = self.jobs.get(key.job_id)
        task = None if job is None or job.is_over() else job.task(key)
        return (
            task is not None
            and task.status is TaskStatus.RUNNING
            and task.number == number
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
            return self._take_worker(command.worker)
        if command.remove_worker is not None:
            return self._remove_worker(command.remove_worker)
        if command.config is not None:
            return self._set_config(command.config)
        if command.wave is not None:
            return self._add_wave(command.wave)
        if command.advance_wave is not None:
            return self._advance_wave(command.advance_wave)
        if command.order_machines is not None:
            return self._order_machines(index, command.order_machines)
        logging.error("a command of the log is of an unknown kind and was passed over")
        return None

    def _set_config(self, command: SetConfig) -> bool:
        held = self.config.version if self.config else -1
        if command.version <= held:
            return False
        self.config = self._decode_config(command.content)
        self.config_content = command.content
        return True

    def _accept(self, record: JobRecord) -> AcceptResult:
        known = self.jobs.get(record.job_id)
        if known is not None:
            same = known.record.queue == record.queue
            return AcceptResult.EXISTS if same else AcceptResult.CONFLICT
        self._forget_ended(record.accepted_at_ms)
        job = JobState(record)
        self.jobs[job.job_id] = job
        self.active[job.job_id] = job
        return AcceptResult.ACCEPTED

    def _forget_ended(self, now_ms: int) -> None:
        oldest = now_ms - ENDED_JOBS_KEPT_MS
        for job in list(self.jobs.values()):
            if not job.is_over():
                continue
            if any(task.status is TaskStatus.RUNNING for task in job.all_tasks()):
                continue
            if job.ended_at_ms < oldest:
                del self.jobs[job.job_id]
            else:
                break

    def _cancel(self, command: CancelJob) -> bool:
        job = self.jobs.get(command.job_id)
        if job is None:
            return False
        if not job.is_over():
            job.cancelled = True
            self._close(job, command.at_ms)
        return True

    def _close(self, job: JobState, now_ms: int) -> None:
        job.ended_at_ms = max(1, now_ms)
        self.active.pop(job.job_id, None)
        for task in job.all_tasks():
            if task.status is TaskStatus.RUNNING:
                self.stops_due.add(task.key)

    def _start(self, command: RunStarts) -> list[bool]:
        return [self._start_one(run) for run in command.runs]

    def _start_one(self, run: Any) -> bool:
        """Take one run as ordered, unless something has changed meanwhile."""
        key = TaskKey.of(run)
        incarnation = (run.worker_id, run.born_ms)
        job = self.active.get(run.job_id)
        worker = self.workers.get(run.worker_id)
        task = None if job is None else job.task(key)
        if job is None or task is None or worker is None:
            return False
        if task.status is not TaskStatus.WAITING or run.number <= task.number:
            return False
        if worker.draining or worker.born_ms != run.born_ms:
            return False
        task.status = TaskStatus.RUNNING
        task.number = run.number
        task.incarnation = incarnation
        job.started = True
        self.runs.setdefault(incarnation, {})[key] = task
        return True

    def _end(self, command: RunEnds) -> None:
        for end in command.ends:
            run = end.run
            key = TaskKey.of(run)
            self._end_one(key, run.number, RunOutcome(end.outcome), end.checkpoint)
            job = self.jobs.get(run.job_id)
            if job is not None and not job.is_over():
                self._settle(job, key, command.at_ms)

    def _end_one(
        self, key: TaskKey, number: int, outcome: RunOutcome, checkpoint: str
    ) -> None:
        job = self.jobs.get(key.job_id)
        task = None if job is None else job.task(key)
        if job is None or task is None:
            return
        if task.status is not TaskStatus.RUNNING or task.number != number:
            return
        self._drop_run(task)
        step = job.steps[key.step]
        if outcome is RunOutcome.DONE and not step.long_running:
            job.mark_done(task)
            if step.gang:
                self._end_gang(job, key)
            return
        task.status = TaskStatus.WAITING
        if outcome is RunOutcome.FAILED:
            task.failures += 1
        if checkpoint:
            task.checkpoint = checkpoint
            if step.gang:
                for member in job.tasks(key.occurrence, key.step):
                    member.checkpoint = checkpoint

    def _end_gang(self, job: JobState, key: TaskKey) -> None:
        """Take the end of one member as done for the end of all of them."""
        for member in job.tasks(key.occurrence, key.step):
            if member.status is TaskStatus.RUNNING:
                self._drop_run(member)
            job.mark_done(member)

    def _drop_run(self, task: TaskState) -> None:
        self.stops_due.discard(task.key)
        runs = self.runs.get(task.incarnation)
        if runs is not None:
            runs.pop(task.key, None)
            if not runs:
                del self.runs[task.incarnation]

    def _settle(self, job: JobState, key: TaskKey, now_ms: int) -> None:
        """Close a job whose last task has ended or that has failed."""
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
                job.failed = True
                self._close(job, now_ms)
                return
        if job.is_complete():
            self._close(job, now_ms)

    def _take_worker(self, record: WorkerRecord) -> bool:
        """Take what a worker says of itself, unless it is older than what is held."""
        held = self.workers.get(record.worker_id)
        if held is not None:
            if (record.born_ms, record.sequence) < (held.born_ms, held.sequence):
                return False
            if held.born_ms != record.born_ms:
                self._lose_runs((held.worker_id, held.born_ms))
        for other in list(self.workers.values()):
            if other.worker_id == record.worker_id:
                continue
            if (other.host, other.port) == (record.host, record.port):
                if other.born_ms > record.born_ms:
                    return False
                del self.workers[other.worker_id]
                self._lose_runs((other.worker_id, other.born_ms))
        self.workers[record.worker_id] = record
        return True

    def _remove_worker(self, command: RemoveWorker) -> bool:
        held = self.workers.get(command.worker_id)
        if held is None or held.born_ms != command.born_ms:
            return False
        del self.workers[command.worker_id]
        self._lose_runs((command.worker_id, command.born_ms))
        return True

    def _lose_runs(self, incarnation: WorkerIncarnation) -> None:
        for task in list(self.runs.get(incarnation, {}).values()):
            self._end_one(task.key, task.number, RunOutcome.LOST, "")

    def _add_wave(self, record: WaveRecord) -> bool:
        if record.wave in self.waves:
            return False
        self.waves[record.wave] = Wave(record)
        return True

    def _order_machines(self, index: int, command: OrderMachines) -> bool:
        for machine in command.machines:
            self.machine_holders[machine] = (command.holder, index)
        return True

    def _advance_wave(self, command: AdvanceWave) -> bool:
        wave = self.waves.get(command.wave)
        if wave is None:
            return False
        if command.finished:
            wave.finished.add(command.machine)
        else:
            wave.ordered.add(command.machine)
        return True
