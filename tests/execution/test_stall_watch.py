"""Which tasks stand still."""

from testtools import TestCase

from arbutuscleat.execution import RunningTask
from arbutuscleat.execution.stall_detector import STALL_SECONDS, StallDetector
from arbutuscleat.jobs import TaskKey
from tests.fakes.jobs import JOB

KEY = TaskKey(JOB, 0, 0, 0)


class StallWatchTest(TestCase):
    def look(self, percents, pause=0.5, estimate_ms=1_000, number=1):
        """Return at which second the run is found to stand still, if it is."""
        detector = StallDetector()
        for turn, percent in enumerate(percents):
            task = RunningTask(KEY, number, percent, 0)
            if detector.find_stalled([(task, estimate_ms)], turn * pause):
                return turn * pause
        return None

    def test_a_task_without_progress_is_found(self):
        self.assertEqual(STALL_SECONDS, self.look([30] * 20))

    def test_a_slow_task_is_not(self):
        """Ten times as slow as estimated: five percent between two looks."""
        self.assertIs(None, self.look(range(0, 100, 5)))

    def test_progress_counts_anew(self):
        self.assertEqual(1.5 + STALL_SECONDS, self.look([1, 2, 3] + [4] * 20))

    def test_a_pause_of_our_own_is_no_stall(self):
        self.assertIs(None, self.look([30, 30], pause=60.0))

    def test_a_long_task_has_more_time(self):
        self.assertEqual(5.0, self.look([30] * 40, estimate_ms=100_000))

    def test_one_that_has_done_its_work_is_left_to_end(self):
        self.assertIs(None, self.look([100] * 40))
