"""Shares of teams: floods of one or two teams, wide jobs, teams without a weight."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from arbutuscleat.jobs import TaskKey, TaskStatus, Team
from arbutuscleat.scheduling import Planner
from arbutuscleat.scheduling.fair_order import STARVED_MS
from tests.fakes.jobs import step
from tests.fakes.team_fleet import Fleet, views_of

TICK_SECONDS = 0.1
RUN_MS = 800
RUN_SECONDS = RUN_MS / 1000


def team(name, weight=1.0):
    return Team(name, frozenset(), weight)


class SharedFleet(Fleet):
    """A fleet whose finite runs end after their estimated time."""

    def __init__(self, *teams, **fields):
        super().__init__(*teams, **fields)
        self.ends = []
        self.first_starts = {}

    def tick(self):
        """Plan until nothing more starts, after the runs that are due have ended."""
        self.now += TICK_SECONDS
        due = [run for at, run in self.ends if at <= self.now]
        self.ends = [(at, run) for at, run in self.ends if at > self.now]
        self.end(*due)
        while runs := self.start():
            for run in runs:
                self.first_starts.setdefault(run.job_id, self.now)
                length = self.table.jobs[run.job_id].steps[run.step].estimated_ms
                self.ends.append((self.now + length / 1000, run))


class FloodTest(TestCase):
    def test_a_flood_of_one_of_20_teams_leaves_the_others_their_shares(self):
        """Sizes are skewed; the flood is 20 times what the team usually sends."""
        rng = random.Random(3)
        teams = [team(f"t{n}", 8.0 if n < 3 else 1.0) for n in range(20)]
        fleet = SharedFleet(*teams, workers=10, cpu=8_000)
        sent = {}
        while fleet.now < 12.0:
            for item in teams:
                rate = item.weight * (20 if item.name == "t19" else 0.35)
                for _ in range(20):
                    if rng.random() < rate * TICK_SECONDS / 20:
                        tasks = min(8, int(rng.paretovariate(1.2)))
                        steps = [step(tasks, estimated_ms=RUN_MS, cpu=1_000)]
                        sent[fleet.submit(item.name, *steps)] = (item.name, fleet.now)
            fleet.tick()
        waits = [
            fleet.first_starts.get(job_id, fleet.now) - at
            for job_id, (name, at) in sent.items()
            if name != "t19" and at < 10.0
        ]
        self.assertGreater(len(waits), 60)
        self.assertLess(max(waits), RUN_SECONDS + 2 * TICK_SECONDS)
        self.assertGreater(fleet.used("t19"), 80_000 / 44)

    def test_two_floods_share_by_weight_and_the_rest_is_not_idle(self):
        fleet = SharedFleet(team("a", 3.0), team("b"), team("c", 4.0), workers=4)
        for number in range(120):
            fleet.submit(("a", "b")[number % 2], step(16, estimated_ms=RUN_MS))
        for _ in range(30):
            fleet.tick()
            self.assertEqual(256_000, fleet.used("a") + fleet.used("b"))
        self.assertAlmostEqual(192_000, fleet.used("a"), delta=16_000)

    def test_what_is_lent_is_given_back_as_tasks_end(self):
        fleet = SharedFleet(team("a"), team("b"), workers=1, cpu=16_000)
        fleet.submit("a", step(80, estimated_ms=RUN_MS))
        fleet.tick()
        self.assertEqual(16_000, fleet.used("a"))
        fleet.submit("b", step(80, estimated_ms=RUN_MS))
        for _ in range(10):
            fleet.tick()
        self.assertEqual((8_000, 8_000), (fleet.used("a"), fleet.used("b")))

    def test_the_scarcest_resource_counts(self):
        """As in the example of the paper: 9 cores, 18 GB; tasks of (1, 4), (3, 1)."""
        teams = (team("a"), team("b"))
        fleet = SharedFleet(*teams, workers=1, cpu=9_000, mem_mb=18_000)
        for _ in range(20):
            fleet.submit("a", step(1, mem_mb=4_000, estimated_ms=RUN_MS))
            fleet.submit("b", step(1, cpu=3_000, mem_mb=1_000, estimated_ms=RUN_MS))
        fleet.tick()
        self.assertEqual((3_000, 6_000), (fleet.used("a"), fleet.used("b")))

    def test_a_team_with_wide_tasks_starts_in_a_flood_of_small_ones(self):
        """Bound: its latest start, `STARVED_MS`, the longest run, a tick for each."""
        fleet = SharedFleet(team("wide"), team("small"), workers=2, cpu=8_000)
        rng = random.Random(5)
        wide = None
        while fleet.now < 14.0:
            for _ in range(4):
                length = rng.choice([300, RUN_MS])
                fleet.submit("small", step(1, estimated_ms=length), over_rate=False)
            if wide is None and fleet.now > 2.0:
                wide = fleet.submit("wide", step(2, cpu=7_000, estimated_ms=RUN_MS))
                latest = fleet.now + 0.6 * RUN_SECONDS + 0.6 + STARVED_MS / 1000
            fleet.tick()
        bound = latest + RUN_SECONDS + 3 * TICK_SECONDS
        self.assertLess(fleet.first_starts.get(wide, fleet.now), bound)

    def test_a_team_without_weight_gets_room_last_but_gets_it(self):
        fleet = SharedFleet(team("a"), team("none", 0.0), workers=1, cpu=8_000)
        late = fleet.submit("none", step(2, estimated_ms=RUN_MS))
        used = []
        for _ in range(110):
            fleet.submit("a", step(4, estimated_ms=RUN_MS))
            fleet.tick()
            used.append(fleet.used("none"))
        self.assertIn(late, fleet.first_starts)
        fleet = SharedFleet(team("a", 0.0), team("b", 0.0), workers=1, cpu=8_000)
        fleet.submit("a", step(8))
        fleet.submit("b", step(8))
        fleet.tick()
        self.assertEqual((4_000, 4_000), (fleet.used("a"), fleet.used("b")))

    def test_jobs_beyond_the_rate_come_after_those_within_it(self):
        fleet = SharedFleet(team("a"), team("b"), workers=1, cpu=8_000)
        over = fleet.submit("a", step(8, estimated_ms=RUN_MS), over_rate=True)
        owed = fleet.submit("b", step(8, estimated_ms=RUN_MS))
        fleet.submit("a", step(6, estimated_ms=RUN_MS))
        runs = fleet.start()
        self.assertNotIn(over, {run.job_id for run in runs[:8]})
        self.assertEqual(4_000, fleet.used("b"))
        self.assertIn(owed, {run.job_id for run in runs})


class FairOrderPropertiesTest(TestCase):
    JOBS = st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c", None]),
            st.integers(1, 9),
            st.sampled_from([500, 1_000, 3_000]),
            st.sampled_from([None, True]),
        ),
        max_size=25,
    )

    def waiting(self, fleet):
        for state in fleet.table.active.values():
            for task in state.tasks(0, 0):
                if task.status is TaskStatus.WAITING:
                    yield state, task

    @settings(max_examples=120, deadline=None)
    @given(JOBS)
    def test_nothing_waits_that_fits(self, jobs):
        fleet = SharedFleet(*map(team, "abc"), workers=2, cpu=9_000)
        planned = []
        for number, (name, tasks, cpu, over_rate) in enumerate(jobs):
            fleet.submit(name, step(tasks, cpu=cpu), over_rate=over_rate)
            while number % 5 == 0 and (runs := fleet.start()):
                planned += runs
        while runs := fleet.start():
            planned += runs
        self.assertEqual(len(planned), len({TaskKey.of(run) for run in planned}))
        views = views_of(fleet.table).values()
        for state, task in self.waiting(fleet):
            accepts = [view.accepts(state.steps[0], task.key[:3]) for view in views]
            self.assertFalse(any(accepts))

    @settings(max_examples=120, deadline=None)
    @given(JOBS, st.lists(st.sampled_from([0.0, 1.0, 2.5]), min_size=3, max_size=3))
    def test_weights_hold_within_one_step(self, jobs, weights):
        """While a team below its fair share waits, none is a step above its own."""
        teams = [team(*item) for item in zip("abc", weights, strict=True)]
        fleet = SharedFleet(*teams, workers=2, cpu=18_000)
        for name, tasks, _, _ in jobs:
            fleet.submit(name, step(tasks))
        fleet.tick()
        wanted = {name or "" for name, *_ in jobs}
        weight_of = {item.name: item.weight for item in teams} | {"": sum(weights) / 3}
        total = sum(weight_of[name] for name in wanted)
        fair = {
            n: 36_000 * (weight_of[n] / total if total else 1 / len(wanted))
            for n in wanted
        }
        kept_out = {state.record.team or "" for state, _ in self.waiting(fleet)}
        if any(fleet.used(name) < fair[name] for name in kept_out):
            for name in wanted:
                widest = max(
                    count for owner, count, *_ in jobs if (owner or "") == name
                )
                self.assertLess(fleet.used(name), fair[name] + 1_000 * widest)

    @settings(max_examples=6, deadline=None)
    @given(
        st.integers(1, 8),
        st.sampled_from([1_000, 4_000, 8_000]),
        st.booleans(),
        st.integers(2, 8),
        st.integers(0, 2**16),
    )
    def test_a_quiet_team_starts_within_the_bound(self, tasks, cpu, gang, floods, seed):
        """Bound: `STARVED_MS` after its latest start, a run for each other team."""
        rng = random.Random(seed)
        teams = [team(f"t{number}", rng.choice([1, 2])) for number in range(floods)]
        fleet = SharedFleet(team("quiet"), *teams, workers=4, cpu=8_000)
        sent = None
        while sent not in fleet.first_starts and fleet.now < 20.0:
            for item in teams:
                length = rng.choice([300, 500, RUN_MS])
                width = rng.choice([1, 1, 2, 8])
                one_step = step(width, cpu=rng.choice([1_000, 3_000]))
                one_step.estimated_ms = length
                fleet.submit(item.name, one_step, over_rate=rng.random() < 0.5)
            if sent is None and fleet.now > 1.5:
                count = min(tasks, 32_000 // cpu)
                wanted = step(count, cpu=cpu, gang=gang, estimated_ms=RUN_MS)
                sent = fleet.submit("quiet", wanted)
                latest = fleet.now + 0.6 * RUN_SECONDS + 0.6 + STARVED_MS / 1000
            fleet.tick()
        bound = latest + (1 + floods) * RUN_SECONDS + 3 * TICK_SECONDS
        self.assertLess(fleet.first_starts.get(sent, fleet.now), bound)

    @settings(max_examples=60, deadline=None)
    @given(JOBS, st.integers(0, 2**16))
    def test_a_single_team_has_the_plans_of_a_fleet_without_teams(self, jobs, seed):
        rng = random.Random(seed)
        fleets = (SharedFleet(), SharedFleet(team("a")))
        for _, tasks, cpu, _ in jobs:
            fields = {
                "cpu": cpu,
                "gang": rng.random() < 0.2,
                "long_running": rng.random() < 0.2,
            }
            for fleet in fleets:
                fleet.submit("a", step(tasks, **fields))
            plans = [fleet.start(0.2) for fleet in fleets]
            self.assertEqual(*plans)


class GrowingPoolTest(TestCase):
    """A pool that gets more machines: all teams send as usual, and some are larger."""

    def test_the_latest_start_decides_while_a_service_can_grow(self):
        for grows in (True, False):
            fleet = SharedFleet(team("large"), team("small"), workers=1, cpu=4_000)
            fleet.planner = Planner(lambda service, grows=grows: grows)
            fleet.submit("large", step(3, estimated_ms=RUN_MS))
            fleet.tick()
            urgent = fleet.submit("large", step(1, estimated_ms=RUN_MS // 2))
            other = fleet.submit("small", step(1, estimated_ms=RUN_MS))
            fleet.tick()
            first = urgent if grows else other
            self.assertIn(first, fleet.first_starts)
            self.assertEqual(1, len({urgent, other} & fleet.first_starts.keys()))
