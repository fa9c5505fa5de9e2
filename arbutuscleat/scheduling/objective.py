"""Objectives: by when a job is worth most."""

from collections.abc import Sequence

from arbutuscleat.jobs import JobState, Queue
from arbutuscleat.wire.gen_jobs.ttypes import StepRecord

DEFAULT_STRETCH = 2.0
DEFAULT_TARGET_MS = 1_000
"""For jobs of a queue that the configuration no longer has."""


def critical_path_ms(steps: Sequence[StepRecord], first: int = 0) -> int:
    """Return the estimated milliseconds of the longest chain of steps.

    Parameters
    ----------
    steps : sequence of StepRecord
        The steps of a job.
    first : int
        Earlier steps count as done.
    """
    ends: list[int] = []
    for number, step in enumerate(steps):
        begin = max((ends[earlier] for earlier in step.after or ()), default=0)
        ends.append(begin + (step.estimated_ms if number >= first else 0))
    return max(ends, default=0)


def objective_at_ms(job: JobState, occurrence: int, queue: Queue | None) -> int:
    """Return the Unix millisecond by which an occurrence should be complete."""
    stretch = DEFAULT_STRETCH if queue is None else queue.stretch
    target = DEFAULT_TARGET_MS if queue is None else queue.target_latency_ms
    chain = critical_path_ms(job.steps)
    return job.due_at_ms(occurrence) + int(stretch * chain) + target
