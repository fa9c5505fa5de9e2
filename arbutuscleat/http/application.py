"""The WSGI application: dispatches each request to its handler.

An unreadable request and an unexpected exception of a handler are answered with problem
details too.
"""

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
    handlers : mapping of str to RequestHandler
        The handlers by that segment.
    """

    def __init__(self, handlers: Mapping[str, RequestHandler]):
        self._handlers = handlers

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request, as PEP 3333 specifies."""
        response = self._respond(environ)
        headers = [*response.headers, ("Content-Length", str(len(response.body)))]
        start_response(response.status_line(), headers)
        return [response.body]

    def _respond(self, environ: dict) -> HttpResponse:
        try:
            request = read_request(environ)
        except BodyError as exc:
            too_large = exc.status == 413
            reason = RefusalReason.TOO_LARGE if too_large else RefusalReason.BAD_REQUEST
            return refuse(reason, str(exc), exc.status)
        segments = request.segments
        handler = None
        if len(segments) >= 2 and segments[0] == "v1":
            handler = self._handlers.get(segments[1])
        if handler is None:
            return refuse(RefusalReason.NOT_FOUND, f"no resource at {request.target!r}")
        try:
            return handler.handle(request)
        except Exception:
            logging.exception("request handler failed")
            detail = "internal error; the cause is in the log of this process"
            refusal = Refusal(RefusalReason.BAD_REQUEST, Outcome.UNKNOWN, detail)
            return problem_response(refusal, 500)
