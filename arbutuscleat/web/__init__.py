"""HTTP primitives: the server, requests, responses and problem details."""

from .http_request import BodyError, HttpRequest, read_request
from .http_response import JSON_TYPE, HttpResponse, json_response, text_response
from .problem import problem_response, refuse
from .server import HttpServer

__all__ = [
    "JSON_TYPE",
    "BodyError",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "json_response",
    "problem_response",
    "read_request",
    "refuse",
    "text_response",
]
