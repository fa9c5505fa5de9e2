"""When idle machines may be let go."""

from testtools import TestCase

from arbutuscleat.scheduling import DemandHistory
from arbutuscleat.scheduling.demand_history import SETTLE_SECONDS


class DemandHistoryTest(TestCase):
    def test_lasting_jobs_alone_are_no_turn(self):
        history = DemandHistory()
        for second in range(30):
            history.observe(second, has_batch_jobs=False)
        self.assertFalse(history.is_settled(30))

    def test_the_first_turn_is_watched_before_machines_go(self):
        history = DemandHistory()
        history.observe(10.0, has_batch_jobs=True)
        history.observe(12.0, has_batch_jobs=False)
        self.assertFalse(history.is_settled(10.0 + SETTLE_SECONDS))
        self.assertTrue(history.is_settled(10.1 + SETTLE_SECONDS))

    def test_a_new_leader_watches_anew(self):
        history = DemandHistory()
        history.observe(10.0, has_batch_jobs=True)
        history.reset()
        self.assertFalse(history.is_settled(100.0))
