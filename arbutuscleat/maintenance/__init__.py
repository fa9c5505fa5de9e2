"""Budgets, maintenance waves, moves, and the watch over entry instances."""

from .claim_horizon import ClaimHorizon
from .dispatch_gate import DispatchGate, GateVerdict
from .member_watch import MemberWatch
from .mover import MoveLimits, Mover
from .planner import Planner

__all__ = [
    "ClaimHorizon",
    "DispatchGate",
    "GateVerdict",
    "MemberWatch",
    "MoveLimits",
    "Mover",
    "Planner",
]
