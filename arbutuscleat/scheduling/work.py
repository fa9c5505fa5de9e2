"""Work: the resources that tasks occupy, times the milliseconds that they last."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from arbutuscleat.jobs import JobState
from arbutuscleat.wire.gen_jobs.ttypes import StepRecord


class Work(NamedTuple):
    """An amount of work, by estimate.

    Tasks that fill use only the CPU that others leave unused, and are not counted.

    Parameters
    ----------
    cpu : int
        Thousandths of a core times milliseconds.
    mem_mb : int
        MB times milliseconds.
    gpu : int
        Accelerators times milliseconds.
    """

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def plus(self, other: "Work") -> "Work":
        """Return the sum of two amounts."""
        return Work(
            self.cpu + other.cpu, self.mem_mb + other.mem_mb, self.gpu + other.gpu
        )


def work_of(steps: Sequence[StepRecord]) -> Work:
    """Return the work of a job that has not begun."""
    return _sum((step, step.count) for step in steps)


def remaining_work(job: JobState) -> Work:
    """Return the work of the tasks of a one-off job that are not done."""
    return _sum(
        (step, job.undone_count(0, number)) for number, step in enumerate(job.steps)
    )


def _sum(parts: Iterable[tuple[StepRecord, int]]) -> Work:
    cpu = mem_mb = gpu = 0
    for step, tasks in parts:
        if step.fills:
            continue
        task_ms = tasks * step.estimated_ms
        cpu += task_ms * step.cpu
        mem_mb += task_ms * step.mem_mb
        gpu += task_ms * step.gpu
    return Work(cpu, mem_mb, gpu)
