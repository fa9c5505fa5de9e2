"""``arbutuscleat-entry``: one entry instance, which routes requests to endpoints."""

import random
import threading
import uuid

from absl import logging
from returns.result import Failure, Result

from arbutuscleat.consensus import FolderDisk
from arbutuscleat.core import (
    Instance,
    Outcome,
    Refusal,
    RefusalReason,
    RequestTracker,
    SystemClock,
)
from arbutuscleat.http import (
    AnnouncementHandler,
    CallerHandler,
    HttpServer,
    UrllibEndpointClient,
)
from arbutuscleat.membership import (
    AnnouncementTable,
    ConfigurationView,
    ControlClient,
    DispatchRights,
    InForceTracker,
    MemberRegistration,
    PeerExchange,
    Reporter,
    Subscription,
    ViewStore,
)
from arbutuscleat.metrics import Metrics
from arbutuscleat.routing import (
    AdmissionController,
    Answer,
    AnswerCache,
    ClaimCloser,
    EntryService,
    LocalCapacity,
    LogClaimRegistry,
    OutlierDetector,
    Request,
    RetryBudget,
    Router,
    RouterParts,
    RoutingTableHolder,
    RunTimes,
    SlotBorrower,
    SlotTransfers,
    ThriftAnswerFetcher,
    ThriftForwarder,
)
from arbutuscleat.settings import EntrySettings
from arbutuscleat.state import Member
from arbutuscleat.telemetry import Tracing
from arbutuscleat.wire import Address, ChannelPool, Credentials, ThriftServer
from arbutuscleat.wire.gen import Control, Entry

from .channels import make_channels, make_pools
from .handlers import make_http_server, make_monitoring_handlers, make_operator_handlers

DRAIN_SECONDS = 30.0
CLAIM_CLOSE_SECONDS = 4.0
RECHECK_INTERVAL_SECONDS = 0.2


class EntryDaemon:
    """Wires and runs the parts of an entry instance.

    Parameters
    ----------
    cfg : EntrySettings
        The validated settings.
    """

    def __init__(self, cfg: EntrySettings):
        self._cfg = cfg
        self._clock = SystemClock()
        self._metrics = Metrics()
        self._draining = threading.Event()
        self._stopping = threading.Event()
        store = None
        incarnation = uuid.uuid4().hex
        if cfg.data_folder is not None:
            store = ViewStore(FolderDisk(cfg.data_folder))
            incarnation = store.incarnation(cfg.node_id)
        self._credentials = Credentials(
            cfg.cluster, cfg.shared_key, cfg.node_id, incarnation
        )
        local_peers = [
            node for node in cfg.peers if node.data_centre == cfg.data_centre
        ]
        self._tracing = Tracing(
            cfg.node_id, cfg.traces.file, cfg.traces.sample_ratio, random.Random()
        )
        self._view = ConfigurationView(store)
        self._rights = DispatchRights(
            cfg.node_id, incarnation, cfg.data_centre, self._clock
        )
        in_force = InForceTracker(cfg.node_id, cfg.data_centre)
        self._table = AnnouncementTable(
            self._clock, cfg.announcements.expiry_ms / 1000.0
        )
        self._outliers = OutlierDetector(self._clock)
        self._transfers = SlotTransfers()
        self._capacity = LocalCapacity(
            cfg.node_id,
            cfg.data_centre,
            self._view,
            self._table,
            self._outliers,
            self._transfers,
            self._rights.may_dispatch,
        )
        self._view.add_listener(
            lambda view: self._rights.update_version(
                view.version, view.members.values()
            )
        )
        self._view.add_listener(
            lambda view: in_force.update_version(view.version, view.members.values())
        )
        self._tables = RoutingTableHolder(
            self._view, lambda: in_force.version, cfg.node_id, cfg.data_centre
        )
        self._admission = AdmissionController(
            self._clock,
            RunTimes(),
            cfg.limits.queue_length,
            self._capacity.limit,
            random.Random().random,
        )
        self._borrower = SlotBorrower(
            cfg.node_id,
            incarnation,
            make_channels(Entry.Client, local_peers, self._credentials),
            self._admission,
            self._transfers,
            self._tables,
            self._view,
            self._clock,
        )
        self._control = ControlClient(
            make_pools(Control.Client, cfg.control, self._credentials), self._clock
        )
        self._reporter = Reporter(
            self._table,
            self._view,
            self._control,
            self._clock,
            cfg.data_centre,
            2 * cfg.announcements.expiry_ms / 1000.0,
        )
        self._exchange = PeerExchange(
            self._credentials,
            make_channels(Entry.Client, local_peers, self._credentials),
            self._table,
            self._view,
            self._rights,
            in_force,
            self._tables.version,
            cfg.lease_ms,
            self._busy_draining_instances,
            self._clock,
        )
        self._registration = MemberRegistration(
            self._member(), self._view, self._control, self._clock
        )
        self._subscription = Subscription(
            self._credentials,
            make_channels(Control.Client, cfg.control, self._credentials),
            self._view,
            self._rights,
            self._exchange.acks,
            self._clock,
            self._exchange.wake,
        )
        self._endpoints = UrllibEndpointClient(
            self._clock,
            cfg.limits.connect_timeout_ms / 1000.0,
            cfg.limits.max_answer_bytes,
        )
        self._claims = LogClaimRegistry(
            self._control, cfg.node_id, self._credentials.incarnation
        )
        self._claim_closer = ClaimCloser(self._claims, self._clock)
        self._answer_cache = AnswerCache()
        self._in_progress = RequestTracker()
        self._peer_pools = make_pools(Entry.Client, cfg.peers, self._credentials)
        self._router = Router(
            self._router_parts(), self._clock, self._tracing, self._metrics
        )
        service = EntryService(
            self._exchange,
            self._serve_forwarded,
            self._answer_cache,
            self._borrower,
            self._tracing,
            self._in_progress,
        )
        self._thrift = ThriftServer(
            Entry.Processor(service),
            Address(str(cfg.peer.host), cfg.peer.port),
            self._credentials,
            cfg.client_limits.limits(),
            self._metrics,
        )
        self._caller_handler = self._make_caller_handler()
        self._http = self._make_http()
        self._rechecker = threading.Thread(
            target=self._recheck, name="admission-recheck", daemon=True
        )

    @property
    def http_address(self) -> Address:
        """The address on which the daemon serves callers, endpoints and operators."""
        return self._http.address

    def start(self) -> None:
        """Restore the stored view and start all parts."""
        self._view.restore()
        self._thrift.start()
        self._exchange.start()
        self._registration.start()
        self._subscription.start()
        self._reporter.start()
        self._claim_closer.start()
        self._borrower.start()
        self._rechecker.start()
        self._http.start()
        logging.info("entry instance listens on %s", self._http.address)

    def stop(self) -> None:
        """Refuse new requests, wait for those in progress, then stop all parts."""
        self._draining.set()
        if not self._in_progress.wait_idle(DRAIN_SECONDS):
            logging.warning(
                "requests still in progress after draining for %s s", DRAIN_SECONDS
            )
        self._stopping.set()
        self._claim_closer.stop(CLAIM_CLOSE_SECONDS)
        self._registration.leave()
        self._http.stop()
        self._subscription.stop()
        self._reporter.stop()
        self._borrower.stop()
        self._exchange.stop()
        self._thrift.stop()
        self._control.close()
        for pool in self._peer_pools.values():
            pool.close()
        self._endpoints.close()
        self._tracing.stop()

    # ---- wiring ----

    def _router_parts(self) -> RouterParts:
        remote_pools: dict[str, list[ChannelPool]] = {}
        for node in self._cfg.peers:
            if node.data_centre != self._cfg.data_centre:
                pool = self._peer_pools[node.node_id]
                remote_pools.setdefault(node.data_centre, []).append(pool)
        return RouterParts(
            table=self._tables.current,
            may_dispatch=self._rights.may_dispatch,
            may_send=self._capacity.may_send,
            spare_instances=self._capacity.spare_instances,
            is_idempotent=self._is_idempotent,
            admission=self._admission,
            outliers=self._outliers,
            retries=RetryBudget(),
            claims=self._claims,
            claim_closer=self._claim_closer,
            answer_cache=self._answer_cache,
            fetcher=ThriftAnswerFetcher(
                self._cfg.node_id, self._answer_cache, self._peer_pools
            ),
            forwarder=ThriftForwarder(remote_pools),
            endpoints=self._endpoints,
        )

    def _make_caller_handler(self) -> CallerHandler:
        limits = self._cfg.limits
        return CallerHandler(
            self._router,
            self._clock,
            self._tracing,
            self._metrics,
            limits.default_timeout_ms / 1000.0,
            limits.max_timeout_ms / 1000.0,
            self._draining.is_set,
            self._in_progress,
        )

    def _make_http(self) -> HttpServer:
        cfg = self._cfg
        metrics = self._metrics
        metrics.gauge("configuration_version", lambda: float(self._view.version))
        metrics.gauge("version_in_force", lambda: float(self._tables.version()))
        metrics.gauge("slots_in_use", lambda: float(self._admission.total_in_use()))
        announcements = AnnouncementHandler(
            self._table,
            self._view,
            cfg.data_centre,
            cfg.endpoint_token,
            cfg.announcements.interval_ms,
            self._on_announcement,
        )
        handlers = {
            "services": self._caller_handler,
            "announcements": announcements,
            **make_operator_handlers(
                cfg,
                self._control,
                self._view.changed,
                lambda: self._view.configuration,
            ),
            **make_monitoring_handlers(metrics, self._health_problem),
        }
        return make_http_server(cfg, handlers, self._metrics)

    # ---- decisions ----

    def _is_idempotent(self, service: str, method: str) -> bool:
        settings = self._cfg.services.get(service)
        if settings is None:
            return method in ("GET", "HEAD", "PUT", "DELETE", "OPTIONS")
        return method in settings.idempotent_methods

    def _serve_forwarded(self, req: Request) -> Result[Answer, Refusal]:
        if self._draining.is_set():
            outcome = Outcome.UNKNOWN if req.key else Outcome.NOT_RUN
            detail = "this entry instance is about to stop"
            return Failure(Refusal(RefusalReason.DRAINING, outcome, detail, 0.0))
        return self._router.serve_locally(req)

    def _busy_draining_instances(self) -> list[str]:
        busy = self._admission.busy_instances()
        return [name for name in busy if self._capacity.is_draining(name)]

    def _member(self) -> Member:
        cfg = self._cfg
        return Member(
            node_id=cfg.node_id,
            incarnation=self._credentials.incarnation,
            data_centre=cfg.data_centre,
            host=str(cfg.peer.host),
            port=cfg.peer.port,
            durable=cfg.data_folder is not None,
            live=True,
        )

    def _health_problem(self) -> str:
        if self._draining.is_set():
            return "draining"
        if self._view.version < 0:
            return "no configuration received yet"
        return ""

    def _on_announcement(self, instance: Instance) -> None:
        self._exchange.wake()
        self._reporter.wake()

    def _recheck(self) -> None:
        while not self._clock.sleep(self._stopping, RECHECK_INTERVAL_SECONDS):
            self._admission.recheck()
