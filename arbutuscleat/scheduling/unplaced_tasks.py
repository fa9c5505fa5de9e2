"""Unplaced tasks: waiting tasks that no worker of their service will ever accept.

Sums of CPU and memory do not show that a task has nowhere to go: each worker may be at
the spread limit of its step, too small, or full of long-running tasks in a way that
leaves no piece of capacity large enough. Only another machine helps such a task.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from arbutuscleat.wire.gen_jobs.ttypes import StepRecord

from .worker_view import WorkerView

MAX_STEPS = 64
"""Long-running steps per service whose waiting tasks are compared with the workers. It
bounds how long the table is locked."""


@dataclass(frozen=True, slots=True)
class UnplacedTasks:
    """Waiting tasks of one step that need another machine.

    Parameters
    ----------
    group : tuple of str, int and int
        The job, occurrence and step.
    step : StepRecord
        The step.
    count : int
        Number of tasks; 1 for finite tasks, which can use a machine one by one.
    """

    group: tuple[str, int, int]
    step: StepRecord
    count: int

    def place_on(self, view: WorkerView, count: int) -> int:
        """Reserve capacity for at most `count` tasks; return for how many it did."""
        for number in range(count):
            if not view.accepts(self.step, self.group):
                return number
            view.reserve(self.step, self.group)
        return count


class Placement:
    """Places waiting tasks on the workers of a service, to find those that fit nowhere.

    Parameters
    ----------
    workers : sequence of WorkerView
        The workers, including those that machines on their way will have. Capacity is
        reserved in them.
    """

    def __init__(self, workers: Sequence[WorkerView]):
        self._workers = workers
        self._steps_left = MAX_STEPS
        self.unplaced: list[UnplacedTasks] = []
        self.long_running_with_room = 0
        """Number of waiting long-running tasks that some worker will accept."""

    def add(self, step: StepRecord, group: tuple[str, int, int], count: int) -> None:
        """Place the waiting tasks of a step.

        Parameters
        ----------
        step : StepRecord
            The step.
        group : tuple of str, int and int
            The job, occurrence and step.
        count : int
            Number of waiting tasks.
        """
        if not step.long_running:
            if not any(view.fits_if_idle(step) for view in self._workers):
                self.unplaced.append(UnplacedTasks(group, step, 1))
            return
        if not self._steps_left:
            return
        self._steps_left -= 1
        left = count
        for is_accepted in (WorkerView.accepts, WorkerView.will_accept):
            # A worker that has refused one task of a step will refuse the next one.
            for view in self._workers:
                while left and is_accepted(view, step, group):
                    view.reserve(step, group)
                    left -= 1
        self.long_running_with_room += count - left
        if left:
            self.unplaced.append(UnplacedTasks(group, step, left))
