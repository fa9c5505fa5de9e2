"""Admission: jobs that are known not to be served in time are refused at once.

It answers more work than all machines together can do: what is accepted then would
wait until it is worth nothing, and hold up the jobs behind it.  Only what is certain
is refused: the wait is reckoned as if every machine worked for the queue at once, and
until an occurrence is worth nothing, not until its objective.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from arbutuscleat.jobs import JobState, JobTable, Queue, TaskStatus
from arbutuscleat.wire.gen_jobs.ttypes import StepRecord

from .objective import longest_chain_ms

LATE_FACTOR = 3
"""A job is worth something until this many times its objective: the platform's rule."""

LEAST_RETRY_MS = 1_000
"""Callers read the wait in whole seconds."""

LARGER_RETRY_MS = 60_000
"""When to ask again whether larger workers have come: machines are added by hand."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """All machines of the provider, those that are off included.

    Parameters
    ----------
    cpu : int
        Thousandths of a core of all of them.
    most_cpu, most_mem_mb, most_gpu : int
        The most that one of them has.
    """

    cpu: int
    most_cpu: int
    most_mem_mb: int
    most_gpu: int


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a job is not accepted, and when to come back."""

    reason: str
    retry_after_ms: int


def backlog_cpu_ms(table: JobTable, service_name: str) -> int:
    """Return the estimated work left of a service's jobs that end by themselves.

    Parameters
    ----------
    table : JobTable
        The table; its lock is held.
    service_name : str
        The service.

    Returns
    -------
    int
        Thousandths of a core times milliseconds.
    """
    return sum(
        _work_left(job)
        for job in table.active.values()
        if not job.record.repeat_count
        and not job.has_long_running_step()
        and table.service_of(job) == service_name
    )


def check_wait(
    steps: Sequence[StepRecord],
    queue: Queue,
    backlog: int,
    fleet: Fleet | None,
    share: float,
) -> Rejection | None:
    """Return why a job cannot be served before it is worth nothing, if that is so.

    Parameters
    ----------
    steps : sequence of StepRecord
        What is handed in.
    queue : Queue
        Where it is handed in.
    backlog : int
        Work ahead of it, in thousandths of a core times milliseconds.
    fleet : Fleet or None
        All machines; None when they are not known.
    share : float
        From 0 to 1: where in the seconds after the expected wait this caller comes
        back, so that not all come together.
    """
    if fleet is None or not fleet.cpu or any(step.long_running for step in steps):
        return None
    chain_ms = longest_chain_ms(steps)
    objective_ms = queue.stretch * chain_ms + queue.target_latency_ms
    wait_ms = backlog / fleet.cpu
    left_ms = LATE_FACTOR * objective_ms - chain_ms
    if wait_ms <= left_ms:
        return None
    retry_ms = max(LEAST_RETRY_MS, int((wait_ms - left_ms) * (1.0 + share)))
    reason = f"it would wait {wait_ms / 1000:.1f} s at least and is worth nothing then"
    return Rejection(reason, retry_ms)


def check_size(steps: Sequence[StepRecord], fleet: Fleet | None) -> Rejection | None:
    """Return why no machine can hold a task of the job, if that is so."""
    if fleet is None:
        return None
    for step in steps:
        cpu = 0 if step.fills else step.cpu
        for wanted, most, unit in (
            (cpu, fleet.most_cpu, "thousandths of a core"),
            (step.mem_mb, fleet.most_mem_mb, "MB"),
            (step.gpu, fleet.most_gpu, "accelerators"),
        ):
            if wanted > most:
                reason = f"a task needs {wanted} {unit}, the largest machine has {most}"
                return Rejection(reason, LARGER_RETRY_MS)
    return None


def _work_left(job: JobState) -> int:
    left = 0
    for number, step in enumerate(job.steps):
        if step.fills or job.is_step_done(0, number):
            continue
        tasks = job.tasks(0, number)
        undone = sum(task.status is not TaskStatus.DONE for task in tasks)
        left += undone * step.cpu * step.estimated_ms
    return left
