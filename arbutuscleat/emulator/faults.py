"""Faults that an emulated endpoint can inject."""

from enum import Enum


class EndpointFault(str, Enum):
    """Fault injected into one request."""

    NONE = "none"
    SLOW = "slow"
    """The request runs and is answered late."""

    HANG = "hang"
    """The request runs and is not answered until the endpoint stops."""

    HALF = "half"
    """The request runs and the connection closes in the middle of the answer."""

    RESET = "reset"
    """The request runs and the connection is reset before the answer."""

    WRONG_LENGTH = "wrong-length"
    """The request runs and the answer is shorter than its Content-Length."""

    NO_LENGTH = "no-length"
    """The request runs and the connection closes after half of the answer, which has no
    Content-Length."""

    CROSSED = "crossed"
    """The request runs and receives the answer to another request."""

    FAIL = "fail"
    """The request runs and fails with a complete answer of status 500."""

    DROP = "drop"
    """The connection is reset before the request runs."""
