"""Caps of teams in plans: loads of one team, and what bounds them."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from arbutuscleat.jobs import (
    Capacity,
    RunOutcome,
    TaskKey,
    TaskStatus,
    Team,
)
from arbutuscleat.scheduling import Planner, StepWaits, WaitReason, service_demands
from arbutuscleat.scheduling.held_steps import PASS_SECONDS
from arbutuscleat.scheduling.team_caps import UNCONFIRMED_SECONDS
from arbutuscleat.scheduling.team_usage import TeamUsage, Usage
from tests.fakes.jobs import step, worker
from tests.fakes.team_fleet import Fleet, views_of

NOW_MS = 1_000


def capped(cpu=0, mem_mb=0, gpu=0, name="north"):
    return Team(name, frozenset(), cap=Capacity(cpu, mem_mb, gpu))


class TeamCapsTest(TestCase):
    def test_a_flood_of_a_team_stays_within_its_cap(self):
        for cap in (capped(cpu=5_500), capped(mem_mb=560), capped(gpu=5)):
            fleet = Fleet(cap, gpu=64)
            for _ in range(3):
                fleet.submit("north", step(8, gpu=1))
            self.assertEqual(5, len(fleet.start()))
            self.assertEqual([], fleet.start())

    def test_other_teams_and_public_jobs_are_not_held(self):
        fleet = Fleet(capped(cpu=2_000), capped(name="south"))
        for team in ("north", "south", None, "removed"):
            fleet.submit(team, step(8))
        self.assertEqual(2 + 3 * 8, len(fleet.start()))

    def test_runs_count_until_their_end_is_applied(self):
        fleet = Fleet(capped(cpu=4_000))
        cancelled = fleet.submit("north", step(4, long_running=True))
        runs = fleet.start()
        fleet.harness.cancel(cancelled)
        fleet.submit("north", step(4))
        self.assertEqual([], fleet.start())
        fleet.harness.end(runs[0], RunOutcome.LOST)
        self.assertEqual(1, len(fleet.start()))

    def test_inherited_runs_count(self):
        fleet = Fleet(capped(cpu=4_000), workers=1)
        fleet.submit("north", step(4))
        fleet.start()
        successor = worker("w0", born_ms=6)
        fleet.harness.apply(worker=successor, at_ms=2_000, keeps_runs=True)
        fleet.submit("north", step(4))
        self.assertEqual([], fleet.start())

    def test_starts_count_that_may_still_be_committed(self):
        """Guards against two plans that both use the cap, one of them unconfirmed."""
        fleet = Fleet(capped(cpu=4_000))
        fleet.submit("north", step(4))
        fleet.plan()
        fleet.submit("north", step(4, cpu=900))
        self.assertEqual([], fleet.plan(1.0))
        self.assertEqual(4, len(fleet.plan(UNCONFIRMED_SECONDS)))

    def test_a_new_leader_counts_what_the_former_one_started(self):
        fleet = Fleet(capped(cpu=4_000))
        fleet.submit("north", step(4))
        fleet.start()
        fleet.submit("north", step(4))
        fleet.planner = Planner()
        self.assertEqual([], fleet.start())

    def test_a_changed_cap_applies_to_the_next_starts(self):
        fleet = Fleet(capped(cpu=4_000))
        fleet.submit("north", step(20))
        self.assertEqual(4, len(fleet.start()))
        fleet.configure(capped(cpu=7_000))
        runs = fleet.start()
        self.assertEqual(3, len(runs))
        fleet.configure(capped(cpu=6_000))
        fleet.end(runs[0])
        self.assertEqual([], fleet.start())

    def test_a_task_above_the_cap_runs_alone(self):
        fleet = Fleet(capped(cpu=2_000))
        fleet.submit("north", step(3, cpu=5_000))
        runs = fleet.start()
        self.assertEqual(1, len(runs))
        fleet.end(*runs)
        self.assertEqual(1, len(fleet.start()))

    def test_a_lasting_task_runs_while_half_of_the_cap_is_free(self):
        fleet = Fleet(capped(cpu=10_000))
        fleet.submit("north", step(5))
        fleet.start()
        fleet.submit("north", step(1, cpu=6_000, long_running=True))
        self.assertEqual(1, len(fleet.start()))

    def test_a_gang_that_exceeds_the_cap_waits_and_holds_nothing(self):
        fleet = Fleet(capped(cpu=4_000), capped(name="south"), workers=1, cpu=8_000)
        fleet.submit("north", step(6, gang=True))
        fleet.submit("south", step(8))
        self.assertEqual(8, len(fleet.start()))

    def test_a_gang_starts_completely_within_the_cap(self):
        fleet = Fleet(capped(cpu=4_000))
        fleet.submit("north", step(2))
        runs = fleet.start()
        gang = fleet.submit("north", step(3, gang=True))
        self.assertEqual([], fleet.start())
        fleet.end(runs[0])
        self.assertEqual({gang}, {run.job_id for run in fleet.start()})

    def test_a_gang_that_never_fits_beside_lasting_tasks_uses_one_task_more(self):
        for gang_size, started in ((6, 6), (7, 0)):
            fleet = Fleet(capped(cpu=8_000))
            fleet.submit("north", step(3, long_running=True))
            fleet.start()
            fleet.submit("north", step(gang_size, gang=True))
            self.assertEqual(started, len(fleet.start()), gang_size)

    def test_small_tasks_do_not_pass_a_wide_one_for_ever(self):
        """A team with a flood of small tasks and a gang of nearly its cap."""
        fleet = Fleet(capped(cpu=8_000))
        running = []
        for _ in range(8):
            fleet.submit("north", step(1))
        running = list(fleet.start())
        gang = fleet.submit("north", step(7, gang=True))
        waited = 0
        while True:
            fleet.submit("north", step(1), start_at_ms=1)
            started = fleet.start(0.25)
            waited += 1
            if any(run.job_id == gang for run in started):
                break
            self.assertLess(waited * 0.25, PASS_SECONDS + 8 * 0.25 + 0.5)
            running += started
            fleet.end(running.pop(0))

    def test_jobs_of_one_size_keep_their_order_at_the_cap(self):
        """Guards against late jobs that come before fresh ones, as held for longer."""
        fleet = Fleet(capped(cpu=4_000))
        fleet.submit("north", step(4))
        running = fleet.start()
        late = fleet.submit("north", step(4))
        fleet.start(0.1)
        fleet.start(PASS_SECONDS + 2.0)
        fresh = fleet.submit("north", step(2))
        fleet.end(*running[:3])
        started = [run.job_id for run in fleet.start(0.1)]
        self.assertEqual([fresh, fresh, late], started)

    def test_a_team_full_of_lasting_tasks_lets_finite_ones_pass(self):
        fleet = Fleet(capped(cpu=8_000))
        fleet.submit("north", step(5, long_running=True))
        fleet.start()
        fleet.submit("north", step(6, gang=True))
        fleet.start(PASS_SECONDS + 1.0)
        fleet.start(PASS_SECONDS + 1.0)
        fleet.submit("north", step(3))
        self.assertEqual(3, len(fleet.start()))

    def test_the_wait_is_logged_with_the_team(self):
        fleet = Fleet(capped(cpu=2_000))
        fleet.submit("north", step(4))
        fleet.start()
        waits = StepWaits()
        with self.assertLogs(level="INFO") as logs:
            for _ in range(4):
                fleet.start(1.0)
                held = fleet.planner.team_caps.held()
                views = views_of(fleet.table)
                waits.check(fleet.table, views, [], fleet.now, NOW_MS, held)
        self.assertIs(WaitReason.TEAM_CAP, waits.waits()[0].reason)
        text = "\n".join(logs.output)
        self.assertIn("2 (held by the cap of team north)", text)
        line = "team north: its cap holds back 2 tasks of 1 steps, for 2.0 s: 2000 of"
        self.assertEqual(1, text.count(line))

    def test_no_machines_are_wanted_for_tasks_that_a_cap_holds_back(self):
        fleet = Fleet(capped(cpu=6_000), capped(name="south"))
        fleet.submit("north", step(4, gang=True))
        fleet.start()
        fleet.submit("north", step(9))
        fleet.submit("north", step(1, cpu=1_500, long_running=True))
        fleet.submit("south", step(9))
        demand = service_demands(fleet.table, ["karachi"], NOW_MS)["karachi"]
        self.assertEqual((4_000, 10_500), (demand.running_cpu, demand.waiting_cpu))


STEPS = st.builds(
    step,
    st.integers(1, 6),
    cpu=st.sampled_from([300, 1_000, 2_500, 7_000]),
    mem_mb=st.sampled_from([50, 400]),
    gang=st.booleans(),
    long_running=st.sampled_from([False, False, False, True]),
    fills=st.sampled_from([False, False, True]),
)


class TeamCapPropertiesTest(TestCase):
    @settings(max_examples=150, deadline=None)
    @given(
        st.lists(st.tuples(STEPS, st.sampled_from(["north", "south"])), max_size=12),
        st.sampled_from([1_000, 4_000, 9_000]),
        st.sampled_from([0, 500]),
        st.randoms(use_true_random=False),
    )
    def test_caps_hold_and_no_room_is_left_unused(self, submitted, cpu, mem_mb, rng):
        """Never above the cap and one task; what is left waiting does not fit."""
        fleet = Fleet(capped(cpu, mem_mb), capped(cpu, name="south"), workers=4)
        running = []
        for number, (one_step, team) in enumerate(submitted):
            fleet.submit(team, one_step)
            if number % 3 == 0:
                running += fleet.start(0.1)
            if running and rng.random() < 0.5:
                fleet.end(running.pop(rng.randrange(len(running))))
            steps = [item for item, owner in submitted if owner == "north"]
            largest = max([item.cpu for item in steps], default=0)
            self.assertLessEqual(fleet.used("north"), cpu + largest)
            if largest <= cpu // 2 and not any(item.gang for item in steps):
                self.assertLessEqual(fleet.used("north"), cpu)
        fleet.start(0.1)
        accounts = fleet.planner.team_caps.accounts
        for record in fleet.table.active.values():
            tasks = record.tasks(0, 0)
            waiting = [t for t in tasks if t.status is TaskStatus.WAITING]
            one_step = record.steps[0]
            if waiting and (not one_step.gang or len(waiting) == len(tasks)):
                account = accounts[record.record.team]
                count = len(tasks) if one_step.gang else 1
                self.assertFalse(account.admits(one_step, count, waiting[0].key[:3]))

    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.integers(0, 5), max_size=60), st.randoms(use_true_random=False))
    def test_kept_sums_are_those_of_the_runs(self, actions, rng):
        fleet = Fleet(capped(), workers=3)
        usage = TeamUsage()
        running = []
        for action in actions:
            if action < 3:
                long_running = rng.random() < 0.3
                team = rng.choice(["north", "south", None])
                fleet.submit(team, step(2, long_running=long_running))
                running += fleet.start()
            elif action == 3 and running:
                fleet.end(running.pop(rng.randrange(len(running))))
            elif action == 4:
                config = fleet.table.config
                fleet.table.config_content = b""
                fleet.table.restore(fleet.table.image())
                fleet.table.config = config
            usage.observe(fleet.table)
            for team in ("north", "south", ""):
                expected = Usage()
                for runs in fleet.table.runs.values():
                    for key in runs:
                        found = fleet.table.jobs[TaskKey(*key).job_id]
                        if (found.record.team or "") == team:
                            expected.add(found.steps[key.step], 1)
                total = usage.of_team(team)
                self.assertEqual(expected.used, total.used)
                self.assertEqual(expected.long_running, total.long_running)
