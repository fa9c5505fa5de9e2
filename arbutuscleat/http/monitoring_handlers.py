"""Health and metrics: ``GET /v1/health`` and ``GET /v1/metrics``."""

from collections.abc import Callable

from arbutuscleat.core import RefusalReason
from arbutuscleat.metrics import Metrics
from arbutuscleat.web.http_request import HttpRequest
from arbutuscleat.web.http_response import HttpResponse, json_response, text_response
from arbutuscleat.web.problem import refuse

from .request_handler import RequestHandler


class HealthHandler(RequestHandler):
    """Answers the health checks of the platform's load balancer.

    Parameters
    ----------
    problem : callable
        Returns why the process should receive no requests, or an empty string if it
        is healthy.
    """

    def __init__(self, problem: Callable[[], str]):
        self._problem = problem

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer with status 200 if healthy, and 503 otherwise."""
        if request.method not in ("GET", "HEAD"):
            return refuse(RefusalReason.BAD_REQUEST, "use GET", 405)
        problem = self._problem()
        content = {"healthy": not problem, "problem": problem}
        return json_response(content, 503 if problem else 200)


class MetricsHandler(RequestHandler):
    """Answers reads of the metrics of the process.

    Parameters
    ----------
    metrics : Metrics
        The metrics of the process.
    """

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer with the metrics in the Prometheus text format."""
        if request.method not in ("GET", "HEAD"):
            return refuse(RefusalReason.BAD_REQUEST, "use GET", 405)
        return text_response(self._metrics.render())
