"""Tests of the detection of stalled tasks."""

from testtools import TestCase

from arbutuscleat.execution import UNKNOWN_PROGRESS, RunningTask
from arbutuscleat.execution.stall_detector import STALL_SECONDS, StallDetector
from arbutuscleat.jobs import TaskKey
from tests.fakes.jobs import JOB

KEY = TaskKey(JOB, 0, 0, 0)


class StallDetectorTest(TestCase):
    def stalled_at(self, percents, pause=0.5, estimate_ms=1_000, number=1):
        """Return the second at which the run is found stalled, or None."""
        detector = StallDetector()
        for index, percent in enumerate(percents):
            task = RunningTask(KEY, number, percent, 0)
            if detector.find_stalled([(task, estimate_ms)], index * pause):
                return index * pause
        return None

    def test_a_task_without_progress_is_stalled(self):
        self.assertEqual(STALL_SECONDS, self.stalled_at([30] * 20))

    def test_a_slow_task_is_not_stalled(self):
        """Ten times as slow as estimated: five percent between two observations."""
        self.assertIs(None, self.stalled_at(range(0, 100, 5)))

    def test_progress_restarts_the_time_limit(self):
        self.assertEqual(1.5 + STALL_SECONDS, self.stalled_at([1, 2, 3] + [4] * 20))

    def test_a_pause_of_this_process_is_not_a_stall(self):
        self.assertIs(None, self.stalled_at([30, 30], pause=60.0))

    def test_a_long_task_has_a_longer_time_limit(self):
        self.assertEqual(5.0, self.stalled_at([30] * 40, estimate_ms=100_000))

    def test_a_task_at_full_progress_is_not_stalled(self):
        self.assertIs(None, self.stalled_at([100] * 40))

    def test_a_task_whose_progress_is_not_known_is_not_stalled(self):
        """Guards against the stop of a sound run because of a field (review/13)."""
        self.assertIs(None, self.stalled_at([UNKNOWN_PROGRESS] * 40))
