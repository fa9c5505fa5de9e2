"""The WSGI application: finds the front of a request and guards the border."""

from collections.abc import Callable, Iterable, Mapping

from absl import logging

from arbutuscleat.core import Outcome, Refusal, RefusalReason
from arbutuscleat.web.http_request import BodyError, read_request
from arbutuscleat.web.http_response import HttpResponse
from arbutuscleat.web.problem import problem_response, refuse

from .request_handler import RequestHandler


class Application:
    """Dispatches on the second segment of the path, as in ``/v1/services/...``.

    Parameters
    ----------
    fronts : mapping of str to RequestHandler
        The fronts by that segment.
    """

    def __init__(self, fronts: Mapping[str, RequestHandler]):
        self._fronts = fronts

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request (PEP 3333)."""
        response = self._respond(environ)
        headers = [*response.headers, ("Content-Length", str(len(response.body)))]
        start_response(response.status_line(), headers)
        return [response.body]

    def _respond(self, environ: dict) -> HttpResponse:
        try:
            request = read_request(environ)
        except BodyError as exc:
            return refuse(RefusalReason.BAD_REQUEST, str(exc))
        segments = request.segments
        front = None
        if len(segments) >= 2 and segments[0] == "v1":
            front = self._fronts.get(segments[1])
        if front is None:
            return refuse(RefusalReason.NOT_FOUND, f"nothing at {request.target!r}")
        try:
            return front.handle(request)
        except Exception:
            logging.exception("front failed")
            detail = "an internal error; the log holds the cause"
            refusal = Refusal(RefusalReason.BAD_REQUEST, Outcome.UNKNOWN, detail)
            return problem_response(refusal, 500)
