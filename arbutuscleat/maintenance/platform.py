"""The platform: the interface to the external service that reboots instances.

An answer of the platform may be late or lost.  Each operation has an id, so that a
request can be repeated without executing the operation twice.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from returns.result import Result


class OperationKind(str, Enum):
    """Operations that the platform can execute on an instance or task."""

    DRAIN = "drain"
    REBOOT = "reboot"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


class OperationState(str, Enum):
    """Progress of an operation."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


@dataclass(frozen=True)
class PlatformError:
    """The platform did not answer, or refused the operation.

    Parameters
    ----------
    detail : str
        What went wrong, in one sentence.
    """

    detail: str


class Platform(ABC):
    """Executes operations on instances."""

    @abstractmethod
    def operate(
        self, kind: OperationKind, instance_id: str, operation_id: str
    ) -> Result[OperationState, PlatformError]:
        """Request an operation; repeating a request with the same id is safe.

        Parameters
        ----------
        kind : OperationKind
            The operation.
        instance_id : str
            The instance on which it is executed.
        operation_id : str
            Identifies the operation across repeated requests.

        Returns
        -------
        Result of OperationState or PlatformError
            Progress of the operation, or why the request failed.
        """
