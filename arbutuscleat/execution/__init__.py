"""Execution of jobs: scheduling, sessions with workers and control of machines."""

from .end_batcher import EndBatcher
from .executor import Executor
from .leader_load import LeaderLoad
from .limits import ExecutionLimits
from .machine_controller import MachineController
from .machine_waits import MachineWaits
from .provider import MachineOrderOutcome, MachineState, MaySend, Provider
from .session_balancer import SessionBalancer
from .session_holding import SessionHolding
from .session_lease import SessionLease
from .session_manager import SessionManager
from .session_registry import SessionRegistry
from .session_reports import SessionReports
from .worker_client import (
    NO_POSITION,
    UNKNOWN_PROGRESS,
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
    "NO_POSITION",
    "UNKNOWN_PROGRESS",
    "EndBatcher",
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
    "SessionBalancer",
    "SessionHolding",
    "SessionLease",
    "SessionManager",
    "SessionRegistry",
    "SessionReports",
    "StartOrder",
    "StopOrder",
    "WorkerClient",
]
