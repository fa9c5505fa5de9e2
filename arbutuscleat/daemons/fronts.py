"""HTTP fronts that both daemons serve, and the HTTP server."""

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


def make_operator_fronts(
    cfg: ProcessSettings,
    control: ControlClient,
    changed: threading.Condition,
    configuration: Callable[[], FleetConfiguration | None],
) -> dict[str, RequestHandler]:
    """Return the operators' fronts by the path segment after ``/v1/``.

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
    configuration_front = ConfigurationHandler(
        cfg.operators, control, changed, configuration
    )
    return {
        "changes": ChangeHandler(cfg.operators, control),
        "status": StatusHandler(cfg.operators, control),
        **dict.fromkeys(CONFIGURATION_PATHS, configuration_front),
    }


def make_monitoring_fronts(
    metrics: Metrics, health_problem: Callable[[], str]
) -> dict[str, RequestHandler]:
    """Return the monitoring fronts by the path segment after ``/v1/``.

    Parameters
    ----------
    metrics : Metrics
        The metrics of the process.
    health_problem : callable
        Returns why the process is unhealthy, or an empty string.
    """
    return {"health": HealthHandler(health_problem), "metrics": MetricsHandler(metrics)}


def make_http_server(
    cfg: ProcessSettings, fronts: Mapping[str, RequestHandler]
) -> HttpServer:
    """Return an HTTP server for the fronts, with the limits in the settings."""
    return HttpServer(
        Address(str(cfg.http.host), cfg.http.port),
        Application(fronts),
        cfg.http_threads,
        cfg.max_header_bytes,
        cfg.max_body_bytes,
    )
