"""Backfill: reserve capacity for tasks that fit nowhere, and use it in the meantime.

Tasks that need little would otherwise receive each piece of capacity that becomes free,
so that one that needs more never starts. As in EASY backfilling, capacity is reserved
on the workers where enough of it is expected to be free first, by the estimates of the
tasks that run there. Tasks that end before that time, or need no more than what is
left, still start there. Estimates may be wrong: a run that is overdue is expected to
end now, so the expected time moves with it but no further tasks are admitted.
"""

from bisect import bisect_left
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from arbutuscleat.wire.gen_jobs.ttypes import StepRecord

from .reservation import Reservation
from .worker_view import WorkerView


@dataclass(frozen=True)
class ExpectedEnd:
    """The expected end of a run that ends by itself.

    Parameters
    ----------
    in_ms : int
        Milliseconds until the end; 0 if it is overdue.
    step : StepRecord
        The step of the run.
    """

    in_ms: int
    step: StepRecord


def reserve_capacity(
    step: StepRecord,
    group: tuple[str, int, int],
    count: int,
    views: Sequence[WorkerView],
    ends: Mapping[str, Sequence[ExpectedEnd]],
) -> bool:
    """Reserve capacity for tasks of one step where it is free first.

    Parameters
    ----------
    step : StepRecord
        The step.
    group : tuple of str, int and int
        The job, occurrence and step of the tasks.
    count : int
        Number of tasks, which start together.
    views : sequence of WorkerView
        The workers that may run them.
    ends : mapping of str to sequence of ExpectedEnd
        Expected ends of all runs that end by themselves, by worker id.

    Returns
    -------
    bool
        Whether there will ever be capacity for the tasks.
    """
    times = sorted(
        {0} | {end.in_ms for view in views for end in ends[view.record.worker_id]}
    )

    def fitting(time_ms: int) -> list[int]:
        return [_fitting(step, group, view, ends, time_ms) for view in views]

    position = bisect_left(times, count, key=lambda time_ms: sum(fitting(time_ms)))
    if position == len(times):
        return False
    time_ms = times[position]
    missing = count
    found = sorted(zip(fitting(time_ms), views, strict=True), key=lambda item: -item[0])
    for fits, view in found:
        tasks = min(fits, missing)
        if not tasks:
            break
        missing -= tasks
        cpu, mem_mb, gpu = _free_at(view, ends, time_ms)
        view.reservation = Reservation(
            group,
            time_ms,
            cpu - (0 if step.fills else tasks * step.cpu),
            mem_mb - tasks * step.mem_mb,
            gpu - tasks * step.gpu,
        )
    return True


def _fitting(
    step: StepRecord,
    group: tuple[str, int, int],
    view: WorkerView,
    ends: Mapping[str, Sequence[ExpectedEnd]],
    time_ms: int,
) -> int:
    return view.fitting(step, group, *_free_at(view, ends, time_ms))


def _free_at(
    view: WorkerView, ends: Mapping[str, Sequence[ExpectedEnd]], time_ms: int
) -> tuple[int, int, int]:
    """Return the CPU, memory and accelerators that are expected to be free."""
    cpu, mem_mb, gpu = view.cpu, view.mem_mb, view.gpu
    for end in ends[view.record.worker_id]:
        if end.in_ms <= time_ms:
            cpu += 0 if end.step.fills else end.step.cpu
            mem_mb += end.step.mem_mb
            gpu += end.step.gpu
    return cpu, mem_mb, gpu
