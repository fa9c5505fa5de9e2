"""Tests of admission while teams send more than the fleet can do.

Each play serves the accepted jobs at the rate of the fleet, those within the rates of
their teams first, and checks what the callers of each team get.
"""

import random
from collections import Counter

from testtools import TestCase

from arbutuscleat.access import AdmissionController
from arbutuscleat.jobs import Capacity, QueueConfig, Service, Team
from arbutuscleat.metrics import Metrics
from arbutuscleat.scheduling import FleetCapacity, RateLimit, RejectionCause
from tests.fakes import ManualClock
from tests.fakes.jobs import QUEUE, JobTableHarness, job, step, worker

CPU = 320_000
FLEET = FleetCapacity(CPU, 64_000, 131_072, 0)
STEPS = [step(8)]
"""Each job needs 8 cores for a second: the fleet does 40 jobs a second."""

VALUE_SECONDS = 3 * (QUEUE.stretch + QUEUE.target_latency_ms / 1000)
WEIGHTS = [8.0, 6.0, 4.0, 2.0] + [0.5] * 16
TICK = 0.05


def make_teams(weights, **fields):
    return [
        Team(f"t{number}", frozenset(), weight, **fields)
        for number, weight in enumerate(weights)
    ]


class Play:
    """A fleet that serves what the admission control accepts."""

    def __init__(self, teams):
        self.harness = JobTableHarness()
        self.table = self.harness.table
        for number in range(CPU // 64_000):
            self.harness.apply(worker=worker(f"w{number}"))
        services = [Service("karachi", True, False), Service("portal", True, True)]
        self.table.config = QueueConfig(2, [QUEUE], services, teams)
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.start_leader()
        self.accepted, self.refused, self.late = Counter(), Counter(), Counter()
        self.marked = Counter()
        self.retries = []
        self.work_left = {}
        self.done_work = 0.0
        self.number = 0
        self.rng = random.Random(5)

    def start_leader(self):
        self.admission = AdmissionController(
            self.table,
            self.clock,
            random.Random(1),
            lambda: FLEET,
            RateLimit(),
            self.metrics,
        )

    def submit(self, team, job_id=None, steps=None):
        """Submit a job; return its rejection."""
        self.number += 1
        job_id = job_id or f"{self.number:016x}"
        record = job(job_id, steps or STEPS, team=team)
        rejection = self.admission.check(record, job_id, QUEUE)
        if rejection is not None:
            self.refused[team] += 1
            self.retries.append((self.clock.elapsed, team, job_id, rejection))
            return rejection
        if job_id not in self.table.jobs:
            self.accepted[team] += 1
            self.marked[team] += bool(record.over_rate)
            self.work_left[job_id] = [8_000 * 1_000.0, self.clock.elapsed]
        with self.admission.submitting(job_id):
            self.harness.accept(record)
        return None

    def serve(self, seconds):
        room = CPU * 1_000 * seconds
        order = sorted(
            self.work_left, key=lambda key: bool(self.table.jobs[key].record.over_rate)
        )
        for job_id in order:
            left, since = self.work_left[job_id]
            done = min(left, room)
            room -= done
            self.done_work += done
            self.work_left[job_id][0] -= done
            if done < left:
                break
            del self.work_left[job_id]
            record = self.table.active.pop(job_id).record
            self.late[record.team] += self.clock.elapsed - since > VALUE_SECONDS

    def run(self, seconds, rates):
        """Let each team submit jobs at its rate, at random times."""
        for _ in range(int(seconds / TICK)):
            due = [
                team
                for team, rate in rates.items()
                for _ in range(int(rate * TICK + self.rng.random()))
            ]
            self.rng.shuffle(due)
            for team in due:
                self.submit(team)
            self.clock.advance(TICK)
            self.serve(TICK)


class FloodTest(TestCase):
    def setUp(self):
        super().setUp()
        self.usual = {f"t{n}": 0.8 * weight for n, weight in enumerate(WEIGHTS)}

    def flood(self, teams, *names):
        """Play a flood of some teams after five usual seconds."""
        play = Play(teams)
        play.run(5.0, self.usual)
        self.assertEqual(0, play.refused.total())
        play.run(8.0, {**self.usual, **{name: 7 * self.usual[name] for name in names}})
        return play

    def check_others(self, play, *names):
        for name in self.usual.keys() - set(names):
            self.assertEqual(0, play.refused[name] + play.marked[name], name)
        self.assertEqual(0, play.late.total(), play.late)

    def test_the_flood_of_one_team_of_twenty_is_refused_to_it_alone(self):
        play = self.flood(make_teams(WEIGHTS), "t0")
        self.check_others(play, "t0")
        self.assertTrue(play.refused["t0"] > 50, play.refused)
        self.assertTrue(play.accepted["t0"] >= 8.0 * 13, play.accepted)
        self.assertTrue(play.marked["t0"] > 0)

    def test_without_teams_the_same_flood_is_refused_to_all(self):
        """Shows that the load of these tests harms other teams."""
        play = Play([])
        play.run(5.0, self.usual)
        play.run(40.0, {**self.usual, "t0": 7 * self.usual["t0"]})
        self.assertTrue(sum(play.refused[f"t{n}"] > 0 for n in range(1, 20)) > 3)

    def test_two_floods_at_once_are_refused_to_these_two(self):
        play = self.flood(make_teams(WEIGHTS), "t0", "t2")
        self.check_others(play, "t0", "t2")
        for name, weight in (("t0", 8.0), ("t2", 4.0)):
            self.assertTrue(play.refused[name] > 20, play.refused)
            self.assertTrue(play.accepted[name] >= weight * 13, play.accepted)

    def test_no_room_is_left_unused_in_a_flood(self):
        play = self.flood(make_teams(WEIGHTS), "t0")
        play.done_work = 0.0
        play.run(5.0, {**self.usual, "t0": 45.0})
        self.assertTrue(play.done_work >= 0.99 * 5 * CPU * 1_000, play.done_work)

    def test_a_flood_that_there_is_room_for_is_accepted(self):
        play = Play(make_teams(WEIGHTS))
        play.run(8.0, {"t0": 30.0})
        self.assertEqual(0, play.refused.total())
        self.assertEqual(0, play.late.total())

    def test_a_burst_of_all_within_their_weights_is_served(self):
        """All send five times their usual for 2 s, as their weights allow."""
        play = Play(make_teams([8 * weight for weight in WEIGHTS]))
        play.run(2.0, {name: 5 * rate for name, rate in self.usual.items()})
        self.check_others(play)

    def test_a_capped_team_waits_for_its_cap_and_delays_nobody(self):
        teams = make_teams(WEIGHTS)
        teams[0] = Team("t0", frozenset(), 100.0, Capacity(cpu=16_000))
        play = Play(teams)
        for _ in range(60):
            play.submit("t0")
        causes = {rejection.cause for *_, rejection in play.retries}
        self.assertEqual({RejectionCause.CAP}, causes)
        play.run(1.0, {name: rate for name, rate in self.usual.items() if name != "t0"})
        self.check_others(play, "t0")

    def test_the_callers_of_a_flood_do_not_return_as_the_next_flood(self):
        """In each second fewer callers return than the fleet can serve."""
        play = self.flood(make_teams(WEIGHTS), "t0", "t2")
        returns = Counter()
        for since, _, _, rejection in play.retries:
            self.assertIs(RejectionCause.RATE, rejection.cause)
            self.assertTrue(rejection.retry_after_ms >= 1_000)
            returns[int(since + rejection.retry_after_ms / 1000)] += 1
        self.assertTrue(max(returns.values()) <= 40, returns)

    def test_callers_that_return_in_time_are_served_after_the_flood(self):
        play = self.flood(make_teams(WEIGHTS), "t0")
        now = play.clock.elapsed
        play.serve(10.0)
        for _, _, job_id, rejection in play.retries[-20:]:
            play.clock.elapsed = now + rejection.retry_after_ms / 1000
            self.assertIsNone(play.submit("t0", job_id))
            play.serve(1.0)


class LeaderTest(TestCase):
    def fill(self):
        """Let a team send more than its rate until a job is refused."""
        play = Play(make_teams([1.0]))
        while play.submit("t0") is None:
            pass
        return play

    def test_an_accepted_id_is_never_refused_nor_counted_again(self):
        play = self.fill()
        for job_id in list(play.table.jobs):
            self.assertIsNone(play.submit("t0", job_id))
        self.assertEqual(len(play.table.jobs), play.accepted["t0"])

    def test_a_job_submitted_twice_at_once_keeps_its_mark(self):
        play = Play(make_teams([1.0]))
        for _ in range(25):
            play.submit("t0")
        first, second = (job("f" * 16, STEPS, team="t0") for _ in range(2))
        play.admission.check(first, "f" * 16, QUEUE)
        with play.admission.submitting("f" * 16):
            play.admission.check(second, "f" * 16, QUEUE)
        self.assertEqual((True, True), (first.over_rate, second.over_rate))

    def test_retries_of_one_refused_id_keep_their_time(self):
        play = self.fill()
        first = play.submit("t0", "e" * 16).retry_after_ms
        for _ in range(50):
            again = play.submit("t0", "e" * 16).retry_after_ms
            self.assertTrue(abs(again - first) <= 1_000)

    def test_a_new_leader_keeps_the_marks_and_gives_one_more_allowance(self):
        play = self.fill()
        before = play.marked["t0"]
        play.start_leader()
        self.assertIsNone(play.submit("t0"))
        self.assertEqual(before, play.marked["t0"])
        marks = [item.record.over_rate for item in play.table.jobs.values()]
        self.assertEqual(before, sum(map(bool, marks)))

    def test_a_step_of_the_wall_clock_changes_nothing(self):
        play = self.fill()
        play.clock.now_ms = lambda: 10**15
        self.assertIsNotNone(play.submit("t0"))
        play.clock.now_ms = lambda: 0
        self.assertIsNotNone(play.submit("t0"))

    def test_a_job_without_team_or_with_lasting_tasks_has_no_rate(self):
        play = self.fill()
        lasting = [step(2, long_running=True)]
        self.assertIsNone(play.submit("t0", steps=lasting))
        self.assertIsNone(play.submit(None))
        self.assertEqual(0, play.marked[None])

    def test_refusals_and_marks_are_counted_by_team(self):
        play = self.fill()
        labels = {"cause": "rate", "team": "t0"}
        self.assertEqual(1, play.metrics.counter("jobs_refused", **labels))
        marked = play.metrics.counter("jobs_accepted_over_rate", team="t0")
        self.assertEqual(play.marked["t0"], marked)

    def test_the_metrics_name_a_bounded_number_of_teams(self):
        play = Play(make_teams([1.0]))
        huge = [step(cpu=65_000)]
        for number in range(300):
            play.submit(f"u{number}", steps=huge)
        lines = [
            line for line in play.metrics.render().split("\n") if "refused" in line
        ]
        self.assertEqual(101, len(lines))
