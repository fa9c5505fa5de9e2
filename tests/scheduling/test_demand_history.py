"""Tests of when idle machines may be parked."""

from testtools import TestCase

from arbutuscleat.scheduling import DemandHistory
from arbutuscleat.scheduling.demand_history import SETTLE_SECONDS


class DemandHistoryTest(TestCase):
    def test_long_running_jobs_alone_do_not_settle_the_history(self):
        history = DemandHistory()
        for second in range(30):
            history.observe(second, has_batch_jobs=False)
        self.assertFalse(history.is_settled(30))

    def test_the_first_batch_demand_is_observed_before_machines_are_parked(self):
        history = DemandHistory()
        history.observe(10.0, has_batch_jobs=True)
        history.observe(12.0, has_batch_jobs=False)
        self.assertFalse(history.is_settled(10.0 + SETTLE_SECONDS))
        self.assertTrue(history.is_settled(10.1 + SETTLE_SECONDS))

    def test_a_new_leader_observes_demand_again(self):
        history = DemandHistory()
        history.observe(10.0, has_batch_jobs=True)
        history.reset()
        self.assertFalse(history.is_settled(100.0))
