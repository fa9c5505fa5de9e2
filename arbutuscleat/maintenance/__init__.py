"""Budgets, maintenance waves, moves, and the watch over entry instances."""

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
