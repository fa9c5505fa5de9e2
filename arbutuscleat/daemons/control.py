"""``arbutuscleat-control``: one replica of the consensus group and its planner."""

import random
import uuid

from absl import logging

from arbutuscleat.consensus import (
    FolderDisk,
    Replica,
    ReplicaConfig,
    ThriftPeer,
    initialise,
    open_identity,
)
from arbutuscleat.core import SystemClock
from arbutuscleat.http import HttpPlatform, HttpServer, NoPlatform
from arbutuscleat.maintenance import (
    ClaimHorizon,
    DispatchGate,
    DrainCheck,
    MaintenanceController,
    MaintenanceLimits,
    MemberFailureDetector,
    Mover,
    Planner,
    PlannerParts,
    Platform,
    WavePlanner,
)
from arbutuscleat.membership import AckTable, ControlClient, ControlService
from arbutuscleat.metrics import Metrics
from arbutuscleat.settings import ControlSettings
from arbutuscleat.state import ControlStateMachine
from arbutuscleat.wire import Address, Credentials, ThriftServer
from arbutuscleat.wire.gen import Control

from .channels import make_pools, node_address
from .handlers import make_http_server, make_monitoring_handlers, make_operator_handlers


class ControlDaemon:
    """Wires and runs the parts of a control instance.

    Parameters
    ----------
    cfg : ControlSettings
        The validated settings.
    """

    def __init__(self, cfg: ControlSettings):
        self._cfg = cfg
        self._clock = SystemClock()
        self._metrics = Metrics()
        self._machine = ControlStateMachine()
        disk = FolderDisk(cfg.data_folder)
        identity = open_identity(disk, cfg.node_id, uuid.uuid4().hex)
        credentials = Credentials(
            cfg.cluster, cfg.shared_key, cfg.node_id, identity.incarnation
        )
        peers = [
            ThriftPeer(node.node_id, node_address(node), credentials)
            for node in cfg.replicas
            if node.node_id != cfg.node_id
        ]
        self._replica = Replica(
            identity,
            _replica_config(cfg),
            disk,
            peers,
            self._machine,
            self._clock,
            random.Random(),
        )
        self._acks = AckTable(self._clock)
        service = ControlService(
            self._replica, self._machine, self._acks, self._clock, cfg.lease_ms
        )
        self._thrift = ThriftServer(
            Control.Processor(service),
            Address(str(cfg.peer.host), cfg.peer.port),
            credentials,
            cfg.client_limits.limits(),
            self._metrics,
        )
        self._planner = self._make_planner()
        self._control = ControlClient(
            make_pools(Control.Client, cfg.replicas, credentials), self._clock
        )
        self._http = self._make_http()

    @property
    def http_address(self) -> Address:
        """The address on which the daemon serves operators."""
        return self._http.address

    def start(self) -> None:
        """Start the servers, the replica and the planner."""
        self._thrift.start()
        self._replica.start()
        self._planner.start()
        self._http.start()
        logging.info("control instance listens on %s", self._http.address)

    def stop(self) -> None:
        """Stop all parts, after the operators' requests in progress have completed."""
        self._http.stop()
        self._planner.stop()
        self._replica.stop()
        self._thrift.stop()
        self._control.close()

    def _make_planner(self) -> Planner:
        cfg = self._cfg
        wait_seconds = (cfg.lease_ms + cfg.margin_ms) / 1000.0
        gate = DispatchGate(
            self._acks, self._clock, wait_seconds, self._replica.led_since
        )
        drains = DrainCheck(self._acks, gate, cfg.maintenance.drain_ms / 1000.0)
        limits = MaintenanceLimits(
            reboot_seconds=cfg.maintenance.reboot_ms / 1000.0,
            soak_seconds=cfg.maintenance.soak_ms / 1000.0,
        )
        parts = PlannerParts(
            failure_detector=MemberFailureDetector(
                self._acks, gate, self._clock, cfg.lease_ms / 1000.0
            ),
            mover=Mover(drains, self._clock),
            maintenance_controller=MaintenanceController(
                self._make_platform(), drains, self._clock, limits
            ),
            waves=WavePlanner(cfg.maintenance.reserve),
            horizon=ClaimHorizon(self._clock, cfg.claim_retention_ms / 1000.0),
        )
        return Planner(
            self._machine,
            parts,
            self._replica.leads,
            self._replica.led_since,
            self._replica.propose,
            self._clock,
        )

    def _make_platform(self) -> Platform:
        platform = self._cfg.platform
        if platform is None:
            return NoPlatform()
        return HttpPlatform(platform.url, platform.token)

    def _make_http(self) -> HttpServer:
        cfg = self._cfg
        metrics = self._metrics
        status = self._replica.status
        metrics.gauge("claims", lambda: float(len(self._machine.claims)))
        metrics.gauge("commit_index", lambda: float(status().commit_index))
        metrics.gauge("voter", lambda: float(status().voter))
        metrics.gauge("leads", lambda: float(self._replica.leads()))
        handlers = {
            **make_operator_handlers(
                cfg,
                self._control,
                self._machine.changed,
                lambda: self._machine.configuration,
            ),
            **make_monitoring_handlers(metrics, lambda: status().failure),
        }
        return make_http_server(cfg, handlers, self._metrics)


def initialise_data_folder(cfg: ControlSettings) -> None:
    """Initialise the data folder of a founding member of the consensus group.

    This is done once, before the group starts for the first time.

    Raises
    ------
    AlreadyInitialisedError
        If the folder has been initialised before.
    """
    founders = [replica.node_id for replica in cfg.replicas]
    initialise(FolderDisk(cfg.data_folder), cfg.node_id, founders)


def _replica_config(cfg: ControlSettings) -> ReplicaConfig:
    return ReplicaConfig(
        heartbeat_seconds=cfg.consensus.heartbeat_ms / 1000.0,
        election_seconds=cfg.consensus.election_ms / 1000.0,
        election_spread=cfg.consensus.election_spread,
        snapshot_entries=cfg.consensus.snapshot_entries,
    )
