"""HTTP responses with a complete body."""

import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

JSON_TYPE = "application/json"


@dataclass(frozen=True)
class HttpResponse:
    """One HTTP response.

    Parameters
    ----------
    status : int
        The status code.
    headers : tuple of (str, str)
        Names and values, without Content-Length.
    body : bytes
        The complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def status_line(self) -> str:
        """Return the status code and reason phrase in WSGI form."""
        try:
            return f"{self.status} {HTTPStatus(self.status).phrase}"
        except ValueError:
            return f"{self.status} Unknown"


def json_response(content: Any, status: int = 200) -> HttpResponse:
    """Return a response with `content` as JSON."""
    body = json.dumps(content, separators=(",", ":")).encode()
    return HttpResponse(status, (("Content-Type", JSON_TYPE),), body)


def text_response(text: str, status: int = 200) -> HttpResponse:
    """Return a response with `text` as UTF-8 plain text."""
    headers = (("Content-Type", "text/plain; charset=utf-8"),)
    return HttpResponse(status, headers, text.encode())
