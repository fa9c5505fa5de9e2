"""HTTP request handlers that both daemons use, and the HTTP server."""

import threading
from collections.abc import Callable, Mapping

from arbutuscleat.http import (
    Application,
    ChangeHandler,
    ConfigurationHandler,
    HealthHandler,
    HttpServer,
    MetricsHandler,
    RequestHandler,
    StatusHandler,
)
from arbutuscleat.membership import ControlClient
from arbutuscleat.metrics import Metrics
from arbutuscleat.settings import ProcessSettings
from arbutuscleat.state import FleetConfiguration
from arbutuscleat.wire import Address

CONFIGURATION_PATHS = ("pools", "labels", "selectors", "instances", "waves")


def make_operator_handlers(
    cfg: ProcessSettings,
    control: ControlClient,
    changed: threading.Condition,
    configuration: Callable[[], FleetConfiguration | None],
) -> dict[str, RequestHandler]:
    """Return the request handlers for operators by the path segment after ``/v1/``.

    Parameters
    ----------
    cfg : ProcessSettings
        The settings of the process.
    control : ControlClient
        Client of the control instances.
    changed : threading.Condition
        Notified when the configuration changes.
    configuration : callable
        Returns the current configuration, or None if there is none yet.
    """
    configuration_handler = ConfigurationHandler(
        cfg.operators, control, changed, configuration
    )
    return {
        "changes": ChangeHandler(cfg.operators, control),
        "status": StatusHandler(cfg.operators, control),
        **dict.fromkeys(CONFIGURATION_PATHS, configuration_handler),
    }


def make_monitoring_handlers(
    metrics: Metrics, health_problem: Callable[[], str]
) -> dict[str, RequestHandler]:
    """Return the request handlers for monitoring by the path segment after ``/v1/``.

    Parameters
    ----------
    metrics : Metrics
        The metrics of the process.
    health_problem : callable
        Returns why the process is unhealthy, or an empty string.
    """
    return {"health": HealthHandler(health_problem), "metrics": MetricsHandler(metrics)}


def make_http_server(
    cfg: ProcessSettings, handlers: Mapping[str, RequestHandler], metrics: Metrics
) -> HttpServer:
    """Return an HTTP server for the handlers, with the limits from the settings."""
    return HttpServer(
        Address(str(cfg.http.host), cfg.http.port),
        Application(handlers),
        cfg.http_threads,
        cfg.max_header_bytes,
        cfg.max_body_bytes,
        cfg.client_limits.limits(),
        metrics,
    )
