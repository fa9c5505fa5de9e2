"""Faults of a stand-in endpoint, by table."""

from enum import Enum


class EndpointFault(str, Enum):
    """What goes wrong with one request at an endpoint."""

    NONE = "none"
    SLOW = "slow"
    """It runs, and answers late."""

    HANG = "hang"
    """It runs, and never answers."""

    HALF = "half"
    """It runs, and the answer breaks off in the middle."""

    RESET = "reset"
    """It runs, and the connection is reset before the answer."""

    WRONG_LENGTH = "wrong-length"
    """It runs, and the answer is shorter than its declared length."""

    NO_LENGTH = "no-length"
    """It runs, and the answer ends with the connection, without a length."""

    CROSSED = "crossed"
    """It runs, and gets the answer of another request."""

    FAIL = "fail"
    """It runs, and fails with a whole answer of status 500."""

    DROP = "drop"
    """The connection is closed before the request is run."""
