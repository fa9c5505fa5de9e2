"""Fronts: what answers the requests below one path."""

from abc import ABC, abstractmethod

from .http_request import HttpRequest
from .http_response import HttpResponse


class Front(ABC):
    """Answers the requests below one path."""

    @abstractmethod
    def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
