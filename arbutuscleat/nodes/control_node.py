"""Control nodes: a member of the consensus group that runs jobs while it leads."""

import random
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from absl import logging

from arbutuscleat.access import AdmissionGate, ControlLink, JobService, Joiner
from arbutuscleat.consensus import (
    FOUNDER_INCARNATION,
    FolderDisk,
    Peer,
    Replica,
    ReplicaConfig,
    ThriftPeer,
    initialise,
    open_identity,
)
from arbutuscleat.consensus.stores import load_identity
from arbutuscleat.core import SystemClock
from arbutuscleat.execution import ExecutionLimits, Executor, MachineKeeper, Provider
from arbutuscleat.execution.executor import MakeClient
from arbutuscleat.jobs import JobTable, QueueConfig
from arbutuscleat.metrics import Metrics
from arbutuscleat.scheduling import Fleet, Planner
from arbutuscleat.web import HttpServer
from arbutuscleat.wire import Address, Credentials, ThriftServer
from arbutuscleat.wire.gen_jobs import JobControl

from .control_metrics import ControlMetrics
from .metrics_server import MetricsServer

HTTP_THREADS = 12
"""Requests of workers and operators at a time; more wait for a thread."""

MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4 * 1024 * 1024
"""A configuration with thousands of queues fits."""

FOUNDERS = 3
"""Voters: a majority stays when the control instances are cut in two halves."""

REPLICA = ReplicaConfig(
    heartbeat_seconds=0.2,
    election_seconds=0.7,
    election_spread=1.6,
    call_seconds=0.8,
    tick_seconds=0.05,
    snapshot_entries=3000,
    max_voters=FOUNDERS,
)

MakeFront = Callable[[ControlLink], Callable]


@dataclass(frozen=True)
class ControlNodeConfig:
    """What a control node goes by.

    Parameters
    ----------
    host : str
        IP number; it is the node's id in the group as well.
    peer_port : int
        Port for our own processes.
    listen : Address
        Where workers and operators come.
    data_folder : Path
        Where the state is kept.
    first_start : bool
        Whether the seeds found the group now.
    read_seeds : callable
        Returns the hosts that the settings name now.
    cluster : str
        Name that all processes of the installation share.
    limits : ExecutionLimits
        Times that leases go by.
    metrics : Address, optional
        Where the process shows its metrics.
    metrics_path : str
        What is asked for there.
    """

    host: str
    peer_port: int
    listen: Address
    data_folder: Path
    first_start: bool
    read_seeds: Callable[[], Sequence[str]]
    cluster: str
    limits: ExecutionLimits
    metrics: Address | None = None
    metrics_path: str = ""


class ControlNode:
    """Wires the parts of a control node.

    Parameters
    ----------
    cfg : ControlNodeConfig
        What it goes by.
    decode_config : callable
        Turns the operator's text into a `QueueConfig`.
    make_client : callable
        Makes the client of a worker.
    make_front : callable
        Makes the WSGI application for workers and operators.
    provider : Provider, optional
        Takes orders for machines; without it waves and moves are left undone.
    """

    def __init__(
        self,
        cfg: ControlNodeConfig,
        decode_config: Callable[[bytes], QueueConfig],
        make_client: MakeClient,
        make_front: MakeFront,
        provider: Provider | None = None,
    ):
        self._cfg = cfg
        clock = SystemClock()
        disk = FolderDisk(cfg.data_folder)
        if load_identity(disk) is None and cfg.first_start:
            founders = cfg.read_seeds()
            if cfg.host in founders:
                initialise(disk, cfg.host, list(founders))
                logging.info("founded a group of %s", ", ".join(founders))
        identity = open_identity(disk, cfg.host, uuid.uuid4().hex)
        credentials = Credentials(cfg.cluster, "", cfg.host, identity.incarnation)
        self._table = JobTable(decode_config)

        def make_peer(node_id: str) -> Peer:
            address = Address(node_id, cfg.peer_port)
            return ThriftPeer(node_id, address, credentials, JobControl.Client)

        self._replica = Replica(
            identity,
            REPLICA,
            disk,
            [],
            self._table,
            clock,
            random.Random(),
            make_peer,
        )
        gate = AdmissionGate(self._table, clock, random.Random(), self._fleet)
        service = JobService(self._replica, self._table, clock, gate)
        self._thrift = ThriftServer(
            JobControl.Processor(service),
            Address(cfg.host, cfg.peer_port),
            credentials,
        )
        self._link = ControlLink(
            cfg.read_seeds,
            cfg.peer_port,
            credentials,
            clock,
            service,
            lambda: self._replica.status().leader,
        )
        self._executor = Executor(
            self._replica,
            self._table,
            make_client,
            Planner(),
            clock,
            cfg.limits,
        )
        self._keeper: MachineKeeper | None = None
        if provider is not None:
            self._keeper = MachineKeeper(
                self._replica,
                self._table,
                self._executor,
                provider,
                clock,
                cfg.limits,
                cfg.host,
            )
        self._joiner = Joiner(
            self._replica,
            identity.incarnation,
            cfg.read_seeds,
            cfg.peer_port,
            credentials,
            clock,
        )
        self._http = HttpServer(
            cfg.listen,
            make_front(self._link),
            HTTP_THREADS,
            MAX_HEADER_BYTES,
            MAX_BODY_BYTES,
        )
        self.metrics = Metrics()
        gauges = ControlMetrics(self._replica, self._table, self._executor, clock)
        self.metrics.collect(gauges.read)
        self._metrics_server = MetricsServer(
            cfg.metrics, cfg.metrics_path, self.metrics
        )
        self._is_founder = identity.incarnation == FOUNDER_INCARNATION

    def start(self) -> None:
        """Start every task."""
        self._thrift.start()
        self._replica.start()
        self._executor.start()
        if self._keeper is not None:
            self._keeper.start()
        self._joiner.start()
        self._http.start()
        self._metrics_server.start()
        logging.info(
            "control node %s listens on %s%s",
            self._cfg.host,
            self._http.address,
            ", a founder" if self._is_founder else "",
        )

    def stop(self) -> None:
        """Hand the leadership over, answer what is in progress and end."""
        self._joiner.stop()
        if self._keeper is not None:
            self._keeper.stop()
        self._replica.transfer_leadership()
        self._executor.stop()
        self._http.stop()
        self._replica.stop()
        self._thrift.stop()
        self._link.close()
        self._metrics_server.stop()

    def _fleet(self) -> Fleet | None:
        return None if self._keeper is None else self._keeper.fleet

    def reload(self) -> None:
        """Seeds are read whenever they are needed; nothing else may change."""
