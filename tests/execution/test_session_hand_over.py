"""Sessions that pass from one control instance to another."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from testtools import TestCase

from arbutuscleat.execution.session_balancer import (
    MAX_LEADER_WORKERS,
    STEADY_SECONDS,
)
from arbutuscleat.execution.session_lease import LEASE_SECONDS
from tests.execution.session_group import Group
from tests.fakes import ManualClock

WORKERS = [f"w{number}" for number in range(40)]


class HandOverTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.group = Group(self.clock)
        self.a, self.b, self.c = self.group.nodes
        self.group.lead(self.a)

    def play_until_shared(self):
        self.group.play(STEADY_SECONDS + 2.0)

    def seconds_until(self, is_reached, nodes=None):
        """Return after how many seconds something is reached, two at the most."""
        since = self.clock.monotonic()
        while not is_reached():
            self.assertTrue(self.clock.monotonic() - since < 2.0)
            self.group.play(0.05, nodes)
        return self.clock.monotonic() - since

    def held(self, *nodes):
        return [worker for node in nodes for worker in node.permits(WORKERS)]

    def test_the_leader_holds_all_sessions_until_they_are_shared(self):
        self.assertEqual(set(WORKERS), self.a.permits(WORKERS))
        self.play_until_shared()
        self.assertEqual(set(), self.a.permits(WORKERS))
        self.assertEqual(sorted(WORKERS), sorted(self.held(self.b, self.c)))

    def test_the_leader_keeps_all_sessions_of_a_small_fleet(self):
        """Guards against starts delayed by the loss of a node that does not lead."""
        group = Group(self.clock, worker_count=MAX_LEADER_WORKERS)
        leader, other, _ = group.nodes
        group.lead(leader)
        group.play(STEADY_SECONDS + 2.0)
        self.assertEqual(set(WORKERS), leader.permits(WORKERS))
        group.lead(other)
        self.assertEqual(set(WORKERS), other.permits(WORKERS))

    def test_sessions_of_a_lost_holder_have_another_one_within_two_seconds(self):
        self.play_until_shared()
        left = [self.a, self.c]
        self.seconds_until(
            lambda: sorted(self.held(*left)) == sorted(WORKERS), nodes=left
        )

    def test_a_paused_holder_may_call_nobody_once_its_lease_has_run_out(self):
        """Guards against calls under a permission that ran out during the pause."""
        self.play_until_shared()
        held = self.b.permits(WORKERS)
        self.assertNotEqual(set(), held)
        self.clock.advance(LEASE_SECONDS)
        self.assertEqual(set(), self.b.permits(WORKERS))
        self.b.renew()
        self.assertEqual(held, self.b.permits(WORKERS))

    def test_a_change_of_leader_leaves_the_sessions_with_their_holders(self):
        """Guards against work that stops on the whole fleet with one process."""
        self.play_until_shared()
        held = self.c.permits(WORKERS)
        self.group.lead(self.b)
        self.group.play(STEADY_SECONDS - 0.2, [self.b, self.c])
        self.assertTrue(held <= self.c.permits(WORKERS))

    def test_a_holder_that_leaves_keeps_its_sessions_until_it_has_stopped(self):
        """Guards against two holders around a planned stop, and against a gap."""
        self.play_until_shared()
        self.b.is_leaving = True
        since = self.clock.monotonic()
        while self.held(self.b):
            self.group.play(0.05)
            held = self.held(self.a, self.b, self.c)
            self.assertEqual(len(held), len(set(held)))
        while sorted(self.held(self.a, self.c)) != sorted(WORKERS):
            self.group.play(0.05)
        self.assertTrue(self.clock.monotonic() - since <= 0.25)

    def test_a_restarted_process_does_not_use_what_its_predecessor_held(self):
        """Guards against permits that outlive the process that they were given to."""
        self.play_until_shared()
        self.group.restart(1)
        node = self.group.nodes[1]
        node.apply()
        node.renew()
        self.assertEqual(set(), node.permits(WORKERS))

    def test_a_holder_that_lags_behind_the_log_loses_its_sessions(self):
        """Guards against a holder that knows nothing of cancelled jobs."""
        self.play_until_shared()
        lagging, index = self.b, self.b.applied
        since = self.clock.monotonic()
        while self.clock.monotonic() - since < 4.0:
            self.group.log.append(b"")
            self.a.apply()
            self.c.apply()
            for node in self.group.nodes:
                node.renew()
            self.a.balancer.run_once()
            self.clock.advance(0.05)
        self.assertEqual(index, lagging.applied)
        self.assertEqual(set(), lagging.permits(WORKERS))
        self.assertEqual(sorted(WORKERS), sorted(self.held(self.a, self.c)))


class SessionSharing(RuleBasedStateMachine):
    """Random interleavings; the model is that a worker has one caller at a time."""

    @initialize()
    def begin(self):
        self.clock = ManualClock()
        self.group = Group(self.clock, "abcd")
        self.former = []
        self.delayed = []
        self.group.lead(self.group.nodes[0])
        self.group.play(STEADY_SECONDS + 2.0)
        self.group.after_step = self.each_worker_has_one_caller

    @rule(seconds=st.sampled_from([0.01, 0.05, 0.3, LEASE_SECONDS]))
    def pass_time(self, seconds):
        self.clock.advance(seconds)

    @rule(index=st.integers(0, 3))
    def change_leader(self, index):
        self.group.lead(self.group.nodes[index])

    @rule()
    def lose_quorum(self):
        self.group.leader = None

    @rule(is_slow=st.booleans())
    def slow_down_commits(self, is_slow):
        self.group.is_commit_slow = is_slow

    @rule()
    def commit_late(self):
        self.group.commit()
        if self.group.leader is not None:
            self.group.leader.apply()

    @rule(index=st.integers(0, 3))
    def restart(self, index):
        self.former.append(self.group.restart(index))

    @rule(index=st.integers(0, 3), count=st.integers(1, 20))
    def apply_some(self, index, count):
        node = self.group.nodes[index]
        node.apply(min(len(self.group.log), node.applied + count))

    @rule(index=st.integers(0, 3), leaving=st.booleans())
    def renew(self, index, leaving):
        node = self.group.nodes[index]
        node.is_leaving = leaving
        node.renew()

    @rule(seconds=st.sampled_from([0.05, 0.2, 1.0]))
    def play_without_applying(self, seconds):
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            for node in self.group.nodes:
                node.renew()
            self.balance()
            self.each_worker_has_one_caller()
            self.clock.advance(0.05)

    @rule(index=st.integers(0, 3))
    def delay_renewal(self, index):
        node = self.group.nodes[index]
        self.delayed.append((node, *node.request()))

    @rule()
    def deliver_delayed(self):
        if self.delayed:
            self.group.deliver(*self.delayed.pop(0))

    @rule()
    def balance(self):
        if self.group.leader is not None:
            self.group.leader.balancer.run_once()

    @rule(absent=st.integers(0, 4), seconds=st.sampled_from([0.2, 1.5, 3.0]))
    def play(self, absent, seconds):
        nodes = [n for i, n in enumerate(self.group.nodes) if i != absent]
        self.group.play(seconds, nodes)

    @invariant()
    def each_worker_has_one_caller(self):
        called = []
        for node in [*self.group.nodes, *self.former]:
            called += node.permits(WORKERS)
        assert len(called) == len(set(called)), sorted(called)


SessionSharing.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
SharingTest = SessionSharing.TestCase
