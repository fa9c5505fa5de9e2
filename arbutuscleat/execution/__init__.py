"""Execution of jobs by the leader: dispatch to workers and control of machines."""

from .executor import Executor
from .leader_load import LeaderLoad
from .limits import ExecutionLimits
from .machine_controller import MachineController
from .machine_waits import MachineWaits
from .provider import MachineOrderOutcome, MachineState, MaySend, Provider
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
    "LeaderLoad",
    "MachineController",
    "MachineOrderOutcome",
    "MachineState",
    "MachineWaits",
    "MaySend",
    "OrderAnswer",
    "OrderOutcome",
    "Provider",
    "RunningTask",
    "StartOrder",
    "StopOrder",
    "WorkerClient",
]
