from testtools import TestCase

from arbutuscleat.execution.failure_breaker import (
    MAX_FAILED_JOBS,
    MAX_OPEN_SECONDS,
    OPEN_SECONDS,
    STREAK_SECONDS,
    FailureBreaker,
)
from tests.fakes import ManualClock


class FailureBreakerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.breaker = FailureBreaker(self.clock)

    def fail(self, count=MAX_FAILED_JOBS, pause=0.0):
        for number in range(count):
            self.breaker.record_failure(f"job-{number}")
            self.clock.advance(pause)

    def test_it_opens_after_several_jobs_have_failed_in_a_row(self):
        self.fail(MAX_FAILED_JOBS - 1)
        self.assertIs(None, self.breaker.max_new_runs(0))
        self.assertTrue(self.breaker.record_failure("another"))
        self.assertEqual(0, self.breaker.max_new_runs(0))

    def test_a_success_begins_a_new_row(self):
        self.fail(MAX_FAILED_JOBS - 1)
        self.breaker.record_success()
        self.fail(MAX_FAILED_JOBS - 1)
        self.assertIs(None, self.breaker.max_new_runs(0))

    def test_many_failed_tasks_of_one_job_do_not_open_it(self):
        for _ in range(10 * MAX_FAILED_JOBS):
            self.breaker.record_failure("hopeless")
        self.assertIs(None, self.breaker.max_new_runs(0))

    def test_failures_far_apart_do_not_open_it(self):
        self.fail(10, pause=STREAK_SECONDS + 0.1)
        self.assertIs(None, self.breaker.max_new_runs(0))

    def test_after_a_while_one_run_at_a_time_is_allowed(self):
        self.fail()
        self.clock.advance(OPEN_SECONDS)
        self.assertEqual(1, self.breaker.max_new_runs(0))
        self.assertEqual(0, self.breaker.max_new_runs(1))

    def test_a_successful_trial_run_closes_it(self):
        self.fail()
        self.clock.advance(OPEN_SECONDS)
        self.breaker.record_success()
        self.assertIs(None, self.breaker.max_new_runs(5))

    def test_each_failed_trial_run_doubles_the_wait_up_to_a_limit(self):
        self.fail()
        waits = [OPEN_SECONDS]
        while waits[-1] < MAX_OPEN_SECONDS or len(waits) < 6:
            self.clock.advance(waits[-1])
            self.assertTrue(self.breaker.record_failure("trial"))
            waits.append(min(2 * waits[-1], MAX_OPEN_SECONDS))
            self.clock.advance(waits[-1] - 0.1)
            self.assertEqual(0, self.breaker.max_new_runs(0))
            self.clock.advance(0.1)
            self.assertEqual(1, self.breaker.max_new_runs(0))
            self.clock.advance(-waits[-1])
        self.assertEqual(MAX_OPEN_SECONDS, waits[-1])

    def test_runs_that_started_before_it_opened_do_not_prolong_it(self):
        self.fail()
        self.assertFalse(self.breaker.record_failure("started before"))
        self.clock.advance(OPEN_SECONDS)
        self.assertEqual(1, self.breaker.max_new_runs(0))

    def test_long_running_tasks_wait_for_a_fixed_time_after_each_failure(self):
        self.assertTrue(self.breaker.accepts_long_running())
        self.fail()
        for _ in range(6):
            self.assertFalse(self.breaker.accepts_long_running())
            self.clock.advance(OPEN_SECONDS)
            self.assertTrue(self.breaker.accepts_long_running())
            self.breaker.record_failure("long-running")

    def test_a_failure_long_after_the_wait_does_not_double_it_again(self):
        """Guards against a long wait if no run that could succeed has been tried."""
        self.fail()
        for _ in range(6):
            self.clock.advance(MAX_OPEN_SECONDS + STREAK_SECONDS + 0.1)
            self.assertTrue(self.breaker.record_failure("long-running"))
            self.clock.advance(2 * OPEN_SECONDS)
            self.assertEqual(1, self.breaker.max_new_runs(0))
