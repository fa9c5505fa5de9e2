"""Random sequences of faults, checking dispatch rights against the dispatch gate.

Whenever the gate is open, control acts on the current version; from then on no
instance may dispatch under an older version.
"""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from tests import guarantees
from tests.membership.data_centre import LEASE_MS, DataCentre

RUN_SETTINGS = settings(
    max_examples=120,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
NODE_NUMBERS = st.integers(0, 3)
DELAYS = st.sampled_from([0.0, 0.2, 1.0, LEASE_MS / 1000 - 0.1, LEASE_MS / 1000 + 0.1])


class DispatchRightsMachine(RuleBasedStateMachine):
    @initialize(durable=st.lists(st.booleans(), min_size=1, max_size=4))
    def begin(self, durable):
        self.centre = DataCentre(durable)
        self.acted = self.centre.control.version
        self.in_force = {}

    def node(self, number):
        names = self.centre.names
        return self.centre.nodes[names[number % len(names)]]

    def plan(self, lost, delays, between=None):
        before, after = delays
        clock = self.centre.clock
        return {
            "lost": lost,
            "before": lambda: clock.advance(before),
            "after": lambda: clock.advance(after),
            "between": between or (lambda: None),
        }

    @rule()
    def change(self):
        self.centre.control.change()

    @rule(number=NODE_NUMBERS, lost=st.booleans(), delays=st.tuples(DELAYS, DELAYS))
    def poll(self, number, lost, delays):
        self.node(number).poll(**self.plan(lost, delays))

    @rule(number=NODE_NUMBERS)
    def poll_twice(self, number):
        self.node(number).poll()
        self.node(number).poll()

    @rule(
        number=NODE_NUMBERS,
        peer=NODE_NUMBERS,
        lost=st.booleans(),
        delays=st.tuples(DELAYS, DELAYS),
        polls=st.booleans(),
    )
    def share(self, number, peer, lost, delays, polls):
        node, other = self.node(number), self.node(peer)
        between = other.poll if polls else None
        if node is not other:
            node.share(other.name, **self.plan(lost, delays, between))

    @rule(number=NODE_NUMBERS, is_cut=st.booleans())
    def cut_control(self, number, is_cut):
        self.node(number).cut_control(is_cut)

    @rule(number=NODE_NUMBERS, peer=NODE_NUMBERS, is_cut=st.booleans())
    def cut_peer(self, number, peer, is_cut):
        node, other = self.node(number), self.node(peer)
        if node is not other:
            node.peers[other.name].is_cut = is_cut

    @rule(number=NODE_NUMBERS)
    def restart(self, number):
        node = self.node(number)
        cut = node.control.is_cut
        node.start()
        node.cut_control(cut)

    @rule(number=NODE_NUMBERS)
    def register_again(self, number):
        self.node(number).register()

    @rule()
    def run_failure_detector(self):
        self.centre.control.run_failure_detector()

    @rule()
    def new_leader(self):
        self.centre.control.lead()

    @rule(seconds=DELAYS)
    def wait(self, seconds):
        self.centre.clock.advance(seconds)

    @rule()
    def act(self):
        if self.centre.control.verdict().is_open:
            self.acted = self.centre.control.version

    @invariant()
    def no_dispatch_under_older_version(self):
        guarantees.no_dispatch_under_older_version(
            self.acted, self.centre.dispatchers()
        )

    @invariant()
    def in_force_never_reverts(self):
        for node in self.centre.nodes.values():
            version = node.tables.version()
            if version >= 0:
                before = self.in_force.get(node.name, version)
                guarantees.never_reverts([before, version])
                self.in_force[node.name] = version


class DispatchRightsStatefulTest(DispatchRightsMachine.TestCase):
    settings = RUN_SETTINGS
