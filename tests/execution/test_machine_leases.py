"""Orders of two control instances for one machine stand apart by a lease."""

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

    def test_a_machine_that_nobody_ordered_is_held_at_once(self):
        self.assertTrue(self.leases.may_hold("m1", self.clock.monotonic()))

    def test_a_machine_that_this_one_ordered_last_is_held_at_once(self):
        self.leases.observe({"m1": ("a", 7)})
        self.assertTrue(self.leases.may_hold("m1", self.clock.monotonic()))

    def test_one_of_a_former_leader_waits_for_a_lease_under_the_new_one(self):
        self.leases.observe({"m1": ("b", 7)})
        led_since = self.clock.monotonic()
        self.clock.advance(LEASE)
        self.assertFalse(self.leases.may_hold("m1", led_since))
        self.clock.advance(0.01)
        self.assertTrue(self.leases.may_hold("m1", led_since))

    def test_one_that_was_ordered_long_before_the_loss_is_held_at_once(self):
        self.leases.observe({"m1": ("b", 7)})
        self.clock.advance(LEASE + ORDER_SECONDS)
        self.assertFalse(self.leases.may_hold("m1", self.clock.monotonic()))
        self.clock.advance(0.01)
        self.assertTrue(self.leases.may_hold("m1", self.clock.monotonic()))

    def test_a_later_entry_of_the_same_holder_counts_anew(self):
        self.leases.observe({"m1": ("b", 7)})
        self.clock.advance(LEASE)
        self.leases.observe({"m1": ("b", 8)})
        self.clock.advance(ORDER_SECONDS + 0.01)
        self.assertFalse(self.leases.may_hold("m1", self.clock.monotonic()))

    def test_an_order_follows_its_entry_within_a_short_time(self):
        self.assertFalse(self.leases.may_order("m1"))
        self.leases.record_logged(["m1"], self.clock.monotonic())
        self.clock.advance(ORDER_SECONDS)
        self.assertTrue(self.leases.may_order("m1"))
        self.clock.advance(0.01)
        self.assertFalse(self.leases.may_order("m1"))

    def test_two_leaders_never_order_within_a_lease(self):
        """Whenever the second one takes over: its order is a lease after the first."""
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
