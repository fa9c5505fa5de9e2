"""The parts of one entry instance around fakes, without daemons."""

import random

from arbutuscleat.core import Instance
from arbutuscleat.http import (
    Application,
    CallerFront,
    ChangesFront,
    ConfigurationFront,
    EndpointFront,
)
from arbutuscleat.membership import AnnouncementTable
from arbutuscleat.routing import (
    Admission,
    LogClaimRegistry,
    Router,
    RouterParts,
    RunTimes,
    build_routing_table,
)
from arbutuscleat.state import Member, instance_record, member_record
from arbutuscleat.telemetry import Metrics, Tracing
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

    def __init__(self, instances=("worker-1", "worker-2"), queue_length=4, slots=8):
        self.clock = ManualClock()
        self.control = FakeControl()
        self.endpoints = FakeEndpoints()
        self.metrics = Metrics()
        self.announcements = AnnouncementTable(self.clock, 5.0)
        self.has_right = True
        self.draining = False
        self.control.propose(member_report("entry-1"), 1.0)
        self.control.propose(pool_change("c1", "portal", "tier=portal"), 1.0)
        for name in instances:
            instance = make_instance(name, slots=slots)
            self.control.propose(report(instance), 1.0)
            self.announcements.take(instance)
        self.admission = Admission(
            self.clock, RunTimes(), queue_length, self.limit, lambda: 0.5
        )
        self.router = self._make_router()
        self.application = self._make_application()

    @property
    def configuration(self):
        return self.control.machine.configuration

    def table(self):
        return build_routing_table(self.configuration, "entry-1", "karachi")

    def limit(self, offer):
        ready = self.announcements.is_ready(offer.instance.instance_id)
        return offer.share if ready else 0

    def _make_router(self):
        parts = RouterParts(
            table=self.table,
            may_dispatch=lambda: self.has_right,
            may_send=lambda instance: self.has_right,
            admission=self.admission,
            claims=LogClaimRegistry(self.control, "entry-1", "1"),
            endpoints=self.endpoints,
            run_times=self.admission.run_times,
            is_idempotent=lambda service, method: method in ("GET", "PUT"),
        )
        return Router(parts, self.clock, self._tracing(), self.metrics)

    def _tracing(self):
        return Tracing("entry-1", None, 0.0, random.Random(1))

    def _make_application(self):
        tokens = {"test": OPERATOR}
        view = _View(self.control.machine)
        callers = CallerFront(
            self.router,
            self.clock,
            self._tracing(),
            self.metrics,
            10.0,
            60.0,
            lambda: self.draining,
        )
        reading = ConfigurationFront(
            tokens, self.control, view.changed, lambda: view.configuration
        )
        return Application(
            {
                "services": callers,
                "announcements": EndpointFront(
                    self.announcements,
                    view,
                    "karachi",
                    ENDPOINT,
                    1000,
                    lambda instance: None,
                ),
                "changes": ChangesFront(tokens, self.control),
                "pools": reading,
                "labels": reading,
                "selectors": reading,
                "instances": reading,
            }
        )
