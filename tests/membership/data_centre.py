"""A simulated data centre: the real membership classes over fake channels and disks."""

from arbutuscleat.consensus import ReplicaStatus, Role
from arbutuscleat.maintenance import DispatchGate, MemberFailureDetector
from arbutuscleat.membership import (
    AckTable,
    AnnouncementTable,
    ConfigurationView,
    ControlService,
    DispatchRights,
    InForceTracker,
    PeerExchange,
    Subscription,
    ViewStore,
)
from arbutuscleat.routing import RoutingTableHolder
from arbutuscleat.state import ControlStateMachine, Member, member_record
from arbutuscleat.wire import Credentials, encode
from arbutuscleat.wire.gen.ttypes import Command, ReportMember
from tests.fakes import ManualClock, MemoryDisk, pool_change
from tests.fakes.channels import FakeChannel

LEASE_MS = 3_000
GATE_WAIT_SECONDS = 3.5


class FakeReplica:
    """A replica that is leader as long as `is_leading` is set."""

    def __init__(self):
        self.is_leading = True

    def leads(self):
        return self.is_leading

    def status(self):
        return ReplicaStatus("control-1", "1", Role.LEADER, 1, "control-1", 1, True, "")


class Control:
    """The leading control instance."""

    def __init__(self, clock):
        self.clock = clock
        self.machine = ControlStateMachine()
        self.replica = FakeReplica()
        self.changes = 0
        self.commits = 0
        self.lead()

    def lead(self):
        """Become leader, without the acknowledgements and grants recorded before."""
        self.led_since = self.clock.monotonic()
        self.acks = AckTable(self.clock)
        self.service = ControlService(
            self.replica, self.machine, self.acks, self.clock, LEASE_MS
        )
        self.gate = DispatchGate(
            self.acks, self.clock, GATE_WAIT_SECONDS, lambda: self.led_since
        )
        self.failure_detector = MemberFailureDetector(
            self.acks, self.gate, self.clock, LEASE_MS / 1000
        )

    @property
    def version(self):
        return self.machine.version

    def commit(self, command):
        self.commits += 1
        self.machine.apply(self.commits, encode(command))

    def change(self):
        """Commit a change that adds a pool."""
        self.changes += 1
        name = f"p{self.changes}"
        self.commit(pool_change(name, name, f"a={name}"))

    def run_failure_detector(self):
        """Run one round of the member failure detector and commit its commands."""
        configuration = self.machine.configuration
        for command in self.failure_detector.decide(configuration, self.led_since):
            self.commit(command)

    def verdict(self, version=None):
        members = self.machine.configuration.members.values()
        return self.gate.check(members, self.version if version is None else version)


class Node:
    """One entry instance, with or without a disk."""

    def __init__(self, name, data_centre, durable=False):
        self.name = name
        self.data_centre = data_centre
        self.disk = MemoryDisk() if durable else None
        self.starts = 0
        self.versions_in_force = []
        self.start()

    def start(self):
        """Start or restart; state that is not on the disk is lost."""
        clock = self.data_centre.clock
        self.starts += 1
        store = ViewStore(self.disk) if self.disk else None
        self.incarnation = (
            store.incarnation(self.name) if store else f"{self.name}-{self.starts}"
        )
        credentials = Credentials("c", "k", self.name, self.incarnation)
        self.view = ConfigurationView(store)
        self.rights = DispatchRights(self.name, self.incarnation, "dc", clock)
        self.in_force = InForceTracker(self.name, "dc")
        self.view.add_listener(
            lambda c: self.rights.update_version(c.version, c.members.values())
        )
        self.view.add_listener(
            lambda c: self.in_force.update_version(c.version, c.members.values())
        )
        self.tables = RoutingTableHolder(
            self.view, lambda: self.in_force.version, self.name, "dc"
        )
        self.peers = {
            other: FakeChannel(lambda other=other: self.data_centre.exchange(other))
            for other in self.data_centre.names
            if other != self.name
        }
        self.exchange = PeerExchange(
            credentials,
            self.peers,
            AnnouncementTable(clock, 5.0),
            self.view,
            self.rights,
            self.in_force,
            self.tables.version,
            LEASE_MS,
            lambda: [],
            clock,
        )
        self.control = FakeChannel(lambda: self.data_centre.control.service)
        self.subscription = Subscription(
            credentials,
            {"control-1": self.control},
            self.view,
            self.rights,
            self.exchange.acks,
            clock,
            lambda: None,
        )
        self.view.restore()

    def poll(self, **plan):
        """Poll control once; the poll renews the lease and does not wait."""
        self.control.plan = plan
        self.rights.control_lease_expires_within = lambda within: True
        self.subscription.poll_once()

    def share(self, peer, **plan):
        self.peers[peer].plan = plan
        self.exchange.exchange_once(peer, {})

    def register(self):
        if self.control.is_cut:
            return
        member = Member(
            self.name, self.incarnation, "dc", "127.0.0.1", 9, bool(self.disk), True
        )
        self.data_centre.control.commit(
            Command(member=ReportMember(member=member_record(member)))
        )

    def cut_control(self, is_cut=True):
        self.control.is_cut = is_cut

    @property
    def may_dispatch(self):
        return self.rights.may_dispatch()

    @property
    def version(self):
        return self.view.version


class DataCentre:
    """Entry instances of one data centre, registered and up to date."""

    def __init__(self, durable=(False, False)):
        self.clock = ManualClock()
        self.control = Control(self.clock)
        self.names = [f"e{number + 1}" for number in range(len(durable))]
        self.nodes = {}
        for name, is_durable in zip(self.names, durable):
            self.nodes[name] = Node(name, self, is_durable)
        for node in self.nodes.values():
            node.register()
        self.settle()

    def exchange(self, name):
        node = self.nodes.get(name)
        return node.exchange if node is not None else None

    def settle(self):
        """Poll and share three times, which brings all reachable nodes up to date."""
        for _ in range(3):
            for node in self.nodes.values():
                node.poll()
                for peer in node.peers:
                    node.share(peer)

    def dispatchers(self):
        return [(n.name, n.version, n.may_dispatch) for n in self.nodes.values()]

    def pass_time(self, seconds, step=0.5):
        """Advance the clock in steps; poll, share and detect failures in each."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            self.clock.advance(step)
            for node in self.nodes.values():
                node.poll()
                for peer in node.peers:
                    node.share(peer)
            self.control.run_failure_detector()
