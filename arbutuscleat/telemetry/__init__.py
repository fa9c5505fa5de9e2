"""Telemetry: structured logs and distributed tracing."""

from .logs import configure_logs
from .tracing import TRACEPARENT, Tracing, current_trace_id, current_traceparent

__all__ = [
    "TRACEPARENT",
    "Tracing",
    "configure_logs",
    "current_trace_id",
    "current_traceparent",
]
