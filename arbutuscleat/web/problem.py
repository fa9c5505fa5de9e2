"""Problem details (RFC 9457): refusals in machine-readable form.

A refusal becomes a JSON body of type ``application/problem+json``.  The outcome, which
says whether the request may have run, is in the body and in a header.
"""

import json
import math

from arbutuscleat.core import Outcome, Refusal, RefusalReason

from .http_response import HttpResponse

PROBLEM_TYPE = "application/problem+json"
OUTCOME_HEADER = "Arbutuscleat-Outcome"

_STATUSES = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.UNAUTHORISED: 401,
    RefusalReason.NOT_FOUND: 404,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.NO_INSTANCE_MATCHES: 422,
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.KEY_IN_PROGRESS: 409,
    RefusalReason.KEY_FINISHED: 409,
    RefusalReason.ANSWER_LOST: 504,
    RefusalReason.FORWARD_LOST: 504,
    RefusalReason.ANSWER_CROSSED: 502,
    RefusalReason.ANSWER_TOO_LARGE: 502,
}
DEFAULT_STATUS = 503
"""Status of the reasons that are not in `_STATUSES`."""


def problem_response(refusal: Refusal, status: int | None = None) -> HttpResponse:
    """Return the response for a refusal.

    Parameters
    ----------
    refusal : Refusal
        Reason, outcome, detail and, optionally, when to retry.
    status : int, optional
        HTTP status; by default the one that belongs to the reason.
    """
    code = status or _STATUSES.get(refusal.reason, DEFAULT_STATUS)
    content = {
        "type": f"urn:arbutuscleat:refusal:{refusal.reason.value}",
        "title": refusal.reason.value,
        "status": code,
        "detail": refusal.detail,
        "outcome": refusal.outcome.value,
    }
    headers = [
        ("Content-Type", PROBLEM_TYPE),
        (OUTCOME_HEADER, refusal.outcome.value),
    ]
    if refusal.retry_after is not None:
        # The header has whole seconds (RFC 9110, section 10.2.3); the body has the
        # exact time.
        headers.append(("Retry-After", str(math.ceil(refusal.retry_after))))
        content["retry_after_ms"] = int(refusal.retry_after * 1000)
    body = json.dumps(content, separators=(",", ":")).encode()
    return HttpResponse(code, tuple(headers), body)


def refuse(
    reason: RefusalReason, detail: str, status: int | None = None
) -> HttpResponse:
    """Return the response for a request that was refused before it ran.

    Parameters
    ----------
    reason : RefusalReason
        Why the request is refused.
    detail : str
        Explanation for people.
    status : int, optional
        HTTP status; by default the one that belongs to `reason`.
    """
    return problem_response(Refusal(reason, Outcome.NOT_RUN, detail), status)
