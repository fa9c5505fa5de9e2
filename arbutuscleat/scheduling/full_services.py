"""Full services: which tasks need not be compared with each worker, as none has room.

While a queue needs more than its workers have, most of its jobs wait, and each plan
would compare the next task of each with every worker. A task that asks for no less than
one that no worker has had room for in the same plan does not fit either.
"""

from collections.abc import Sequence

from arbutuscleat.wire.gen_jobs.ttypes import StepRecord

from .wait_reason import WaitReason
from .worker_view import WorkerView

_LACKS_ROOM = frozenset(
    (
        WaitReason.CPU,
        WaitReason.MEMORY,
        WaitReason.ACCELERATORS,
        WaitReason.CIRCUIT_BREAKER,
    )
)
"""Reasons that hold for a larger task as well, until the end of the plan."""


class FullServices:
    """Requirements of finite tasks that found no room, by service, within one plan."""

    def __init__(self) -> None:
        self._refused: dict[str, list[StepRecord]] = {}

    def is_full(self, service: str, step: StepRecord) -> bool:
        """Return whether it is known that no worker of a service accepts a task."""
        if step.long_running or step.fills:
            return False
        return any(
            step.cpu >= other.cpu
            and step.mem_mb >= other.mem_mb
            and step.gpu >= other.gpu
            for other in self._refused.get(service, ())
        )

    def record_refused(
        self,
        service: str,
        step: StepRecord,
        group: tuple[str, int, int],
        workers: Sequence[WorkerView],
    ) -> None:
        """Record that no worker of a service accepts a task now.

        Nothing is recorded if a worker refuses it for another reason than its room.
        """
        if step.long_running or step.fills:
            return
        if all(view.limit(step, group) in _LACKS_ROOM for view in workers):
            self._refused.setdefault(service, []).append(step)
