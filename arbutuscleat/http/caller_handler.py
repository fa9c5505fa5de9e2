"""The caller API: ``ANY /v1/services/{service}/{path}``.

A caller's request is parsed, served by the router, and answered with the endpoint's
answer or with problem details.  The headers that are meant for this process are not
passed on to the endpoint.
"""

from collections.abc import Callable

from returns.result import Failure, Success

from arbutuscleat.core import (
    Clock,
    Outcome,
    Refusal,
    RefusalReason,
    RequestTracker,
    is_name,
    parse_labels,
    validate_labels,
)
from arbutuscleat.metrics import Metrics
from arbutuscleat.routing import Answer, Request, Router
from arbutuscleat.telemetry import TRACEPARENT, Tracing, current_trace_id
from arbutuscleat.web.http_request import HttpRequest
from arbutuscleat.web.http_response import HttpResponse
from arbutuscleat.web.problem import OUTCOME_HEADER, problem_response, refuse

from .request_handler import RequestHandler

KEY_HEADER = "idempotency-key"
LABELS_HEADER = "arbutuscleat-labels"
TIMEOUT_HEADER = "arbutuscleat-timeout-ms"
INSTANCE_HEADER = "Arbutuscleat-Instance"
TRACE_HEADER = "Arbutuscleat-Trace"
MAX_KEY_LENGTH = 255

_CONSUMED_HEADERS = frozenset({LABELS_HEADER, TIMEOUT_HEADER, TRACEPARENT})


class RequestError(ValueError):
    """A caller's request has an invalid path or header."""


class CallerHandler(RequestHandler):
    """Answers the requests of callers.

    Parameters
    ----------
    router : Router
        Routes the requests to endpoints.
    clock : Clock
        Source of time.
    tracing : Tracing
        Creates the span of each request.
    metrics : Metrics
        Receives the counts and latencies of requests.
    default_timeout, max_timeout : float
        Time limit of a request in seconds: without the timeout header, and the
        maximum with it.
    is_draining : callable
        Returns whether the process is draining before it stops.
    in_progress : RequestTracker
        Counts the requests in progress; a shutdown waits for them.
    """

    def __init__(
        self,
        router: Router,
        clock: Clock,
        tracing: Tracing,
        metrics: Metrics,
        default_timeout: float,
        max_timeout: float,
        is_draining: Callable[[], bool],
        in_progress: RequestTracker,
    ):
        self._router = router
        self._clock = clock
        self._tracing = tracing
        self._metrics = metrics
        self._default_timeout = default_timeout
        self._max_timeout = max_timeout
        self._is_draining = is_draining
        self._in_progress = in_progress

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request of a caller."""
        with self._in_progress.track():
            return self._handle_traced(request)

    def _handle_traced(self, request: HttpRequest) -> HttpResponse:
        started = self._clock.monotonic()
        with self._tracing.span(
            "receive", request.headers.get(TRACEPARENT, "")
        ) as span:
            response = self._answer(request)
            outcome = _header_value(response, OUTCOME_HEADER)
            span.set_attribute("outcome", outcome)
            span.set_attribute("status", response.status)
            trace = ((TRACE_HEADER, current_trace_id()),)
        self._metrics.count("requests", outcome=outcome, status=str(response.status))
        self._metrics.observe("request", self._clock.monotonic() - started)
        return HttpResponse(response.status, response.headers + trace, response.body)

    def _answer(self, request: HttpRequest) -> HttpResponse:
        if self._is_draining():
            detail = "this entry instance is shutting down"
            # An earlier attempt with the same key may have run.
            outcome = (
                Outcome.UNKNOWN if KEY_HEADER in request.headers else Outcome.NOT_RUN
            )
            return problem_response(
                Refusal(RefusalReason.DRAINING, outcome, detail, 0.0)
            )
        try:
            req = self._parse(request)
        except ValueError as exc:
            return refuse(RefusalReason.BAD_REQUEST, str(exc))
        result = self._router.serve(req)
        if isinstance(result, Failure):
            refusal = result.failure()
            self._metrics.count("refusals", reason=refusal.reason.value)
            return problem_response(refusal)
        assert isinstance(result, Success)
        return _make_response(result.unwrap())

    def _parse(self, request: HttpRequest) -> Request:
        segments = request.segments
        if len(segments) < 3 or not is_name(segments[2]):
            raise RequestError("the path has no valid service name")
        service = segments[2]
        key = request.headers.get(KEY_HEADER, "")
        if len(key) > MAX_KEY_LENGTH:
            raise RequestError(
                f"the idempotency key is longer than {MAX_KEY_LENGTH} characters"
            )
        labels = parse_labels(request.headers.get(LABELS_HEADER, ""))
        errors = validate_labels(labels, LABELS_HEADER)
        if errors:
            raise RequestError("; ".join(str(error) for error in errors))
        headers = tuple(
            item
            for item in request.end_to_end_headers()
            if item[0] not in _CONSUMED_HEADERS
        )
        return Request(
            service=service,
            method=request.method,
            path=_path_below_service(request.target),
            headers=headers,
            body=request.body,
            labels=labels,
            key=key,
            timeout_seconds=self._parse_timeout(request),
            is_abandoned=request.is_abandoned,
        )

    def _parse_timeout(self, request: HttpRequest) -> float:
        text = request.headers.get(TIMEOUT_HEADER)
        if text is None:
            return self._default_timeout
        if not text.isdecimal() or not int(text):
            raise RequestError(f"{TIMEOUT_HEADER}: {text!r} is not a positive integer")
        return min(int(text) / 1000.0, self._max_timeout)


def _path_below_service(target: str) -> str:
    # "/v1/services/{service}/{path}" -> "/{path}", still percent-encoded.
    parts = target.split("/", 4)
    if len(parts) == 5:
        return "/" + parts[4]
    query = target.partition("?")[2]
    return "/?" + query if query else "/"


def _make_response(answer: Answer) -> HttpResponse:
    headers = (
        *answer.headers,
        (OUTCOME_HEADER, Outcome.RAN.value),
        (INSTANCE_HEADER, answer.instance_id),
    )
    return HttpResponse(answer.status, headers, answer.body)


def _header_value(response: HttpResponse, name: str) -> str:
    return next((value for key, value in response.headers if key == name), "")
