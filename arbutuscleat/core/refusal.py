"""Refusals: typed reasons why a request was not served."""

from dataclasses import dataclass
from enum import Enum

from .outcome import Outcome


class RefusalReason(str, Enum):
    """Why a request was not answered by an endpoint."""

    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    UNAUTHORISED = "unauthorised"
    NOT_FOUND = "not-found"
    UNKNOWN_SERVICE = "unknown-service"
    NO_INSTANCE_MATCHES = "no-instance-matches"
    NO_INSTANCE_READY = "no-instance-ready"
    POOL_FULL = "pool-full"
    OVERLOADED = "overloaded"
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
    """The result of a request that no endpoint answered.

    Parameters
    ----------
    reason : RefusalReason
        The kind of refusal.
    outcome : Outcome
        Whether the request was executed.  `Outcome.RAN` only if the request is known
        to have ended but its answer was lost.
    detail : str
        Explanation for operators and callers, in one sentence.
    retry_after : float or None
        Seconds after which another attempt may succeed.
    """

    reason: RefusalReason
    outcome: Outcome
    detail: str
    retry_after: float | None = None
