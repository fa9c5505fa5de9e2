"""Structured logs for processes that carry no spans.

JSON lines on standard output, bounded in number and written by a task of their own, so
that neither a flood of lines nor a reader that does not read holds up the process.
"""

from .bounded_handler import BoundedHandler
from .configure import configure_logs
from .rate_limiter import LogRateLimiter

__all__ = ["BoundedHandler", "LogRateLimiter", "configure_logs"]
