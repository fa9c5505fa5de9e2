"""Structured logs for processes without tracing.

Logs are written to standard output as JSON lines.  Their rate is limited and a
background thread writes them, so that neither a burst of lines nor a stalled reader
blocks the process.
"""

from .bounded_handler import BoundedHandler
from .configure import configure_logs
from .rate_limiter import LogRateLimiter

__all__ = ["BoundedHandler", "LogRateLimiter", "configure_logs"]
