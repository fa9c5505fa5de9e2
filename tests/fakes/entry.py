"""The request path of an entry instance, built on fakes instead of daemons."""

import random

from returns.result import Failure

from arbutuscleat.core import (
    Instance,
    Outcome,
    Refusal,
    RefusalReason,
    RequestTracker,
)
from arbutuscleat.http import (
    AnnouncementHandler,
    Application,
    CallerHandler,
    ChangeHandler,
    ConfigurationHandler,
)
from arbutuscleat.membership import AnnouncementTable
from arbutuscleat.metrics import Metrics
from arbutuscleat.routing import (
    AdmissionController,
    AnswerCache,
    AnswerFetcher,
    Forwarder,
    LogClaimRegistry,
    OutlierDetector,
    RetryBudget,
    Router,
    RouterParts,
    RunTimes,
    build_routing_table,
)
from arbutuscleat.routing.forwarder import (
    NO_PEER,
    from_forward_answer,
    from_forward_request,
    to_forward_answer,
    to_forward_request,
)
from arbutuscleat.state import Member, instance_record, member_record
from arbutuscleat.telemetry import Tracing
from arbutuscleat.wire.gen.ttypes import (
    Change,
    Command,
    ConfigObject,
    PoolRecord,
    ReportInstance,
    ReportMember,
)

from .clock import ManualClock
from .control import FakeControl
from .endpoints import FakeEndpoints

OPERATOR = "an-operator-token-of-a-test"
ENDPOINT = "an-endpoint-token-of-a-test"


def make_instance(name, labels=None, data_centre="karachi", slots=8, **changes):
    """Return an instance of service `portal`, labelled ``tier=portal`` by default."""
    values = {
        "instance_id": name,
        "incarnation": "1",
        "host": "127.0.0.1",
        "port": 9,
        "data_centre": data_centre,
        "rack": "rack-1",
        "labels": {"tier": "portal"} if labels is None else labels,
        "services": ("portal",),
        "slots": slots,
        "connections": 64,
        **changes,
    }
    return Instance(**values)


def pool_change(change_id, name, membership, expected=0, min_available=0):
    """Return the command that sets a pool whose expected version is `expected`."""
    record = PoolRecord(
        name=name,
        service_name=name,
        min_available=min_available,
        spare=False,
        membership=membership,
    )
    return Command(
        change=Change(
            change_id=change_id,
            digest=f"{name} {membership} {min_available} {expected}",
            operator_name="test",
            expected_version=expected,
            content=ConfigObject(pool=record),
        )
    )


def report(instance):
    """Return the command that reports an announcement of an instance."""
    return Command(instance=ReportInstance(instance=instance_record(instance)))


def member_report(name, data_centre="karachi", incarnation="1", live=True):
    """Return the command that registers an entry instance, or marks it as down."""
    member = Member(name, incarnation, data_centre, "127.0.0.1", 9, False, live)
    return Command(member=ReportMember(member=member_record(member)))


class FakeClaimCloser:
    """Closes claims immediately, unless it is paused.

    Attributes
    ----------
    is_paused : bool
        Whether claims are queued until `resume` is called.
    pending : list of (claim, released)
        Claims that are still to be closed, and whether they are to be released.
        Holds failed releases as well, which `resume` retries.
    """

    def __init__(self, claims):
        self._claims = claims
        self.is_paused = False
        self.pending = []

    def finish(self, claim):
        self._close(claim, False)

    def release(self, claim):
        self._close(claim, True)

    def resume(self):
        self.is_paused = False
        pending, self.pending = self.pending, []
        for claim, released in pending:
            self._close(claim, released)

    def _close(self, claim, released):
        if self.is_paused:
            self.pending.append((claim, released))
        elif released:
            if not self._claims.release(claim, 1.0):
                self.pending.append((claim, released))
        else:
            self._claims.finish(claim, 1.0)


class FakeFetcher(AnswerFetcher):
    """Fetches cached answers from the other fake entry instances."""

    def __init__(self, entries):
        self._entries = entries

    def fetch(self, owner, key, timeout):
        entry = self._entries.get(owner)
        return (
            None if entry is None or entry.is_cut_off else entry.answer_cache.get(key)
        )


class FakeForwarder(Forwarder):
    """Forwards requests to the fake entry instances of other data centres.

    If `is_cut_off` is set on the receiving one, the answer is lost after the request
    has run.
    """

    def __init__(self, entries):
        self._entries = entries

    def forward(self, req, data_centres, deadline):
        for entry in self._entries.values():
            if entry.data_centre in data_centres:
                message = to_forward_request(req, deadline)
                result = entry.router.serve_locally(from_forward_request(message))
                if entry.is_cut_off:
                    reason, detail = RefusalReason.FORWARD_LOST, "injected"
                    return Failure(Refusal(reason, Outcome.UNKNOWN, detail))
                return from_forward_answer(to_forward_answer(result))
        return Failure(NO_PEER)


class _View:
    """A configuration view that reads the state machine of the fake control."""

    def __init__(self, machine):
        self.changed = machine.changed
        self._machine = machine

    @property
    def configuration(self):
        return self._machine.configuration


class FakeEntry:
    """An entry instance and a pool `portal` with the given instances.

    Parameters
    ----------
    instances : sequence of str
        Ids of the instances, all ready and in the data centre of the entry instance.
    queue_length : int
        Maximum length of the admission queue.
    slots : int
        Slots of each instance.
    name, data_centre : str
        Identity and location of the entry instance.
    peer : FakeEntry, optional
        Another entry instance of the fleet, whose clock, control, endpoints and
        forwarding are shared.

    Attributes
    ----------
    spare : int
        Number of instances that the pool can lose, as seen by outlier detection.
    may_send : callable
        Returns whether work may be sent to an instance.
    is_cut_off : bool
        Whether answers of this entry instance are lost to its peers.
    has_dispatch_right : bool
        Whether it may dispatch work.
    draining : bool
        Whether it refuses new requests because its process is stopping.
    """

    def __init__(
        self,
        instances=("worker-1", "worker-2"),
        queue_length=4,
        slots=8,
        name="entry-1",
        data_centre="karachi",
        peer=None,
    ):
        self.name = name
        self.data_centre = data_centre
        self.clock = peer.clock if peer else ManualClock()
        self.control = peer.control if peer else FakeControl()
        self.endpoints = peer.endpoints if peer else FakeEndpoints()
        self.entries = peer.entries if peer else {}
        self.entries[name] = self
        self.metrics = Metrics()
        self.outliers = OutlierDetector(self.clock)
        self.spare = 1
        self.may_send = lambda instance: True
        self.is_cut_off = False
        self.announcements = AnnouncementTable(self.clock, 5.0)
        self.has_dispatch_right = True
        self.draining = False
        self.control.propose(member_report(name, data_centre), 1.0)
        self.control.propose(pool_change("c1", "portal", "tier=portal"), 1.0)
        for worker in instances:
            instance = make_instance(worker, data_centre=data_centre, slots=slots)
            self.control.propose(report(instance), 1.0)
            self.announcements.update(instance)
        self.admission = AdmissionController(
            self.clock, RunTimes(), queue_length, self.limit, lambda: 0.5
        )
        self.router = self._make_router()
        self.application = self._make_application()

    @property
    def configuration(self):
        return self.control.machine.configuration

    def table(self):
        return build_routing_table(self.configuration, self.name, self.data_centre)

    def limit(self, offer):
        name = offer.instance.instance_id
        ready = self.announcements.is_ready(name) and self.outliers.may_use(name)
        return offer.share if ready else 0

    def _make_router(self):
        claims = LogClaimRegistry(self.control, self.name, "1")
        self.claim_closer = FakeClaimCloser(claims)
        self.answer_cache = AnswerCache()
        self.retries = RetryBudget()
        parts = RouterParts(
            table=self.table,
            may_dispatch=lambda: self.has_dispatch_right,
            may_send=lambda instance: (
                self.has_dispatch_right and self.may_send(instance)
            ),
            spare_instances=lambda instance: self.spare,
            is_idempotent=lambda service, method: method in ("GET", "PUT"),
            admission=self.admission,
            outliers=self.outliers,
            retries=self.retries,
            claims=claims,
            claim_closer=self.claim_closer,
            answer_cache=self.answer_cache,
            fetcher=FakeFetcher(self.entries),
            forwarder=FakeForwarder(self.entries),
            endpoints=self.endpoints,
        )
        return Router(parts, self.clock, self._tracing(), self.metrics)

    def _tracing(self):
        return Tracing("entry-1", None, 0.0, random.Random(1))

    def _make_application(self):
        tokens = {"test": OPERATOR}
        view = _View(self.control.machine)
        caller_handler = CallerHandler(
            self.router,
            self.clock,
            self._tracing(),
            self.metrics,
            10.0,
            60.0,
            lambda: self.draining,
            RequestTracker(),
        )
        configuration_handler = ConfigurationHandler(
            tokens, self.control, view.changed, lambda: view.configuration
        )
        return Application(
            {
                "services": caller_handler,
                "announcements": AnnouncementHandler(
                    self.announcements,
                    view,
                    "karachi",
                    ENDPOINT,
                    1000,
                    lambda instance: None,
                ),
                "changes": ChangeHandler(tokens, self.control),
                "pools": configuration_handler,
                "labels": configuration_handler,
                "selectors": configuration_handler,
                "instances": configuration_handler,
            }
        )
