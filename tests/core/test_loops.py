import threading

from testtools import TestCase

from arbutuscleat.core import InvariantError, run_loop
from arbutuscleat.core.loops import FAILURE_PAUSE_SECONDS
from tests.fakes import ManualClock

INTERVAL = 0.5


class RunLoopTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.stopping = threading.Event()
        self.times = []

    def run_steps(self, errors):
        """Run one iteration for each error, which it raises unless it is None."""

        def step():
            self.times.append(self.clock.elapsed)
            error = errors.pop(0)
            if not errors:
                self.stopping.set()
            if error is not None:
                raise error

        run_loop(step, self.stopping, self.clock, INTERVAL)

    def test_a_failed_iteration_is_logged_and_does_not_end_the_loop(self):
        with self.assertLogs("absl", "ERROR") as logs:
            self.run_steps([KeyError("w1"), None])
        self.assertEqual(1, len(logs.output))
        pause = self.times[1] - self.times[0]
        self.assertAlmostEqual(INTERVAL + FAILURE_PAUSE_SECONDS, pause)

    def test_a_violated_invariant_ends_the_loop(self):
        """Guards against a process that goes on with a violated invariant."""
        self.assertRaises(InvariantError, self.run_steps, [InvariantError("x"), None])

    def test_a_loop_that_is_stopped_runs_no_iteration(self):
        self.stopping.set()
        self.run_steps([None])
        self.assertEqual([], self.times)
