"""Plans that compare fewer tasks with fewer workers are the same plans."""

import random

from testtools import TestCase

from arbutuscleat.jobs import RunOutcome
from arbutuscleat.scheduling import Planner, UsageCache, WorkerView
from tests.fakes.jobs import JobTableHarness, job, step, worker

SEEDS = range(12)
PLANS = 40


class ScanningPlanner(Planner):
    """A planner that compares each task with all workers."""

    def _worker_for(self, step, task, workers, max_attempts, last, now):
        self._full_services._refused = {}
        return super()._worker_for(step, task, workers, max_attempts, None, now)


class PlannerScansTest(TestCase):
    def make_views(self, table, rng):
        views = {}
        for worker_id, record in table.workers.items():
            views[worker_id] = view = WorkerView(record, rng.random() < 0.9, 0)
            view.grade = rng.choice([0, 0, 0, 1])
            view.max_new_runs = rng.choice([None, None, None, 0, 1])
            UsageCache().usage(table, view.incarnation).take_from(view)
        return views

    def random_step(self, rng):
        return step(
            rng.randint(1, 9),
            cpu=rng.choice([500, 1_000, 2_000, 4_000]),
            mem_mb=rng.choice([100, 1_000, 4_000]),
            spread_limit=rng.choice([0, 0, 0, 1, 2]),
            required_label=rng.choice(["", "", "a", "b"]),
            data_rack=rng.choice(["", "r1", "r2"]),
            long_running=rng.random() < 0.1,
            gang=rng.random() < 0.1,
            fills=rng.random() < 0.1,
            may_miss=1,
        )

    def test_plans_are_those_of_a_planner_that_compares_all(self):
        """Guards against tasks that wait, or use a worse worker, to save time."""
        started = 0
        for seed in SEEDS:
            rng = random.Random(seed)
            harness = JobTableHarness()
            table = harness.table
            for number in range(8):
                labels = ["ab"[number % 2], f"r{number % 3}"]
                record = worker(f"w{number}", cpu=8_000, mem_mb=16_000, labels=labels)
                harness.apply(worker=record)
            planners = (Planner(), ScanningPlanner())
            active = []
            for count in range(PLANS):
                for _ in range(rng.randint(0, 3)):
                    steps = [self.random_step(rng) for _ in range(rng.randint(1, 2))]
                    harness.accept(job(f"{rng.getrandbits(64):016x}", steps=steps))
                view_seed = rng.random()
                found = [
                    planner.plan(
                        table,
                        self.make_views(table, random.Random(view_seed)),
                        2_000 + 100 * count,
                        0.1 * count,
                    ).runs
                    for planner in planners
                ]
                self.assertEqual(found[1], found[0])
                started += len(found[0])
                if found[0]:
                    harness.start(*found[0])
                    active += found[0]
                rng.shuffle(active)
                for record in [active.pop() for _ in range(len(active) // 4)]:
                    outcomes = [RunOutcome.DONE, RunOutcome.DONE, RunOutcome.FAILED]
                    harness.end(record, rng.choice(outcomes))
        self.assertTrue(started > 1_000, started)
