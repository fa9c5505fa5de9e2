"""Tests of the admission decision for teams, without a network."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from arbutuscleat.jobs import Capacity, RunOutcome, Team
from arbutuscleat.scheduling import (
    FleetCapacity,
    RejectionCause,
    TeamBacklog,
    Work,
    check_team_wait,
    check_wait,
)
from arbutuscleat.scheduling.team_backlog import wait_ms
from tests.fakes.jobs import QUEUE, JobTableHarness, job, run, step, worker

FLEET = FleetCapacity(64_000, 64_000, 131_072, 0)
TEAM = Team("a", frozenset(), weight=1.0)
SERVICE = QUEUE.service_name
SECOND = 64_000 * 1_000
"""Work that the fleet does in a second."""


def check(backlog, team=TEAM, over_rate=False, steps=None):
    return check_team_wait(steps or [step()], QUEUE, team, over_rate, backlog, FLEET)


def backlog_of(*items):
    """Return a backlog of (team, over rate, seconds of the whole fleet)."""
    backlog = TeamBacklog()
    for team, over_rate, seconds in items:
        backlog.add(SERVICE, team, over_rate, Work(int(seconds * SECOND), 0, 0))
    return backlog


class TeamWaitTest(TestCase):
    """A job of 1 s: its objective is 2.2 s, and it has a value for 6.6 s."""

    def test_a_job_within_its_rate_waits_for_no_excess_of_others(self):
        self.assertIsNone(check(backlog_of(("b", True, 100))))

    def test_a_job_within_its_rate_is_rejected_once_it_would_have_no_value(self):
        self.assertIsNone(check(backlog_of(("b", False, 5.5))))
        found = check(backlog_of(("b", False, 7.6)))
        self.assertIs(RejectionCause.WAIT, found.cause)
        self.assertAlmostEqual(2_000, found.excess_ms)

    def test_the_excess_of_its_own_team_counts(self):
        found = check(backlog_of(("a", True, 7)))
        self.assertIs(RejectionCause.WAIT, found.cause)

    def test_a_job_beyond_its_rate_is_accepted_while_it_meets_its_objective(self):
        self.assertIsNone(check(backlog_of(("b", True, 1.1)), over_rate=True))
        found = check(backlog_of(("b", False, 2.2)), over_rate=True)
        self.assertIs(RejectionCause.RATE, found.cause)
        self.assertAlmostEqual(1_000, found.excess_ms)

    def test_a_job_beyond_its_rate_waits_for_the_workers_of_its_service(self):
        backlog = backlog_of(("b", False, 1.0))
        backlog.pool_cpu[SERVICE] = 16_000
        found = check(backlog, over_rate=True)
        self.assertAlmostEqual(4_000 - 1_200, found.excess_ms)
        self.assertIsNone(check(backlog))

    def test_a_cap_bounds_the_wait_of_its_own_team_only(self):
        capped = Team("a", frozenset(), cap=Capacity(cpu=8_000))
        backlog = backlog_of(("a", False, 1))
        found = check(backlog, capped)
        self.assertIs(RejectionCause.CAP, found.cause)
        self.assertAlmostEqual(8_000 - 5_600, found.excess_ms)
        self.assertIsNone(check(backlog, Team("b", frozenset())))
        self.assertIsNone(check(backlog, None))

    def test_a_cap_on_memory_counts_too(self):
        capped = Team("a", frozenset(), cap=Capacity(mem_mb=100))
        backlog = TeamBacklog()
        backlog.add(SERVICE, "a", False, Work(0, 1_000_000, 0))
        self.assertIs(RejectionCause.CAP, check(backlog, capped).cause)

    def test_a_job_that_its_cap_makes_slow_is_given_more_time(self):
        """Four waves of 1 s: the objective is 7 s, and it has a value for 21 s."""
        capped = Team("a", frozenset(), cap=Capacity(cpu=2_000))
        steps = [step(8)]
        backlog = TeamBacklog()
        backlog.add(SERVICE, "a", False, Work(2_000 * 16_500, 0, 0))
        self.assertIsNone(check(backlog, capped, steps=steps))
        backlog.add(SERVICE, "a", False, Work(2_000 * 1_000, 0, 0))
        self.assertIs(RejectionCause.CAP, check(backlog, capped, steps=steps).cause)

    def test_long_running_tasks_are_not_rejected_for_their_wait(self):
        steps = [step(long_running=True)]
        backlog = backlog_of(("a", False, 100))
        self.assertIsNone(check(backlog, over_rate=True, steps=steps))

    @given(
        st.floats(0, 10),
        st.lists(st.tuples(st.sampled_from("bcd"), st.floats(0, 100)), max_size=5),
    )
    def test_the_excess_of_others_changes_nothing(self, within, excess):
        alone = check(backlog_of(("b", False, within)))
        items = [(team, True, seconds) for team, seconds in excess]
        self.assertEqual(alone, check(backlog_of(("b", False, within), *items)))

    def test_the_retry_time_of_the_excess_goes_by_what_the_arrivals_leave(self):
        backlog = backlog_of(("b", False, 2.2))
        backlog.pool_cpu[SERVICE] = 64_000
        for arriving, delay in ((0, 1_000), (48_000, 4_000), (90_000, 10_000)):
            found = check_team_wait(
                [step()], QUEUE, TEAM, True, backlog, FLEET, arriving
            )
            self.assertAlmostEqual(delay, found.excess_ms)

    @given(st.floats(0, 20), st.integers(1, 64))
    def test_within_the_rate_nobody_is_rejected_who_would_not_be_without_teams(
        self, seconds, count
    ):
        steps = [step(count), step(1, after=[0])]
        backlog = backlog_of(("b", False, seconds))
        total = backlog.total_wait_ms(SERVICE, 1)
        without_teams = check_wait(steps, QUEUE, total, FLEET, 0.0)
        found = check(backlog, steps=steps)
        self.assertEqual(without_teams is None, found is None)


class TeamBacklogTest(TestCase):
    def test_what_a_cap_holds_back_delays_no_other_team(self):
        work = {"a": 100, "b": 60}
        self.assertEqual(2.1, wait_ms(210, {}, {}, 100))
        self.assertEqual(1.1, wait_ms(210, work, {"a": 1, "b": 100}, 101))
        self.assertEqual(1.0, wait_ms(210, work, {"a": 10, "b": 40}, 100))
        self.assertEqual(0.0, wait_ms(0, {"a": 0}, {"a": 10}, 100))

    @given(
        st.dictionaries(
            st.sampled_from("abcde"),
            st.tuples(st.integers(0, 10**6), st.integers(1, 200)),
        ),
        st.integers(0, 10**6),
    )
    def test_the_wait_is_what_the_teams_can_use_until_then(self, teams, uncapped):
        work = {name: amount for name, (amount, _) in teams.items()}
        caps = {name: cap for name, (_, cap) in teams.items()}
        wait = wait_ms(uncapped + sum(work.values()), work, caps, 100)
        used = uncapped + sum(min(work[name], caps[name] * wait) for name in work)
        self.assertTrue(abs(used - 100 * wait) <= 1e-6 * (1 + used), (used, wait))

    def test_the_sums_of_a_table_go_by_service_team_and_mark(self):
        harness = JobTableHarness()
        harness.apply(worker=worker())
        harness.apply(worker=worker("w2", draining=True))
        harness.accept(job(steps=[step(3)], team="a"))
        harness.accept(job("b" * 16, steps=[step(2)], team="b", over_rate=True))
        harness.accept(job("c" * 16, steps=[step(9, long_running=True)], team="a"))
        harness.start(run())
        harness.end(run(), RunOutcome.DONE)
        backlog = TeamBacklog.of_table(harness.table)
        self.assertEqual(64_000, backlog.pool_cpu[SERVICE])
        self.assertEqual(2_000_000, backlog.ahead_wait_ms(SERVICE, "a", 1))
        self.assertEqual(4_000_000, backlog.ahead_wait_ms(SERVICE, "b", 1))
        self.assertEqual(4_000_000, backlog.total_wait_ms(SERVICE, 1))
        self.assertEqual(Work(2_000_000, 200_000, 0), backlog.of_team("a"))
        self.assertEqual(0, backlog.total_wait_ms("portal", 1))
