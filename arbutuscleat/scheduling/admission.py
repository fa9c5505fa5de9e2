"""Admission control: reject jobs that are certain not to be served in time.

If more work arrives than all machines together can do, an accepted job would wait
until its result has no value any more, and would delay the jobs behind it. The check
is conservative, so that only such jobs are rejected: it assumes that every machine
works for the queue, and it compares the wait with the time at which the job loses its
value, not with its objective.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from arbutuscleat.jobs import JobTable, Queue
from arbutuscleat.wire.gen_jobs.ttypes import StepRecord

from .objective import critical_path_ms
from .work import remaining_work

EXPIRY_FACTOR = 3
"""A job has a value until this multiple of its objective, by the platform's rules."""

MIN_RETRY_MS = 1_000
"""Minimum retry delay: callers read the delay in whole seconds."""

MEMORY_RETRY_MS = 5_000
"""Least retry delay for want of memory: jobs end, and are forgotten, every second."""

ORDINARY_JOB_BYTES = 64 * 1_024
"""Jobs up to this size, such as 100 tasks in ten steps, have memory of their own."""

ORDINARY_SHARE = 8
"""Part of the memory for jobs that is left to ordinary ones."""

SIZE_RETRY_MS = 60_000
"""Retry delay for a job that fits no machine: machines are added manually."""


@dataclass(frozen=True, slots=True)
class FleetCapacity:
    """Capacity of all machines of the provider, including those that are off.

    Parameters
    ----------
    cpu : int
        Total CPU capacity in thousandths of a core.
    max_cpu : int
        Largest CPU capacity of a single machine, in thousandths of a core.
    max_mem_mb : int
        Largest memory of a single machine, in MB.
    max_gpu : int
        Largest number of accelerators of a single machine.
    """

    cpu: int
    max_cpu: int
    max_mem_mb: int
    max_gpu: int


class RejectionCause(Enum):
    """What a rejected job exceeds."""

    SIZE = "size"
    """A task is larger than every machine."""

    WAIT = "wait"
    """The work ahead, on all machines together."""

    CAP = "cap"
    """The work of its team, within what the team may use at the same time."""

    RATE = "rate"
    """The rate of its team, while the service has no room for more."""

    MEMORY = "memory"
    """The memory for jobs of each control instance."""


@dataclass(frozen=True, slots=True)
class Rejection:
    """Reason why a job is rejected, and the delay before a retry.

    Parameters
    ----------
    reason : str
        Explanation for the caller.
    retry_after_ms : int
        Time after which the caller should submit the job again, in milliseconds.
    cause : RejectionCause, default=RejectionCause.WAIT
        What the job exceeds.
    is_final : bool, default=False
        Whether the job would never be accepted, so that no retry helps.
    """

    reason: str
    retry_after_ms: int
    cause: RejectionCause = RejectionCause.WAIT
    is_final: bool = False


def backlog_cpu_ms(table: JobTable, service_name: str) -> int:
    """Return the estimated remaining work of a service's one-off batch jobs.

    Repeating and long-running jobs are not counted.

    Parameters
    ----------
    table : JobTable
        The job table; the caller holds its lock.
    service_name : str
        The service.

    Returns
    -------
    int
        Remaining work in thousandths of a core times milliseconds.
    """
    return sum(
        remaining_work(job).cpu
        for job in table.active.values()
        if not job.record.repeat_count
        and not job.has_long_running_step()
        and table.service_of(job) == service_name
    )


def check_wait(
    steps: Sequence[StepRecord],
    queue: Queue,
    backlog: int,
    fleet: FleetCapacity | None,
    jitter: float,
) -> Rejection | None:
    """Reject a job that cannot be served before it loses its value.

    Parameters
    ----------
    steps : sequence of StepRecord
        Steps of the submitted job.
    queue : Queue
        Queue that the job is submitted to.
    backlog : int
        Work ahead of the job, in thousandths of a core times milliseconds.
    fleet : FleetCapacity or None
        Capacity of all machines; None if it is unknown.
    jitter : float
        Jitter from 0 to 1. It extends the retry delay by up to 100 %, so that rejected
        callers do not all return at the same time.

    Returns
    -------
    Rejection or None
        The rejection, or None if the job may be accepted.
    """
    if fleet is None or not fleet.cpu or any(step.long_running for step in steps):
        return None
    chain_ms = critical_path_ms(steps)
    objective_ms = queue.stretch * chain_ms + queue.target_latency_ms
    wait_ms = backlog / fleet.cpu
    left_ms = EXPIRY_FACTOR * objective_ms - chain_ms
    if wait_ms <= left_ms:
        return None
    retry_ms = max(MIN_RETRY_MS, int((wait_ms - left_ms) * (1.0 + jitter)))
    reason = f"it would wait at least {wait_ms / 1000:.1f} s and have no value by then"
    return Rejection(reason, retry_ms)


def check_memory(
    job_bytes: int, held_bytes: int, max_bytes: int, jitter: float
) -> Rejection | None:
    """Reject a job for which the control instances have no memory.

    Part of the memory is left to ordinary jobs, so that a flood of large ones keeps
    only large ones out.

    Parameters
    ----------
    job_bytes : int
        Memory of the job.
    held_bytes : int
        Memory of the jobs that are held, or about to be.
    max_bytes : int
        Memory for all jobs.
    jitter : float
        Jitter from 0 to 1, as for `check_wait`.

    Returns
    -------
    Rejection or None
        The rejection, or None if there is room for the job.
    """
    if job_bytes > ORDINARY_JOB_BYTES:
        max_bytes -= max_bytes // ORDINARY_SHARE
    if held_bytes + job_bytes <= max_bytes:
        return None
    if job_bytes > max_bytes:
        reason = f"it needs {job_bytes} bytes of memory, of {max_bytes} for all jobs"
        return Rejection(reason, 0, RejectionCause.MEMORY, is_final=True)
    reason = f"it needs {job_bytes} bytes of memory beside {held_bytes} of other jobs"
    retry_ms = int(MEMORY_RETRY_MS * (1.0 + jitter))
    return Rejection(reason, retry_ms, RejectionCause.MEMORY)


def check_size(
    steps: Sequence[StepRecord], fleet: FleetCapacity | None
) -> Rejection | None:
    """Reject a job if one of its tasks fits on no machine.

    Parameters
    ----------
    steps : sequence of StepRecord
        Steps of the submitted job.
    fleet : FleetCapacity or None
        Capacity of all machines; None if it is unknown.

    Returns
    -------
    Rejection or None
        The rejection, or None if every task fits on the largest machine.
    """
    if fleet is None:
        return None
    for step in steps:
        cpu = 0 if step.fills else step.cpu
        for wanted, most, unit in (
            (cpu, fleet.max_cpu, "thousandths of a core"),
            (step.mem_mb, fleet.max_mem_mb, "MB"),
            (step.gpu, fleet.max_gpu, "accelerators"),
        ):
            if wanted > most:
                reason = f"a task needs {wanted} {unit}, the largest machine has {most}"
                return Rejection(reason, SIZE_RETRY_MS, RejectionCause.SIZE)
    return None
