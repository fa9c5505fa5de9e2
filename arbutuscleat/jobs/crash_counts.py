"""Crash counts: under which tasks workers have crashed, and when a task is given up.

A task may crash each worker that starts it. Its runs do not fail, they are lost with
their worker, so it would be started for ever. A worker that crashes usually runs tasks
of many jobs, and only one of them is to blame. So a crash counts for every task on the
worker, a task with several is a suspect, which the planner starts apart from other
jobs, and its job is given up after a lone crash: of a worker that ran nothing of other
jobs.

A crash is the end of a worker incarnation that nobody announced or ordered. A lease
that expires is none: the worker may be cut off. Only if that incarnation is never heard
of again and another one takes its place have the runs ended in a crash after all. Until
that is known, such a run of a suspect counts towards the last limit. So does the end of
a worker that was draining: it may have crashed, or been taken away with its runs.

A long-running run that has lasted for some time is settled: it did not crash its
worker, so later crashes are not counted for it, and earlier ones are forgotten.

A run counts for one crash at most. One that the next incarnation of its worker inherits
was counted when that incarnation registered, and may never have started there.
"""

from collections.abc import Iterable, Mapping

from absl import logging

from arbutuscleat.wire.gen_jobs.ttypes import RunRecord

from .job_state import JobState
from .task import TaskKey, TaskRun, TaskState, TaskStatus, WorkerIncarnation

SUSPECT_CRASHES = 2
"""Number of crashes from which on a task is a suspect."""

MIN_CRASHES = 3
"""Number of crashes after which a job is given up, if the last ones were lone ones."""

LONE_CRASHES = 1
"""Number of lone crashes that show that a task which ends by itself is to blame."""

LONG_RUNNING_LONE_CRASHES = 2
"""Same as `LONE_CRASHES` for a long-running task: it is on a worker for longer, so that
the worker is more likely to crash for another reason."""

MAX_CRASHES = 5
"""Number of crashes after which a job is given up, whatever else the workers ran. Two
starts after the third crash are the most that the platform allows."""


class CrashCounts:
    """Tasks under which workers have crashed; part of the job table.

    Attributes
    ----------
    tasks : dict of TaskKey to TaskState
        Tasks of active jobs that are not done and have crashes.
    """

    def __init__(self) -> None:
        self.tasks: dict[TaskKey, TaskState] = {}
        self._unresolved: dict[WorkerIncarnation, dict[TaskKey, int]] = {}
        """Numbers of the runs whose lease expired on a worker that did not respond,
        and that is not known to have responded since or to have ended; 0 for a task
        that is over or settled elsewhere, whose run was beside the others."""

    def record_unresponsive(self, task: TaskState, run: TaskRun) -> bool:
        """Record that the lease of a task's run has expired on an unresponsive worker.

        Parameters
        ----------
        task : TaskState
            The task.
        run : TaskRun
            The run, which may be the task's copy.

        Returns
        -------
        bool
            Whether the job of the task is to be given up.
        """
        if not _counts(run):
            return False
        self._unresolved.setdefault(run.incarnation, {})[task.key] = run.number
        return self._is_at_limit(task)

    def record_end_of_drained(
        self,
        incarnation: WorkerIncarnation,
        running: Iterable[TaskRun],
        active: Mapping[str, JobState],
    ) -> list[JobState]:
        """Record the end of a draining worker; return the jobs that are to be given up.

        Parameters
        ----------
        incarnation : WorkerIncarnation
            The worker incarnation that has ended.
        running : iterable of TaskRun
            The runs on it.
        active : mapping of str to JobState
            The active jobs by id.
        """
        lapsed = self._unresolved.pop(incarnation, {})
        keys = {task.key for task in running if _counts(task)}
        keys.update(key for key, number in lapsed.items() if number)
        given_up = {}
        for key in sorted(keys):
            job = active.get(key.job_id)
            task = None if job is None else job.task(key)
            if job is None or task is None or task.status is TaskStatus.DONE:
                continue
            task.uncertain_crashes += 1
            if self._is_at_limit(task):
                given_up[key.job_id] = job
        return list(given_up.values())

    def _is_at_limit(self, task: TaskState) -> bool:
        """Return whether a suspect is at the last limit, with what is uncertain."""
        unresolved = sum(
            runs.get(task.key, 0) > 0 for runs in self._unresolved.values()
        )
        uncertain = task.uncertain_crashes + unresolved
        if task.crashes < SUSPECT_CRASHES or task.crashes + uncertain < MAX_CRASHES:
            return False
        logging.warning(
            "job %s is given up: %d workers have crashed under task %s, %d more were "
            "draining or do not respond",
            task.key.job_id,
            task.crashes,
            task.key,
            uncertain,
        )
        return True

    def record_responsive(self, incarnation: WorkerIncarnation) -> None:
        """Record that a worker has not crashed: a run starts on it, or it left."""
        self._unresolved.pop(incarnation, None)

    def record_crash(
        self,
        incarnation: WorkerIncarnation,
        running: Iterable[TaskRun],
        active: Mapping[str, JobState],
    ) -> list[JobState]:
        """Count the crash of a worker, and return the jobs that are to be given up.

        Parameters
        ----------
        incarnation : WorkerIncarnation
            The worker incarnation that has ended.
        running : iterable of TaskRun
            The runs on it.
        active : mapping of str to JobState
            The active jobs by id.
        """
        lapsed = self._unresolved.pop(incarnation, {})
        tasks = list(running)
        beside = {task.key for task in tasks if not task.settled}
        is_only_job = len({key.job_id for key in [*beside, *lapsed]}) == 1
        keys = {task.key for task in tasks if _counts(task)}
        keys.update(key for key, number in lapsed.items() if number)
        given_up: dict[str, JobState] = {}
        for key in sorted(keys):
            job = active.get(key.job_id)
            task = None if job is None else job.task(key)
            if job is None or task is None or task.status is TaskStatus.DONE:
                continue
            task.crashes += 1
            task.lone_crashes = task.lone_crashes + 1 if is_only_job else 0
            self.tasks[key] = task
            long_running = bool(job.steps[key.step].long_running)
            if key.job_id in given_up:
                continue
            if self._is_at_limit(task):
                given_up[key.job_id] = job
            elif _is_to_blame(task, long_running):
                given_up[key.job_id] = job
                logging.warning(
                    "job %s is given up: %d workers have crashed under task %s, the "
                    "last one, %s, with runs of this job only",
                    key.job_id,
                    task.crashes,
                    key,
                    incarnation[0],
                )
        return list(given_up.values())

    def settle(self, task: TaskState) -> None:
        """Record that the current run of a task has lasted, so it crashes no worker."""
        task.settled = True
        task.crashes = 0
        task.lone_crashes = 0
        task.uncertain_crashes = 0
        self.discard(task)

    def discard(self, task: TaskState) -> None:
        """Forget a task that is done, or whose job is over."""
        self.tasks.pop(task.key, None)
        for incarnation, runs in list(self._unresolved.items()):
            if task.key in runs:
                runs[task.key] = 0
            if not any(runs.values()):
                del self._unresolved[incarnation]

    # ---- snapshots ----

    def unresolved_runs(self) -> list[RunRecord]:
        """Return the unresolved runs in their snapshot format."""
        return [
            key.run_record(number, incarnation)
            for incarnation, runs in self._unresolved.items()
            for key, number in runs.items()
        ]

    def restore(
        self, tasks: Iterable[TaskState], unresolved: Iterable[RunRecord]
    ) -> None:
        """Replace the state by that of a snapshot.

        Parameters
        ----------
        tasks : iterable of TaskState
            The tasks of all active jobs.
        unresolved : iterable of RunRecord
            The unresolved runs.
        """
        self.tasks = {
            task.key: task
            for task in tasks
            if task.crashes and task.status is not TaskStatus.DONE
        }
        self._unresolved = {}
        for run in unresolved:
            incarnation = (run.worker_id, run.born_ms)
            runs = self._unresolved.setdefault(incarnation, {})
            runs[TaskKey.of(run)] = run.number


def _counts(run: TaskRun) -> bool:
    """Return whether the end of its worker counts as a crash under a running task."""
    return not run.settled and not run.inherited


def _is_to_blame(task: TaskState, long_running: bool) -> bool:
    lone = LONG_RUNNING_LONE_CRASHES if long_running else LONE_CRASHES
    return task.crashes >= MIN_CRASHES and task.lone_crashes >= lone
