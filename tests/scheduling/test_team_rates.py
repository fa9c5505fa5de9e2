"""Tests of the rate of each team, under bursts and floods."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from arbutuscleat.jobs import Team
from arbutuscleat.scheduling import RateLimit, TeamRates

TEAM = Team("a", frozenset(), weight=2.0)
LIMIT = RateLimit(window=5.0, slack=3.0)


def send(rates, times, team=TEAM):
    """Return which jobs sent at some times are within the rate."""
    found = []
    for number, now in enumerate(times):
        found.append(not rates.is_over(team, str(number), 0, now))
        if found[-1]:
            rates.record(team, str(number), now)
    return found


class TeamRatesTest(TestCase):
    def test_a_burst_of_a_whole_window_is_within_the_rate(self):
        self.assertEqual([True] * 13 + [False] * 7, send(TeamRates(LIMIT), [1.0] * 20))

    def test_an_id_counts_once(self):
        rates = TeamRates(LIMIT)
        for _ in range(50):
            self.assertFalse(rates.is_over(TEAM, "same", 0, 1.0))
            rates.record(TEAM, "same", 1.0)
        self.assertEqual([True] * 12, send(rates, [1.0] * 12))

    def test_rejected_jobs_come_before_new_ones(self):
        rates = TeamRates(LIMIT)
        send(rates, [1.0] * 12)
        self.assertTrue(rates.is_over(TEAM, "new", 1, 1.0))
        self.assertFalse(rates.is_over(TEAM, "returns", 0, 1.0))

    def test_the_next_free_time_is_a_window_after_the_oldest_job(self):
        rates = TeamRates(LIMIT)
        self.assertEqual(1.0, rates.free_at(TEAM, 1.0))
        send(rates, [1.0 + 0.1 * number for number in range(13)])
        self.assertAlmostEqual(6.0, rates.free_at(TEAM, 2.5))
        self.assertFalse(rates.is_over(TEAM, "next", 0, 6.0))
        smaller = Team("a", frozenset(), weight=1.0)
        self.assertAlmostEqual(6.5, rates.free_at(smaller, 2.5))

    def test_a_team_that_is_removed_starts_afresh(self):
        rates = TeamRates(LIMIT)
        send(rates, [1.0] * 13)
        rates.keep_only({})
        self.assertEqual([True] * 13, send(rates, [1.0] * 13))

    @given(st.lists(st.floats(0.0, 20.0), max_size=200))
    def test_no_window_holds_more_than_the_allowance(self, times):
        times = sorted(times)
        within = send(TeamRates(LIMIT), times)
        taken = [now for now, found in zip(times, within) if found]
        for start in taken:
            count = sum(start <= now < start + LIMIT.window for now in taken)
            self.assertTrue(count <= LIMIT.allowance(TEAM))

    @given(st.lists(st.floats(0.0, 20.0), max_size=200))
    def test_a_team_that_never_sends_more_is_never_over_its_rate(self, times):
        kept = []
        for now in sorted(times):
            recent = sum(now - other < LIMIT.window for other in kept)
            if recent + 1 <= LIMIT.allowance(TEAM):
                kept.append(now)
        self.assertTrue(all(send(TeamRates(LIMIT), kept)))
