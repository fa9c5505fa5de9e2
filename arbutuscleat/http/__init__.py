"""The HTTP fronts for callers, endpoints and operators, and the HTTP clients."""

from .application import Application
from .caller_front import CallerFront
from .endpoint_client import UrllibEndpointClient
from .endpoint_front import EndpointFront
from .front import Front
from .http_request import HttpRequest
from .http_response import HttpResponse, json_response
from .monitoring_front import HealthFront, MetricsFront
from .operator_front import ChangesFront, ConfigurationFront, StatusFront
from .platform_client import HttpPlatform, NoPlatform
from .server import HttpServer

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
