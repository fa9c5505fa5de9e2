"""Execution: the leader's sessions with workers, and the loop that feeds them."""

from .executor import Executor
from .limits import ExecutionLimits
from .machine_keeper import MachineKeeper
from .provider import MachineOrder, MachineState, Provider
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
    "MachineKeeper",
    "MachineOrder",
    "MachineState",
    "OrderAnswer",
    "OrderOutcome",
    "Provider",
    "RunningTask",
    "StartOrder",
    "StopOrder",
    "WorkerClient",
]
