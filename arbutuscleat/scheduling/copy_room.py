"""Copy room: the idle room of one service for copies, within one plan.

Copies take a share of the service's room, leave part of it idle, and are placed on
sound workers. In a large service not every worker is compared for each of them.
"""

from collections.abc import Iterable, Sequence

from arbutuscleat.wire.gen_jobs.ttypes import StepRecord

from .copy_cases import CopyCase, CopyReason
from .run_ratios import RunRatios
from .worker_view import WorkerView

MAX_SILENT_SHARE = 0.25
"""Largest share of a service's room that copies may have if they are of silent runs:
about that of a rack or a small data centre, whose runs are likely to be lost."""

MAX_SLOW_SHARE = 0.1
"""The same for copies of slow runs, which mostly cost work that is done anyway."""

MIN_IDLE_SHARE = 0.1
"""Share of a service's room that copies leave idle, for the jobs that arrive next."""

MAX_COMPARED = 64
"""Number of workers that accept a copy among which the best one is chosen. Of so many,
some are on another rack than the run and near its data."""

_Amounts = tuple[int, int, int]


class CopyRoom:
    """Room for copies on the usable workers of a service.

    Parameters
    ----------
    workers : sequence of WorkerView
        The usable workers.
    copied : iterable of StepRecord
        The step of each copy that is in progress.
    ratios : RunRatios
        Which workers are slow.
    first : int
        Position of the first worker to compare, so that plans begin with others.
    """

    def __init__(
        self,
        workers: Sequence[WorkerView],
        copied: Iterable[StepRecord],
        ratios: RunRatios,
        first: int,
    ):
        self._room = _sum(
            (v.record.cpu, v.record.mem_mb, v.record.gpu) for v in workers
        )
        self._idle = _sum(
            (max(0, v.cpu), max(0, v.mem_mb), max(0, v.gpu)) for v in workers
        )
        self._used = _sum(_size(step) for step in copied)
        sound = [
            view
            for view in workers
            if not view.grade
            and view.max_new_runs is None
            and not view.isolated_for
            and not ratios.is_slow(view.record.worker_id)
        ]
        start = first % len(sound) if sound else 0
        self._sound = sound[start:] + sound[:start]

    def permits(self, step: StepRecord, reason: CopyReason) -> bool:
        """Return whether the idle room is enough for one more copy."""
        share = MAX_SILENT_SHARE if reason is CopyReason.SILENT else MAX_SLOW_SHARE
        amounts = zip(_size(step), self._used, self._idle, self._room, strict=True)
        return all(
            used + asked <= share * room and idle - asked >= MIN_IDLE_SHARE * room
            for asked, used, idle, room in amounts
            if asked
        )

    def take(
        self, step: StepRecord, view: WorkerView, group: tuple[str, int, int]
    ) -> None:
        """Take the room for a copy of a task of `step` on a worker."""
        view.reserve(step, group)
        self._used = _sum((self._used, _size(step)))
        cpu, mem_mb, gpu = _size(step)
        self._idle = _sum((self._idle, (-cpu, -mem_mb, -gpu)))

    def worker_for(
        self, case: CopyCase, step: StepRecord, former: WorkerView | None
    ) -> WorkerView | None:
        """Return a sound worker for a copy: on another rack if one accepts it.

        Parameters
        ----------
        case : CopyCase
            The run that is to get a copy.
        step : StepRecord
            Its step.
        former : WorkerView or None
            The worker of that run; None if it is gone.
        """
        group = case.task.key[:3]
        rack = former.rack if former is not None else ""
        best = None
        best_rank: tuple[bool, bool, int] | None = None
        compared = 0
        for view in self._sound:
            if view.record.worker_id == case.task.incarnation[0]:
                continue
            if not view.accepts(step, group):
                continue
            rank = (
                bool(rack) and view.rack == rack,
                bool(step.data_rack) and view.rack != step.data_rack,
                view.cpu,
            )
            if best_rank is None or rank < best_rank:
                best, best_rank = view, rank
            compared += 1
            if compared >= MAX_COMPARED:
                break
        return best


def _size(step: StepRecord) -> _Amounts:
    return (step.cpu, step.mem_mb, step.gpu)


def _sum(amounts: Iterable[_Amounts]) -> _Amounts:
    cpu = mem_mb = gpu = 0
    for item in amounts:
        cpu += item[0]
        mem_mb += item[1]
        gpu += item[2]
    return cpu, mem_mb, gpu
