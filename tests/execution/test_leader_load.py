from testtools import TestCase

from arbutuscleat.execution import LeaderLoad
from arbutuscleat.execution.leader_load import LOG_SECONDS
from arbutuscleat.metrics import Metrics
from tests.fakes import ManualClock


class LeaderLoadTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.load = LeaderLoad(self.clock, self.metrics)

    def test_durations_are_served_as_histograms(self):
        with self.load.timed("plan"):
            self.clock.advance(0.5)
        self.assertIn('leader_seconds_count{operation="plan"} 1', self.metrics.render())

    def test_a_line_reports_durations_once_an_interval(self):
        self.load.observe("move", 9.0)
        with self.assertLogs("absl", "INFO") as logs:
            self.load.log_if_due()
            self.clock.advance(LOG_SECONDS)
            self.load.log_if_due()
            self.load.log_if_due()
        expected = "leader load: move 1 x 9000.0 ms, max 9000"
        self.assertEqual([expected], [item.getMessage() for item in logs.records])
