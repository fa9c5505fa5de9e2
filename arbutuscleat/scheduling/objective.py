"""Objectives: the time by which a job should be complete to have its full value.

The objective follows from the estimated duration of the job's critical path, scaled
by the queue's stretch factor, and the queue's target latency.
"""

from collections.abc import Sequence

from arbutuscleat.jobs import JobState, Queue
from arbutuscleat.wire.gen_jobs.ttypes import StepRecord

DEFAULT_STRETCH = 2.0
DEFAULT_TARGET_MS = 1_000
"""Stretch and target for jobs whose queue was removed from the configuration."""


def critical_path_ms(steps: Sequence[StepRecord], first: int = 0) -> int:
    """Return the estimated duration of the critical path of a job.

    Parameters
    ----------
    steps : sequence of StepRecord
        The steps of the job.
    first : int
        Index of the first step that is not done; earlier steps take no time.

    Returns
    -------
    int
        Duration of the longest chain of dependent steps, in milliseconds.
    """
    ends: list[int] = []
    for number, step in enumerate(steps):
        begin = max((ends[earlier] for earlier in step.after or ()), default=0)
        ends.append(begin + (step.estimated_ms if number >= first else 0))
    return max(ends, default=0)


def objective_at_ms(job: JobState, occurrence: int, queue: Queue | None) -> int:
    """Return the time by which an occurrence of a job should be complete.

    Parameters
    ----------
    job : JobState
        The job.
    occurrence : int
        Index of the occurrence.
    queue : Queue or None
        The job's queue; None if the configuration no longer has it.

    Returns
    -------
    int
        The objective in Unix milliseconds.
    """
    stretch = DEFAULT_STRETCH if queue is None else queue.stretch
    target = DEFAULT_TARGET_MS if queue is None else queue.target_latency_ms
    chain = critical_path_ms(job.steps)
    return job.due_at_ms(occurrence) + int(stretch * chain) + target
