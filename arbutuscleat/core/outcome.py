"""Outcomes: what the caller may conclude about its request."""

from enum import Enum


class Outcome(str, Enum):
    """What is known about the execution of one request."""

    RAN = "ran"
    """The answer is the whole answer of one endpoint to this request."""

    NOT_RUN = "not-run"
    """No byte of the request, nor of an earlier attempt, reached an endpoint."""

    UNKNOWN = "unknown"
    """The request may or may not have run."""
