"""Entry nodes: the front for callers, without state of its own."""

import threading
import uuid
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from absl import logging

from arbutuscleat.access import LeaderClient
from arbutuscleat.core import SystemClock
from arbutuscleat.metrics import Metrics
from arbutuscleat.web import HttpServer
from arbutuscleat.wire import Address, Credentials

from .metrics_server import MetricsServer

CALLER_THREADS = 24
"""Calls at a time: those of a burst while an election lasts."""

READINESS_THREADS = 2
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 262_144
"""The limit of the platform's configuration."""

LOOK_SECONDS = 0.25
"""How often an entry node looks whether control still answers."""

UNREADY_SECONDS = 2.5
"""Silence of control after which callers should be sent elsewhere: longer than an
election, which moving them would not shorten."""

CUT_OFF_SECONDS = 0.5
"""The same when most control instances are out of reach: callers of a data centre that
is cut off are served elsewhere; two looks, so that one lost call sends nobody away."""

UNROUTED_SECONDS = 3.0
"""From unready until no new connection comes: two misses of a check each second."""

MakeApplication = Callable[[LeaderClient, Callable[[], bool], Metrics], Callable]


@dataclass(frozen=True)
class EntryNodeConfig:
    """What an entry node goes by.

    Parameters
    ----------
    host : str
        IP number.
    peer_port : int
        Port of the control nodes for our own processes.
    callers, readiness : Address
        Where callers and the balancer's checks come.
    read_seeds : callable
        Returns the hosts that the settings name now.
    cluster : str
        Name that all processes of the installation share.
    readiness_path : str
        What the balancer asks for.
    metrics : Address, optional
        Where the process shows its metrics.
    metrics_path : str
        What is asked for there.
    """

    host: str
    peer_port: int
    callers: Address
    readiness: Address
    read_seeds: Callable[[], Sequence[str]]
    cluster: str
    readiness_path: str
    metrics: Address | None = None
    metrics_path: str = ""


class EntryNode:
    """Wires the parts of an entry node.

    Parameters
    ----------
    cfg : EntryNodeConfig
        What it goes by.
    make_application : callable
        Makes the WSGI application for callers.
    """

    def __init__(self, cfg: EntryNodeConfig, make_application: MakeApplication):
        self._cfg = cfg
        clock = SystemClock()
        self._clock = clock
        self._closing = threading.Event()
        self._stopping = threading.Event()
        credentials = Credentials(cfg.cluster, "", cfg.host, uuid.uuid4().hex)
        self._link = LeaderClient(cfg.read_seeds, cfg.peer_port, credentials, clock)
        self._knows_leader = False
        metrics = Metrics()
        front = make_application(self._link, lambda: not self.is_ready(), metrics)
        self._callers = HttpServer(
            cfg.callers, front, CALLER_THREADS, MAX_HEADER_BYTES, MAX_BODY_BYTES
        )
        self._readiness = HttpServer(
            cfg.readiness, self._check, READINESS_THREADS, MAX_HEADER_BYTES, 0
        )
        self.metrics = metrics
        self.metrics.collect(self._gauges)
        self._metrics_server = MetricsServer(cfg.metrics, cfg.metrics_path, metrics)
        self._watch = threading.Thread(target=self._look, name="watch", daemon=True)

    def start(self) -> None:
        """Start every task."""
        self._callers.start()
        self._readiness.start()
        self._watch.start()
        self._metrics_server.start()
        logging.info("entry node listens on %s", self._callers.address)

    def stop(self) -> None:
        """Have callers sent elsewhere, answer those that still come, and end."""
        self._closing.set()
        self._clock.sleep(self._stopping, UNROUTED_SECONDS)
        self._callers.stop()
        self._stopping.set()
        self._readiness.stop()
        self._link.close()
        self._metrics_server.stop()

    def reload(self) -> None:
        """Seeds are read whenever they are needed; nothing else may change."""

    def is_ready(self) -> bool:
        """Return whether callers should be sent here."""
        return self._knows_leader and not self._closing.is_set()

    def _look(self) -> None:
        while not self._clock.sleep(self._stopping, LOOK_SECONDS):
            found = self._link.refresh()
            is_cut_off = self._link.is_cut_off()
            limit = CUT_OFF_SECONDS if is_cut_off else UNREADY_SECONDS
            seconds_without_leader = self._link.seconds_without_leader()
            ready = found or seconds_without_leader < limit
            if ready != self._knows_leader:
                logging.info(
                    "control %s: silent for %.1f s%s",
                    "answers" if ready else "is silent",
                    seconds_without_leader,
                    ", most instances are out of reach" if is_cut_off else "",
                )
            self._knows_leader = ready

    def _gauges(self) -> dict[str, float]:
        return {
            "ready": self.is_ready(),
            "control_silent_seconds": self._link.seconds_without_leader(),
        }

    def _check(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        ready = self.is_ready() and environ["PATH_INFO"] == self._cfg.readiness_path
        phrase = "200 OK" if ready else "503 Service Unavailable"
        start_response(phrase, [("Content-Length", "0")])
        return [b""]
