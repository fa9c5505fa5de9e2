"""Refusals: why a request was not served, as a type rather than a text."""

from dataclasses import dataclass
from enum import Enum

from .outcome import Outcome


class RefusalReason(str, Enum):
    """Why a request got no answer of an endpoint."""

    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    UNAUTHORISED = "unauthorised"
    NOT_FOUND = "not-found"
    UNKNOWN_SERVICE = "unknown-service"
    NO_INSTANCE_MATCHES = "no-instance-matches"
    NO_INSTANCE_READY = "no-instance-ready"
    POOL_FULL = "pool-full"
    DEADLINE = "deadline"
    DRAINING = "draining"
    NOT_READY = "not-ready"
    NO_QUORUM = "no-quorum"
    ISOLATED = "isolated"
    KEY_REUSED = "key-reused"
    KEY_IN_PROGRESS = "key-in-progress"
    KEY_FINISHED = "key-finished"
    KEY_TOO_OLD = "key-too-old"
    ABANDONED = "abandoned"
    CONNECT_FAILED = "connect-failed"
    ANSWER_LOST = "answer-lost"
    ANSWER_CROSSED = "answer-crossed"
    ANSWER_TOO_LARGE = "answer-too-large"
    FORWARD_LOST = "forward-lost"


@dataclass(frozen=True)
class Refusal:
    """A request that ends without the answer of an endpoint.

    Parameters
    ----------
    reason : RefusalReason
        The type of refusal.
    outcome : Outcome
        What the caller may conclude; never `Outcome.RAN` unless the answer was
        lost after a known end.
    detail : str
        One sentence for people.
    retry_after : float or None
        Seconds after which another attempt may succeed.
    """

    reason: RefusalReason
    outcome: Outcome
    detail: str
    retry_after: float | None = None
