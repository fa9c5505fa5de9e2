"""Execution: the leader's sessions with workers, and the loop that feeds them."""

from .executor import Executor
from .limits import ExecutionLimits
from .machine_controller import MachineController
from .provider import MachineOrderOutcome, MachineState, Provider
from .worker_client import (
    FinishedRun,
    HoldAnswer,
    HoldOrder,
    OrderAnswer,
    OrderOutcome,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerClient,
)

__all__ = [
    "ExecutionLimits",
    "Executor",
    "FinishedRun",
    "HoldAnswer",
    "HoldOrder",
    "MachineController",
    "MachineOrderOutcome",
    "MachineState",
    "OrderAnswer",
    "OrderOutcome",
    "Provider",
    "RunningTask",
    "StartOrder",
    "StopOrder",
    "WorkerClient",
]
