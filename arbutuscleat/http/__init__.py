"""The HTTP fronts for callers, endpoints and operators, and the HTTP clients."""

from arbutuscleat.web.http_request import HttpRequest
from arbutuscleat.web.http_response import HttpResponse, json_response
from arbutuscleat.web.server import HttpServer

from .application import Application
from .caller_front import CallerFront
from .endpoint_client import UrllibEndpointClient
from .endpoint_front import EndpointFront
from .front import Front
from .monitoring_front import HealthFront, MetricsFront
from .operator_front import ChangesFront, ConfigurationFront, StatusFront
from .platform_client import HttpPlatform, NoPlatform

__all__ = [
    "Application",
    "CallerFront",
    "ChangesFront",
    "ConfigurationFront",
    "EndpointFront",
    "Front",
    "HealthFront",
    "HttpPlatform",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "MetricsFront",
    "NoPlatform",
    "StatusFront",
    "UrllibEndpointClient",
    "json_response",
]
