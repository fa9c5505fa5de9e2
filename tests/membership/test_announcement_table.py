from testtools import TestCase

from arbutuscleat.core import InstanceState
from arbutuscleat.membership import AnnouncementTable
from tests.fakes import ManualClock, make_instance

EXPIRY_SECONDS = 5.0


class AnnouncementTableTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.table = AnnouncementTable(self.clock, EXPIRY_SECONDS)
        self.table.update(make_instance("w1", sequence=1))

    def leave(self, direct=True):
        leaving = make_instance("w1", sequence=2, state=InstanceState.LEAVING)
        self.table.update(leaving, direct)

    def test_leaving_endpoint_is_not_ready(self):
        self.assertTrue(self.table.is_ready("w1"))
        self.leave()
        self.assertFalse(self.table.is_ready("w1"))

    def test_leaving_announcement_relayed_by_a_peer_counts(self):
        self.leave(direct=False)
        self.assertFalse(self.table.is_ready("w1"))

    def test_late_announcement_does_not_make_it_ready_again(self):
        self.leave()
        self.assertFalse(self.table.update(make_instance("w1", sequence=1)))
        self.assertFalse(self.table.is_ready("w1"))

    def test_new_incarnation_makes_it_ready_again(self):
        self.leave()
        self.table.update(make_instance("w1", incarnation="2"))
        self.assertTrue(self.table.is_ready("w1"))

    def test_silent_endpoint_is_not_ready(self):
        self.clock.advance(EXPIRY_SECONDS)
        self.assertFalse(self.table.is_ready("w1"))
        self.assertFalse(self.table.is_ready("never heard"))
