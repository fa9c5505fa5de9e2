"""Tests that orders of two control instances for one machine are a lease apart."""

from testtools import TestCase

from arbutuscleat.execution.machine_leases import ORDER_SECONDS, MachineLeases
from tests.fakes import ManualClock

LEASE = 3.0
LONG_AGO = float("-inf")


class MachineLeasesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.leases = MachineLeases("a", self.clock, LEASE)

    def test_a_machine_without_a_holder_may_be_held_immediately(self):
        self.assertTrue(self.leases.may_hold("m1", self.clock.monotonic()))

    def test_a_machine_of_this_holder_may_be_held_immediately(self):
        self.leases.observe({"m1": ("a", 7)})
        self.assertTrue(self.leases.may_hold("m1", self.clock.monotonic()))

    def test_a_machine_of_a_former_leader_may_be_held_a_lease_after_the_takeover(self):
        self.leases.observe({"m1": ("b", 7)})
        led_since = self.clock.monotonic()
        self.clock.advance(LEASE)
        self.assertFalse(self.leases.may_hold("m1", led_since))
        self.clock.advance(0.01)
        self.assertTrue(self.leases.may_hold("m1", led_since))

    def test_a_machine_ordered_long_before_the_takeover_may_be_held_immediately(self):
        self.leases.observe({"m1": ("b", 7)})
        self.clock.advance(LEASE + ORDER_SECONDS)
        self.assertFalse(self.leases.may_hold("m1", self.clock.monotonic()))
        self.clock.advance(0.01)
        self.assertTrue(self.leases.may_hold("m1", self.clock.monotonic()))

    def test_a_later_entry_of_the_same_holder_restarts_the_lease(self):
        self.leases.observe({"m1": ("b", 7)})
        self.clock.advance(LEASE)
        self.leases.observe({"m1": ("b", 8)})
        self.clock.advance(ORDER_SECONDS + 0.01)
        self.assertFalse(self.leases.may_hold("m1", self.clock.monotonic()))

    def test_an_order_must_follow_its_log_entry_within_a_short_time(self):
        self.assertFalse(self.leases.may_order("m1"))
        self.leases.record_logged(["m1"], self.clock.monotonic())
        self.clock.advance(ORDER_SECONDS)
        self.assertTrue(self.leases.may_order("m1"))
        self.clock.advance(0.01)
        self.assertFalse(self.leases.may_order("m1"))

    def test_orders_of_two_leaders_are_more_than_a_lease_apart(self):
        """Holds for every delay between the first order and the takeover."""
        for takeover in range(0, 80):
            clock = ManualClock()
            first = MachineLeases("a", clock, LEASE)
            second = MachineLeases("b", clock, LEASE)
            first.record_logged(["m1"], clock.monotonic())
            second.observe({"m1": ("a", 1)})
            clock.advance(ORDER_SECONDS)
            self.assertTrue(first.may_order("m1"))
            ordered_at = clock.monotonic()
            clock.advance(takeover / 10)
            led_since = clock.monotonic()
            while not second.may_hold("m1", led_since):
                clock.advance(0.05)
            self.assertTrue(clock.monotonic() - ordered_at > LEASE, takeover)
