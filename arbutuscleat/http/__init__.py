"""The HTTP API for callers, endpoints and operators, and the HTTP clients."""

from arbutuscleat.web.http_request import HttpRequest
from arbutuscleat.web.http_response import HttpResponse, json_response
from arbutuscleat.web.server import HttpServer

from .announcement_handler import AnnouncementHandler
from .application import Application
from .caller_handler import CallerHandler
from .endpoint_client import UrllibEndpointClient
from .monitoring_handlers import HealthHandler, MetricsHandler
from .operator_handlers import ChangeHandler, ConfigurationHandler, StatusHandler
from .platform_client import HttpPlatform, NoPlatform
from .request_handler import RequestHandler

__all__ = [
    "AnnouncementHandler",
    "Application",
    "CallerHandler",
    "ChangeHandler",
    "ConfigurationHandler",
    "HealthHandler",
    "HttpPlatform",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "MetricsHandler",
    "NoPlatform",
    "RequestHandler",
    "StatusHandler",
    "UrllibEndpointClient",
    "json_response",
]
