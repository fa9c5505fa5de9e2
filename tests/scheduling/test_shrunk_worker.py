"""Workers whose capacity shrinks while they run tasks, and grows again."""

import random

from testtools import TestCase

from arbutuscleat.jobs import RunOutcome
from arbutuscleat.scheduling import Planner, WorkerView
from arbutuscleat.wire.gen_jobs.ttypes import RunStarts
from tests.fakes.jobs import JOB, OTHER_JOB, JobTableHarness, job, run, step, worker

KINDS = (
    {},
    {"long_running": True},
    {"gang": True},
    {"spread_limit": 1},
    {"gpu": 1},
    {"mem_mb": 3_000, "estimated_ms": 100},
)


class ShrunkWorkerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.sequence = 0
        self.begin()

    def begin(self):
        self.harness = JobTableHarness()
        self.table = self.harness.table
        self.planner = Planner()

    def announce(self, name="w1", **capacity):
        self.sequence += 1
        record = worker(name, sequence=self.sequence, **capacity)
        self.harness.apply(worker=record)

    def views(self):
        views = {
            name: WorkerView(record, True, 0)
            for name, record in self.table.workers.items()
        }
        for view in views.values():
            for key in self.table.runs.get(view.incarnation, ()):
                view.reserve(self.table.jobs[key.job_id].steps[key.step], key[:3])
        return views

    def plan(self):
        plan = self.planner.plan(self.table, self.views(), 1_000, self.now)
        self.harness.apply(starts=RunStarts(runs=plan.runs))
        return plan.runs

    def test_nothing_starts_on_a_worker_that_runs_more_than_it_has_room_for(self):
        """Guards against LIMIT after the capacity of a worker has shrunk."""
        for fields in KINDS:
            self.begin()
            self.announce(cpu=4_000, mem_mb=8_000, gpu=2)
            self.harness.accept(job(JOB, steps=[step(2, cpu=2_000, mem_mb=4_000)]))
            self.assertEqual(2, len(self.plan()))
            self.announce(cpu=1_000, mem_mb=1_000, gpu=0)
            self.harness.accept(job(OTHER_JOB, steps=[step(1, **fields)]))
            self.assertEqual([], self.plan(), fields)
            self.harness.end(run(JOB), RunOutcome.DONE)
            self.assertEqual([], self.plan(), fields)
            self.announce(cpu=4_000, mem_mb=8_000, gpu=2)
            self.assertEqual(1, len(self.plan()), fields)

    def test_no_start_exceeds_the_capacity_that_a_worker_has_announced(self):
        """Guards against starts of any kind above a capacity that changes."""
        for seed in range(30):
            self.begin()
            rng = random.Random(seed)
            for name in ("w1", "w2", "w3"):
                self.announce(name, cpu=8_000, mem_mb=8_000, gpu=2)
            for number in range(60):
                self.now += 0.3
                self.play(rng, number)
                used_before = self.used()
                for record in self.plan():
                    name = record.worker_id
                    used, room = self.used()[name], self.room(name)
                    for before, after, limit in zip(
                        used_before[name], used, room, strict=True
                    ):
                        self.assertTrue(after <= max(before, limit), (seed, number))

    def play(self, rng, number):
        name = rng.choice(["w1", "w2", "w3"])
        if rng.random() < 0.3:
            cpu, mem_mb = rng.randint(0, 8_000), rng.randint(0, 8_000)
            self.announce(name, cpu=cpu, mem_mb=mem_mb, gpu=rng.randint(0, 2))
        if rng.random() < 0.5:
            fields = {"cpu": rng.randint(100, 4_000), **rng.choice(KINDS)}
            steps = [step(rng.randint(1, 4), **fields)]
            self.harness.accept(job(f"{number:016x}", steps=steps))
        for runs in list(self.table.runs.values()):
            for key, task in list(runs.items()):
                if rng.random() < 0.2:
                    ended = key.run_record(task.number, task.incarnation)
                    self.harness.end(ended, RunOutcome.STOPPED)

    def used(self):
        """Return the CPU, memory and accelerators in use, by worker id."""
        used = {name: (0, 0, 0) for name in self.table.workers}
        for (name, _), runs in self.table.runs.items():
            for key in runs:
                asked = self.table.jobs[key.job_id].steps[key.step]
                taken = (asked.cpu, asked.mem_mb, asked.gpu)
                used[name] = tuple(map(sum, zip(used[name], taken, strict=True)))
        return used

    def room(self, name):
        record = self.table.workers[name]
        return record.cpu, record.mem_mb, record.gpu
