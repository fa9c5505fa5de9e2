"""The HTTP fronts that both daemons have, and the server around them."""

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
    """Return the operators' fronts by path."""
    reading = ConfigurationHandler(cfg.operators, control, changed, configuration)
    return {
        "changes": ChangeHandler(cfg.operators, control),
        "status": StatusHandler(cfg.operators, control),
        **dict.fromkeys(CONFIGURATION_PATHS, reading),
    }


def make_monitoring_fronts(
    metrics: Metrics, health_problem: Callable[[], str]
) -> dict[str, RequestHandler]:
    """Return the fronts that watch over the process by path."""
    return {"health": HealthHandler(health_problem), "metrics": MetricsHandler(metrics)}


def make_http_server(
    cfg: ProcessSettings, fronts: Mapping[str, RequestHandler]
) -> HttpServer:
    """Return the server of some fronts, within the bounds of the settings."""
    return HttpServer(
        Address(str(cfg.http.host), cfg.http.port),
        Application(fronts),
        cfg.http_threads,
        cfg.max_header_bytes,
        cfg.max_body_bytes,
    )
