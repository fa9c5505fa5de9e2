"""Service demand: what the tasks of one service need from its machines.

Demand is summed over the running tasks and those that could start now. Some machines
cannot run all of the tasks, because they lack a label or accelerators; the tasks that
have such a requirement are therefore summed up separately as well.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from .admission import FleetCapacity
from .unplaced_tasks import UnplacedTasks


@dataclass(frozen=True, slots=True)
class Requirement:
    """What a machine must have, other than room, to run some tasks.

    Parameters
    ----------
    label : str
        Label that the machine must have; empty for any machine.
    gpu : int
        Minimum number of accelerators.
    """

    label: str = ""
    gpu: int = 0

    def is_met_by(self, labels: Sequence[str], gpu: int) -> bool:
        """Return whether a machine with these labels and accelerators meets it."""
        return gpu >= self.gpu and (not self.label or self.label in labels)


ANY_MACHINE = Requirement()


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of one service, or of its tasks with one requirement.

    Parameters
    ----------
    running_cpu : int
        CPU of the running tasks, in thousandths of a core.
    waiting_cpu : int
        CPU of the tasks that could start now, in thousandths of a core.
    min_machines : int
        Minimum number of machines of any size, as required by spread limits. Steps
        whose requirement has its own part are not included.
    running_mem_mb, waiting_mem_mb : int
        Memory of these tasks in MB.
    running_gpu, waiting_gpu : int
        Accelerators of these tasks.
    waiting_tasks : int
        Number of tasks that could start now.
    by_requirement : mapping of Requirement to Demand
        The parts of the demand that only some machines can meet.
    unplaced : tuple of UnplacedTasks
        Waiting tasks that none of the machines that the service has will run.
    has_tasks_with_room : bool
        Whether a long-running task waits that one of these machines will run.
    """

    running_cpu: int = 0
    waiting_cpu: int = 0
    min_machines: int = 0
    running_mem_mb: int = 0
    waiting_mem_mb: int = 0
    running_gpu: int = 0
    waiting_gpu: int = 0
    waiting_tasks: int = 0
    by_requirement: Mapping[Requirement, "Demand"] = field(default_factory=dict)
    unplaced: tuple[UnplacedTasks, ...] = ()
    has_tasks_with_room: bool = False

    @property
    def cpu(self) -> int:
        """CPU of the running and waiting tasks."""
        return self.running_cpu + self.waiting_cpu

    @property
    def mem_mb(self) -> int:
        """Memory of the running and waiting tasks."""
        return self.running_mem_mb + self.waiting_mem_mb

    @property
    def gpu(self) -> int:
        """Accelerators of the running and waiting tasks."""
        return self.running_gpu + self.waiting_gpu


def has_shortage(demands: Iterable[Demand], fleet: FleetCapacity) -> bool:
    """Return whether any service has more waiting tasks than one machine can run.

    Parameters
    ----------
    demands : iterable of Demand
        The demand of each service.
    fleet : FleetCapacity
        Capacity of the largest machine.
    """
    return any(
        waiting > size > 0
        for demand in demands
        for waiting, size in (
            (demand.waiting_cpu, fleet.max_cpu),
            (demand.waiting_mem_mb, fleet.max_mem_mb),
            (demand.waiting_gpu, fleet.max_gpu),
        )
    )
