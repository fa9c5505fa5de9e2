"""Logs, spans and metrics."""

from .logs import configure_logs
from .metrics import Metrics
from .tracing import TRACEPARENT, Tracing, current_trace_id, current_traceparent

__all__ = [
    "TRACEPARENT",
    "Metrics",
    "Tracing",
    "configure_logs",
    "current_trace_id",
    "current_traceparent",
]
