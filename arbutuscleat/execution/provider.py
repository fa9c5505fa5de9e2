"""Machine provider: interface for listing machines and ordering upkeep and moves."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

MaySend = Callable[[], bool]
"""Returns whether an order may be sent at this moment."""


class MachineOrderOutcome(Enum):
    """How the provider responded to an order."""

    DONE = "done"
    BUSY = "busy"
    """The machine is not up, or its worker is leaving."""

    REFUSED = "refused"
    """The order is invalid; retrying it unchanged does not help."""

    LATER = "later"
    """Rate limited, or the provider is unhealthy; the order can be retried."""

    UNKNOWN = "unknown"
    """No response was received; the order may have been executed."""


@dataclass(frozen=True, slots=True)
class MachineState:
    """State of one machine in the provider's list.

    Parameters
    ----------
    machine : str
        Name of the machine.
    service_name : str
        The service whose pool the machine is in.
    is_up : bool
        False while the machine is moving, down or under upkeep.
    worker_id : str
        The worker that runs on it; empty if there is none.
    labels : tuple of str
        The machine's kind and its rack, in this order.
    cpu : int
        CPU capacity in thousandths of a core.
    mem_mb : int
        Memory in MB.
    gpu : int
        Number of accelerators.
    in_upkeep : bool
        Whether the machine is under upkeep.
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
        """Kind of the machine; machines of one kind are interchangeable."""
        return self.labels[0] if self.labels else ""


class Provider(ABC):
    """Client of the machine provider."""

    @abstractmethod
    def machines(self) -> list[MachineState] | None:
        """Return all machines, or None if the list is currently unavailable."""

    @abstractmethod
    def upkeep(
        self, machine: str, wave: int, fence: int, may_send: MaySend
    ) -> MachineOrderOutcome:
        """Order the upkeep of a machine, which ends every run on it immediately.

        Parameters
        ----------
        machine : str
            The machine.
        wave : int
            Number of the maintenance wave.
        fence : int
            Fencing token of the sender.
        may_send : callable
            Returns whether the order may still be sent. It is called immediately before
            the order is sent; if it returns False, the outcome is LATER.
        """

    @abstractmethod
    def move(
        self, machine: str, service_name: str, fence: int, may_send: MaySend
    ) -> MachineOrderOutcome:
        """Order a machine into another pool, which ends every run on it immediately.

        Parameters
        ----------
        machine : str
            The machine.
        service_name : str
            The service whose pool the machine moves to.
        fence : int
            Fencing token of the sender.
        may_send : callable
            Returns whether the order may still be sent. It is called immediately before
            the order is sent; if it returns False, the outcome is LATER.
        """
