"""The parts of one entry instance around fakes, without daemons."""

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
    return Command(instance=ReportInstance(instance=instance_record(instance)))


def member_report(name, data_centre="karachi", incarnation="1", live=True):
    member = Member(name, incarnation, data_centre, "127.0.0.1", 9, False, live)
    return Command(member=ReportMember(member=member_record(member)))


class FakeEnder:
    """Ends claims at once, unless the test holds it back."""

    def __init__(self, claims):
        self._claims = claims
        self.is_held_back = False
        self.waiting = []

    def finish(self, claim):
        self._end(claim, False)

    def release(self, claim):
        self._end(claim, True)

    def go_on(self):
        self.is_held_back = False
        waiting, self.waiting = self.waiting, []
        for claim, released in waiting:
            self._end(claim, released)

    def _end(self, claim, released):
        if self.is_held_back:
            self.waiting.append((claim, released))
        elif released:
            if not self._claims.release(claim, 1.0):
                self.waiting.append((claim, released))
        else:
            self._claims.finish(claim, 1.0)


class FakeFetcher(AnswerFetcher):
    """Reads the kept answers of the other fake entries."""

    def __init__(self, entries):
        self._entries = entries

    def fetch(self, owner, key, timeout):
        entry = self._entries.get(owner)
        return None if entry is None or entry.is_cut_off else entry.kept.get(key)


class FakeForwarder(Forwarder):
    """Hands requests to the fake entries of other data centres.

    `is_cut_off` of the other entry loses the answer after the request ran.
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
    """A configuration view that reads the fake control's machine."""

    def __init__(self, machine):
        self.changed = machine.changed
        self._machine = machine

    @property
    def configuration(self):
        return self._machine.configuration


class FakeEntry:
    """One entry instance with a pool `portal` of the instances given."""

    def __init__(
        self,
        instances=("worker-1", "worker-2"),
        queue_length=4,
        slots=8,
        name="entry-1",
        data_centre="karachi",
        beside=None,
    ):
        self.name = name
        self.data_centre = data_centre
        self.clock = beside.clock if beside else ManualClock()
        self.control = beside.control if beside else FakeControl()
        self.endpoints = beside.endpoints if beside else FakeEndpoints()
        self.entries = beside.entries if beside else {}
        self.entries[name] = self
        self.metrics = Metrics()
        self.outliers = OutlierDetector(self.clock)
        self.spare = 1
        self.may_send = lambda instance: True
        self.is_cut_off = False
        self.announcements = AnnouncementTable(self.clock, 5.0)
        self.has_right = True
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
        self.ender = FakeEnder(claims)
        self.kept = AnswerCache()
        self.retries = RetryBudget()
        parts = RouterParts(
            table=self.table,
            may_dispatch=lambda: self.has_right,
            may_send=lambda instance: self.has_right and self.may_send(instance),
            spare_instances=lambda instance: self.spare,
            is_idempotent=lambda service, method: method in ("GET", "PUT"),
            admission=self.admission,
            outliers=self.outliers,
            retries=self.retries,
            claims=claims,
            claim_closer=self.ender,
            answer_cache=self.kept,
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
        callers = CallerHandler(
            self.router,
            self.clock,
            self._tracing(),
            self.metrics,
            10.0,
            60.0,
            lambda: self.draining,
            RequestTracker(),
        )
        reading = ConfigurationHandler(
            tokens, self.control, view.changed, lambda: view.configuration
        )
        return Application(
            {
                "services": callers,
                "announcements": AnnouncementHandler(
                    self.announcements,
                    view,
                    "karachi",
                    ENDPOINT,
                    1000,
                    lambda instance: None,
                ),
                "changes": ChangeHandler(tokens, self.control),
                "pools": reading,
                "labels": reading,
                "selectors": reading,
                "instances": reading,
            }
        )
