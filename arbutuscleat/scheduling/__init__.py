"""Decisions on jobs and workers, without network or threads."""

from .objective import longest_chain_ms, objective_at_ms
from .planner import Plan, Planner
from .worker_view import WorkerView

__all__ = ["Plan", "Planner", "WorkerView", "longest_chain_ms", "objective_at_ms"]
