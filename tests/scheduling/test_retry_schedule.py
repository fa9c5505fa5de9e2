"""Tests of the times at which rejected callers return."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from arbutuscleat.scheduling import Opening, RetrySchedule
from arbutuscleat.scheduling.retry_schedule import (
    HOLD_SECONDS,
    HORIZON_SECONDS,
    MAX_PROMISES,
)


class RetryScheduleTest(TestCase):
    def setUp(self):
        super().setUp()
        self.schedule = RetrySchedule()

    def slot(self, job_id, now=10.0, at=12.0, interval=0.5, line="a"):
        return self.schedule.slot(job_id, [Opening(line, at, interval)], now)

    def test_callers_return_in_the_order_of_their_rejections(self):
        self.assertEqual([12.0, 12.5, 13.0], [self.slot(name) for name in "xyz"])
        self.assertEqual(12.0, self.slot("w", line="b"))

    def test_a_caller_that_comes_too_early_keeps_its_slot(self):
        self.slot("x")
        self.assertEqual([12.0, 12.0], [self.slot("x", now) for now in (10.5, 11.0)])
        self.assertEqual(12.5, self.slot("y"))

    def test_a_caller_that_is_rejected_again_gets_another_slot(self):
        self.slot("x")
        self.slot("y")
        self.assertEqual(13.0, self.slot("x", now=12.2))

    def test_the_earliest_opening_is_taken(self):
        openings = [Opening("a", 15.0, 1.0), Opening("b", 14.0, 2.0)]
        found = [self.schedule.slot(name, openings, 10.0) for name in "xyz"]
        self.assertEqual([14.0, 15.0, 16.0], found)

    def test_a_slot_is_held_for_its_caller_and_then_given_up(self):
        self.slot("x")
        count = self.schedule.due_count
        self.assertEqual(0, count("a", "new", 11.9))
        self.assertEqual(1, count("a", "new", 12.1))
        self.assertEqual(0, count("a", "x", 12.1))
        self.assertEqual(0, count("a", "new", 12.1 + HOLD_SECONDS))
        self.schedule.forget("x")
        self.assertEqual(0, count("a", "new", 12.1))

    def test_memory_is_bounded_and_given_back(self):
        for number in range(MAX_PROMISES + 5):
            self.slot(str(number), interval=0.001)
        self.assertEqual(MAX_PROMISES, len(self.schedule._line_of))
        self.slot("late", now=100.0, at=100.0, line="b")
        self.assertEqual(["late"], list(self.schedule._line_of))
        self.assertEqual(["b"], list(self.schedule._lines))

    @given(
        st.lists(
            st.tuples(st.floats(0, 2), st.floats(0, 200), st.floats(0, 50)),
            max_size=100,
        )
    )
    def test_slots_are_ordered_and_within_the_horizon(self, rejections):
        schedule, now, last = RetrySchedule(), 0.0, 0.0
        for number, (pause, wait, interval) in enumerate(rejections):
            now += pause
            openings = [Opening("a", now + wait, interval)]
            at = schedule.slot(str(number), openings, now)
            self.assertTrue(max(now, last) <= at <= now + HORIZON_SECONDS)
            last = at
