"""The interface of request handlers.

A handler answers all requests whose path starts with one prefix, such as
``/v1/services``.
"""

from abc import ABC, abstractmethod

from arbutuscleat.web.http_request import HttpRequest
from arbutuscleat.web.http_response import HttpResponse


class RequestHandler(ABC):
    """Answers the requests below one path prefix."""

    @abstractmethod
    def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
