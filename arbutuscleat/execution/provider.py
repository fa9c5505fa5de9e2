"""The provider of the machines: what it lists and what can be ordered of it."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum


class MachineOrderOutcome(Enum):
    """What the provider did with an order."""

    DONE = "done"
    BUSY = "busy"
    """The machine is not up, or its worker leaves."""

    REFUSED = "refused"
    """The order will not be taken as it is."""

    LATER = "later"
    """Too many calls, or the provider is not in good order."""

    UNKNOWN = "unknown"
    """No answer came; the order may have been carried out."""


@dataclass(frozen=True, slots=True)
class MachineState:
    """One machine as the provider lists it.

    Parameters
    ----------
    machine : str
        The machine.
    service_name : str
        The service whose pool it is in.
    is_up : bool
        Whether it is neither moving, nor down, nor under upkeep.
    worker_id : str
        The worker that runs on it; empty when there is none.
    labels : tuple of str
        Its kind and its rack.
    cpu : int
        Thousandths of a core.
    mem_mb, gpu : int
        Its memory in MB and its accelerators.
    in_upkeep : bool
        Whether it is under upkeep.
    """

    machine: str
    service_name: str
    is_up: bool
    worker_id: str
    labels: tuple[str, ...] = ()
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    in_upkeep: bool = False

    @property
    def kind(self) -> str:
        """Return what the machine may be exchanged for."""
        return self.labels[0] if self.labels else ""


class Provider(ABC):
    """Calls to the provider."""

    @abstractmethod
    def machines(self) -> list[MachineState] | None:
        """Return all machines, or None when the list cannot be had now."""

    @abstractmethod
    def upkeep(self, machine: str, wave: int, fence: int) -> MachineOrderOutcome:
        """Order the upkeep of a machine; what runs on it ends at once."""

    @abstractmethod
    def move(self, machine: str, service_name: str, fence: int) -> MachineOrderOutcome:
        """Order a machine into another pool; what runs on it ends at once."""
