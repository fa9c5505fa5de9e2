"""Control nodes: members of the consensus group; the leader schedules the jobs."""

import random
import threading
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

from absl import logging

from arbutuscleat.access import (
    AdmissionController,
    FormerMembers,
    JobService,
    Joiner,
    LeaderClient,
    LeaderProposer,
    SessionReporter,
)
from arbutuscleat.consensus import (
    FOUNDER_INCARNATION,
    FolderDisk,
    Peer,
    Replica,
    ReplicaConfig,
    ThriftPeer,
)
from arbutuscleat.core import ClientLimits, Deadline, MachineLimits, SystemClock
from arbutuscleat.execution import (
    ExecutionLimits,
    Executor,
    LeaderLoad,
    MachineController,
    Provider,
    SessionBalancer,
    SessionHolding,
    SessionLease,
    SessionManager,
    SessionRegistry,
    SessionReports,
)
from arbutuscleat.execution.session_manager import MakeClient
from arbutuscleat.jobs import JobTable, QueueConfig, SessionHolder
from arbutuscleat.metrics import Metrics
from arbutuscleat.scheduling import FleetCapacity, Planner, RateLimit
from arbutuscleat.web import HttpServer
from arbutuscleat.wire import Address, Credentials, ThriftServer
from arbutuscleat.wire.gen_jobs import JobControl

from .control_metrics import ControlMetrics
from .data_folder import wait_for_identity
from .metrics_server import MetricsServer

HTTP_THREADS = 12
"""Concurrent requests of workers and operators; further ones wait for a thread."""

MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4 * 1024 * 1024
"""Enough for a configuration with thousands of queues."""

PROCESS_ID_LENGTH = 8
"""Number of hexadecimal digits that tell the processes of a node apart."""

HAND_OVER_SECONDS = 1.5
"""How long a stopping node waits for others to take over its sessions: a leader that
stops as well is replaced within a second."""

HAND_OVER_CHECK_SECONDS = 0.05

REPLICA_CONFIG = ReplicaConfig(
    heartbeat_seconds=0.2,
    election_seconds=0.7,
    election_spread=1.6,
    commit_notice_seconds=0.003,
    call_seconds=0.8,
    tick_seconds=0.05,
    snapshot_entries=3000,
)

MakeApplication = Callable[[LeaderClient], Callable]


@dataclass(frozen=True)
class ControlNodeConfig:
    """Configuration of a control node.

    Parameters
    ----------
    host : str
        IP address, which is also the node's id in the consensus group.
    peer_port : int
        Port for connections between the nodes.
    listen : Address
        Address that serves workers and operators.
    data_folder : Path
        Folder in which the replica stores its state.
    first_start : bool
        Whether the seeds create the group if the data folder is still empty.
    read_seeds : callable
        Returns the seed hosts in the current settings.
    cluster : str
        Name shared by all processes of the installation.
    limits : ExecutionLimits
        Time limits of leases and orders.
    tolerated_losses : int, default=1
        Number of control nodes that may be lost at the same time, at least 1.
    rate_limit : RateLimit, optional
        The allowance of each team.
    metrics : Address, optional
        Address that serves the metrics; None disables them.
    metrics_path : str
        Path of the metrics at that address.
    machine : MachineLimits, optional
        Memory and descriptors of the process.
    client_limits : ClientLimits, optional
        Limits on the clients of each server.
    """

    host: str
    peer_port: int
    listen: Address
    data_folder: Path
    first_start: bool
    read_seeds: Callable[[], Sequence[str]]
    cluster: str
    limits: ExecutionLimits
    tolerated_losses: int = 1
    rate_limit: RateLimit = RateLimit()
    metrics: Address | None = None
    metrics_path: str = ""
    machine: MachineLimits = MachineLimits()
    client_limits: ClientLimits = ClientLimits()


def replica_config(tolerated_losses: int) -> ReplicaConfig:
    """Return the limits of a replica whose group tolerates so many losses at once.

    With twice as many voters and one more, a majority is left.  The number is odd: if
    a partition splits the group in two, one side has a majority.
    """
    return replace(REPLICA_CONFIG, max_voters=2 * max(1, tolerated_losses) + 1)


class ControlNode:
    """Creates and connects the components of a control node.

    Parameters
    ----------
    cfg : ControlNodeConfig
        Configuration of the node.
    decode_config : callable
        Parses the operator's configuration into a `QueueConfig`.
    make_client : callable
        Creates the client of a worker.
    make_application : callable
        Creates the WSGI application for workers and operators.
    provider : Provider, optional
        Manages the machines; without it, waves and moves are not carried out.
    """

    def __init__(
        self,
        cfg: ControlNodeConfig,
        decode_config: Callable[[bytes], QueueConfig],
        make_client: MakeClient,
        make_application: MakeApplication,
        provider: Provider | None = None,
    ):
        self._cfg = cfg
        clock = SystemClock()
        disk = FolderDisk(cfg.data_folder)
        founders = list(cfg.read_seeds()) if cfg.first_start else []
        identity = wait_for_identity(
            disk, cfg.host, lambda: uuid.uuid4().hex, founders, clock
        )
        credentials = Credentials(cfg.cluster, "", cfg.host, identity.incarnation)
        self._table = JobTable(decode_config)

        def make_peer(node_id: str) -> Peer:
            address = Address(node_id, cfg.peer_port)
            return ThriftPeer(node_id, address, credentials, JobControl.Client)

        self._replica = Replica(
            identity,
            replica_config(cfg.tolerated_losses),
            disk,
            [],
            self._table,
            clock,
            random.Random(),
            make_peer,
        )
        self.metrics = Metrics()
        admission = AdmissionController(
            self._table,
            clock,
            random.Random(),
            self._fleet,
            cfg.rate_limit,
            self.metrics,
            cfg.machine,
        )
        registry = SessionRegistry(clock)
        service = JobService(self._replica, self._table, clock, admission, registry)
        self._thrift = ThriftServer(
            JobControl.Processor(service),
            Address(cfg.host, cfg.peer_port),
            credentials,
            cfg.client_limits,
            self.metrics,
        )
        self._leader_client = LeaderClient(
            cfg.read_seeds,
            cfg.peer_port,
            credentials,
            clock,
            service,
            lambda: self._replica.status().leader,
        )
        load = LeaderLoad(clock, self.metrics)
        holder = SessionHolder(cfg.host, uuid.uuid4().hex[:PROCESS_ID_LENGTH])
        lease = SessionLease(clock)
        session_manager = SessionManager(
            self._table,
            make_client,
            SessionHolding(self._replica, self._table, clock, holder, lease),
            LeaderProposer(self._leader_client).propose,
            clock,
            cfg.limits,
            load,
        )
        self._executor = Executor(
            self._replica,
            self._table,
            Planner(self._can_grow),
            clock,
            session_manager,
            registry,
            load,
        )
        self._session_balancer = SessionBalancer(
            self._replica,
            self._table,
            registry,
            holder,
            self._executor.propose,
            clock,
            load,
        )
        self._session_reporter = SessionReporter(
            self._leader_client,
            self._replica,
            holder,
            lease,
            SessionReports(self._table, session_manager),
            clock,
        )
        self._machine_controller: MachineController | None = None
        if provider is not None:
            self._machine_controller = MachineController(
                self._replica,
                self._table,
                self._executor,
                provider,
                clock,
                cfg.limits,
                cfg.host,
                load,
            )
        self._joiner = Joiner(
            self._replica,
            identity.incarnation,
            cfg.read_seeds,
            cfg.peer_port,
            credentials,
            clock,
        )
        self._former_members = FormerMembers(
            self._replica, cfg.read_seeds, cfg.peer_port, credentials, clock
        )
        self._http = HttpServer(
            cfg.listen,
            make_application(self._leader_client),
            HTTP_THREADS,
            MAX_HEADER_BYTES,
            MAX_BODY_BYTES,
            cfg.client_limits,
            self.metrics,
            "control",
        )
        controller = self._machine_controller
        control_metrics = ControlMetrics(
            self._replica,
            self._table,
            self._executor,
            clock,
            None if controller is None else controller.waits,
        )
        self.metrics.collect(control_metrics.read)
        self._metrics_server = MetricsServer(
            cfg.metrics, cfg.metrics_path, self.metrics, cfg.client_limits
        )
        self._is_founder = identity.incarnation == FOUNDER_INCARNATION

    def start(self) -> None:
        """Start all components."""
        self._thrift.start()
        self._replica.start()
        self._executor.start()
        self._session_balancer.start()
        self._session_reporter.start()
        if self._machine_controller is not None:
            self._machine_controller.start()
        self._joiner.start()
        self._former_members.start()
        self._http.start()
        self._metrics_server.start()
        logging.info(
            "control node %s listens on %s%s",
            self._cfg.host,
            self._http.address,
            ", founding member" if self._is_founder else "",
        )

    def stop(self) -> None:
        """Transfer the leadership, finish requests in progress and stop."""
        self._joiner.stop()
        self._former_members.stop()
        if self._machine_controller is not None:
            self._machine_controller.stop()
        self._replica.transfer_leadership()
        self._hand_over_sessions()
        self._session_balancer.stop()
        self._session_reporter.stop()
        self._executor.stop()
        self._http.stop()
        self._replica.stop()
        self._thrift.stop()
        self._leader_client.close()
        self._metrics_server.stop()

    def _hand_over_sessions(self) -> None:
        """Ask the leader to assign the sessions to others, and wait for it.

        Without an answer in time, their lease runs out once this process has ended.
        """
        clock = SystemClock()
        self._session_reporter.leave()
        deadline = Deadline.after(clock, HAND_OVER_SECONDS)
        while not deadline.expired():
            with self._table.lock:
                if not self._executor.sessions:
                    return
            clock.sleep(threading.Event(), HAND_OVER_CHECK_SECONDS)

    def _fleet(self) -> FleetCapacity | None:
        return (
            None if self._machine_controller is None else self._machine_controller.fleet
        )

    def _can_grow(self, service_name: str) -> bool:
        controller = self._machine_controller
        return controller is not None and controller.can_grow(service_name)

    def reload(self) -> None:
        """Do nothing: seeds are read on each use, and nothing else may be reloaded."""
