"""HTTP server for the metrics of a process."""

from collections.abc import Callable, Iterable

from absl import logging

from arbutuscleat.core import ClientLimits
from arbutuscleat.metrics import Metrics
from arbutuscleat.web import HttpServer
from arbutuscleat.wire import Address

METRICS_THREADS = 1
MAX_HEADER_BYTES = 16_384


class MetricsServer:
    """Serves the metrics of a process in the Prometheus text format.

    Parameters
    ----------
    address : Address or None
        Address to listen on; None disables the server.
    path : str
        Path of the metrics; any other path is answered with 404.
    metrics : Metrics
        The metrics that are served.
    limits : ClientLimits, optional
        Limits on clients.
    """

    def __init__(
        self,
        address: Address | None,
        path: str,
        metrics: Metrics,
        limits: ClientLimits | None = None,
    ):
        self._path = path
        self._metrics = metrics
        self._server: HttpServer | None = None
        if address is not None:
            self._server = HttpServer(
                address,
                self._answer,
                METRICS_THREADS,
                MAX_HEADER_BYTES,
                0,
                (limits or ClientLimits()).for_checks(),
                metrics,
                "metrics",
            )

    def start(self) -> None:
        """Start listening.

        If the address is in use, an error is logged and the process runs without
        serving its metrics.
        """
        if self._server is None:
            return
        try:
            self._server.start()
        except OSError as exc:
            logging.error("cannot serve metrics: %s", exc)
            self._server = None

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop()

    def _answer(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        found = environ["PATH_INFO"] == self._path
        body = self._metrics.render().encode() if found else b""
        headers = [
            ("Content-Type", "text/plain; version=0.0.4"),
            ("Content-Length", str(len(body))),
        ]
        start_response("200 OK" if found else "404 Not Found", headers)
        return [body]
