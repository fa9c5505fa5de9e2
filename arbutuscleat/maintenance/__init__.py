"""The leader's reconcile loop: waves, moves between pools and failure detection.

The leading control instance derives the commands that are due from the replicated
state, and proposes them to the log.  Each part decides on one matter; `Planner` runs
them in rounds.  The budgets are checked again when a command is applied.
"""

from .claim_horizon import ClaimHorizon
from .dispatch_gate import DispatchGate, GateVerdict
from .drain_check import DrainCheck
from .maintenance_controller import MaintenanceController, MaintenanceLimits
from .member_failure_detector import MemberFailureDetector
from .mover import Mover
from .planner import Planner, PlannerParts
from .platform import OperationKind, OperationState, Platform, PlatformError
from .wave_planner import WavePlanner
from .wave_view import WaveView, view_wave, waves

__all__ = [
    "ClaimHorizon",
    "DispatchGate",
    "DrainCheck",
    "GateVerdict",
    "MaintenanceController",
    "MaintenanceLimits",
    "MemberFailureDetector",
    "Mover",
    "OperationKind",
    "OperationState",
    "Planner",
    "PlannerParts",
    "Platform",
    "PlatformError",
    "WavePlanner",
    "WaveView",
    "view_wave",
    "waves",
]
