"""Outcomes: whether a request was executed, as far as that is known."""

from enum import Enum


class Outcome(str, Enum):
    """Whether a request was executed, as reported to its caller."""

    RAN = "ran"
    """The answer is the complete answer of one endpoint to this request."""

    NOT_RUN = "not-run"
    """No byte of the request or of an earlier attempt reached an endpoint."""

    UNKNOWN = "unknown"
    """The request may or may not have been executed."""
