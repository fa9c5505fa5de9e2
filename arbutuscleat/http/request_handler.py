"""Fronts: what answers the requests below one path."""

from abc import ABC, abstractmethod

from arbutuscleat.web.http_request import HttpRequest
from arbutuscleat.web.http_response import HttpResponse


class RequestHandler(ABC):
    """Answers the requests below one path."""

    @abstractmethod
    def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
