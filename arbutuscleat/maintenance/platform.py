"""The platform: what reboots instances for us.

Operations carry an id, so that a resent one is not done twice; its answer may be
late or lost.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from returns.result import Result


class OperationKind(str, Enum):
    """What the platform can do to an instance or task."""

    DRAIN = "drain"
    REBOOT = "reboot"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


class OperationState(str, Enum):
    """How far an operation has come."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


@dataclass(frozen=True)
class PlatformError:
    """The platform gave no answer, or refused."""

    detail: str


class Platform(ABC):
    """Operations on instances."""

    @abstractmethod
    def operate(
        self, kind: OperationKind, instance_id: str, operation_id: str
    ) -> Result[OperationState, PlatformError]:
        """Ask for an operation; asking again under the same id is safe."""
