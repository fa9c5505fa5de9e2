"""Entry nodes: stateless processes that pass requests of callers to the leader."""

import threading
import uuid
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from absl import logging

from arbutuscleat.access import LeaderClient
from arbutuscleat.core import ClientLimits, SystemClock, run_loop, run_step
from arbutuscleat.metrics import Metrics
from arbutuscleat.web import HttpServer
from arbutuscleat.wire import Address, Credentials

from .metrics_server import MetricsServer

CALLER_THREADS = 24
"""Concurrent requests of callers: enough for a burst during an election."""

READINESS_THREADS = 2
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 262_144
"""Same limit as in the platform's configuration."""

CHECK_SECONDS = 0.25
"""Interval at which an entry node checks whether the leader can be reached."""

MAX_LEADERLESS_SECONDS = 2.5
"""Time without a leader after which the node reports that it is not ready.

Longer than an election, since sending callers to another node would not shorten that.
"""

MAX_CUT_OFF_SECONDS = 0.5
"""The same limit while most control instances cannot be reached.

Callers of a partitioned data centre are then served elsewhere.  The limit is two check
intervals, so that one lost call does not make the node unready.
"""

DRAIN_SECONDS = 3.0
"""Time from reporting not ready until no new connections arrive.

The load balancer checks once per second and removes a node after two failed checks.
"""

MakeApplication = Callable[[LeaderClient, Callable[[], bool], Metrics], Callable]


@dataclass(frozen=True)
class EntryNodeConfig:
    """Configuration of an entry node.

    Parameters
    ----------
    host : str
        IP address.
    peer_port : int
        Port on which the control nodes serve other nodes.
    callers, readiness : Address
        Addresses that serve callers and the load balancer's readiness checks.
    read_seeds : callable
        Returns the seed hosts in the current settings.
    cluster : str
        Name shared by all processes of the installation.
    readiness_path : str
        Path of the readiness checks.
    metrics : Address, optional
        Address that serves the metrics; None disables them.
    metrics_path : str
        Path of the metrics at that address.
    client_limits : ClientLimits, optional
        Limits on the clients of each server.
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
    client_limits: ClientLimits = ClientLimits()


class EntryNode:
    """Creates and connects the components of an entry node.

    Parameters
    ----------
    cfg : EntryNodeConfig
        Configuration of the node.
    make_application : callable
        Creates the WSGI application for callers from the leader client, a function
        that returns whether the node is not ready, and the metrics.
    """

    def __init__(self, cfg: EntryNodeConfig, make_application: MakeApplication):
        self._cfg = cfg
        clock = SystemClock()
        self._clock = clock
        self._closing = threading.Event()
        self._stopping = threading.Event()
        credentials = Credentials(cfg.cluster, "", cfg.host, uuid.uuid4().hex)
        self._leader_client = LeaderClient(
            cfg.read_seeds, cfg.peer_port, credentials, clock
        )
        self._control_available = False
        metrics = Metrics()
        application = make_application(
            self._leader_client, lambda: not self.is_ready(), metrics
        )
        self._callers = HttpServer(
            cfg.callers,
            application,
            CALLER_THREADS,
            MAX_HEADER_BYTES,
            MAX_BODY_BYTES,
            cfg.client_limits,
            metrics,
            "callers",
        )
        self._readiness = HttpServer(
            cfg.readiness,
            self._answer_readiness,
            READINESS_THREADS,
            MAX_HEADER_BYTES,
            0,
            cfg.client_limits.for_checks(),
            metrics,
            "readiness",
        )
        self.metrics = metrics
        self.metrics.collect(self._gauges)
        self._metrics_server = MetricsServer(
            cfg.metrics, cfg.metrics_path, metrics, cfg.client_limits
        )
        self._watcher = threading.Thread(
            target=self._watch_control, name="watch", daemon=True
        )
        self._prober = threading.Thread(
            target=self._probe_control, name="probe", daemon=True
        )

    def start(self) -> None:
        """Start all components."""
        self._callers.start()
        self._readiness.start()
        self._watcher.start()
        self._prober.start()
        self._metrics_server.start()
        logging.info("entry node listens on %s", self._callers.address)

    def stop(self) -> None:
        """Report not ready, serve requests until callers have been moved, then stop."""
        self._closing.set()
        self._clock.sleep(self._stopping, DRAIN_SECONDS)
        self._callers.stop()
        self._stopping.set()
        self._readiness.stop()
        self._leader_client.close()
        self._metrics_server.stop()

    def reload(self) -> None:
        """Do nothing: seeds are read on each use, and nothing else may be reloaded."""

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this node."""
        return (
            self._control_available
            and not self._closing.is_set()
            and self._sees_leader()
        )

    def _sees_leader(self) -> bool:
        is_cut_off = self._leader_client.is_cut_off()
        limit = MAX_CUT_OFF_SECONDS if is_cut_off else MAX_LEADERLESS_SECONDS
        return self._leader_client.seconds_without_leader() < limit

    def _watch_control(self) -> None:
        run_loop(self._check_control, self._stopping, self._clock, CHECK_SECONDS)

    def _probe_control(self) -> None:
        run_loop(self._probe_if_silent, self._stopping, self._clock, CHECK_SECONDS)

    def _probe_if_silent(self) -> None:
        """Probe all control instances while none of them has shown a leader.

        The watcher may be waiting for the timeout of one of them.
        """
        if self._leader_client.seconds_without_leader() >= MAX_CUT_OFF_SECONDS:
            self._leader_client.probe()

    def _check_control(self) -> None:
        run_step(self._leader_client.refresh)  # If it fails, no leader is seen.
        is_cut_off = self._leader_client.is_cut_off()
        seconds_without_leader = self._leader_client.seconds_without_leader()
        ready = self._sees_leader()
        if ready != self._control_available:
            logging.info(
                "control %s: %.1f s without a leader%s",
                "answers" if ready else "is silent",
                seconds_without_leader,
                ", most instances cannot be reached" if is_cut_off else "",
            )
        self._control_available = ready

    def _gauges(self) -> dict[str, float]:
        return {
            "ready": self.is_ready(),
            "control_silent_seconds": self._leader_client.seconds_without_leader(),
        }

    def _answer_readiness(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        ready = self.is_ready() and environ["PATH_INFO"] == self._cfg.readiness_path
        phrase = "200 OK" if ready else "503 Service Unavailable"
        start_response(phrase, [("Content-Length", "0")])
        return [b""]
