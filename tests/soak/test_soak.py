"""A short seeded run of the soak for CI, and violations that the checks must find."""

import tempfile
from pathlib import Path
from types import SimpleNamespace

from testtools import TestCase

from arbutuscleat.execution import FinishedRun, StartOrder
from arbutuscleat.jobs import RunOutcome, TaskKey

from .checks.config import ConfigCheck
from .checks.jobs import JobCheck
from .checks.machines import MachineCheck
from .checks.runs import RunCheck
from .runner import Soak
from .world import Size, World

CI_SEED = 8
CI_SECONDS = 25.0
ROOM = (1_000, 1_000)


class SoakTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_short_run(self):
        report = Soak(CI_SEED, Size(4, 4, 4), self.folder).run(CI_SECONDS)
        self.assertEqual([], report.violations, (self.folder / "events").read_text())
        self.assertTrue(report.counts["starts"] > 0)

    def make_world(self):
        world = World(1, Size(1, 1, 1), self.folder)
        self.addCleanup(world.network.stop)
        job = world.workload.lasting_job(2)
        job.accepted_at = 1.0
        return world, RunCheck(world), job

    def worker(self, name, service="karachi"):
        return SimpleNamespace(
            worker_id=name,
            service=service,
            labels=["a"],
            draining=False,
            draining_since=None,
            model=SimpleNamespace(lapses=0, failing=False),
        )

    def start(self, runs, job, worker, number=1, task=0):
        key = TaskKey(job.job_id, 0, 0, task)
        runs.started(worker, StartOrder(key, number, job.spec, 9, 1), ROOM)
        return key

    def rules(self, world):
        return [text.split(" ")[0] for text in world.report.violations]

    def test_runs(self):
        world, runs, job = self.make_world()
        first, second = self.worker("i-1"), self.worker("i-2")
        key = self.start(runs, job, first)
        self.start(runs, job, second, 2)
        self.assertEqual(["TWICE"], self.rules(world))
        self.start(runs, job, second, 1, task=1)
        self.start(runs, job, self.worker("i-3", "qasim"), 2, task=1)
        self.assertEqual(["TWICE", "ROUTE", "TWICE"], self.rules(world))
        world.report.violations.clear()
        job.cancelled_at = 1.0
        runs.ended(first, FinishedRun(1, key, 1, RunOutcome.DONE, ""))
        job.statuses = [429]
        self.start(runs, job, self.worker("i-4"), 3)
        self.assertEqual({"REFUSED", "UNASKED"}, set(self.rules(world)))

    def test_an_order_that_ends_too_many_tasks(self):
        world, runs, job = self.make_world()
        found = self.worker("i-1")
        key = self.start(runs, job, found)
        runs.ended(found, FinishedRun(1, key, 1, RunOutcome.STOPPED, ""))
        self.assertEqual(["AVAIL"], self.rules(world))

    def test_states(self):
        world, runs, job = self.make_world()
        check = JobCheck(world, runs)
        for state in ("completed", "failed", "cancelled"):
            check.shown(job, state)
        check.unknown(job, "entry-1", 9.0)
        self.assertEqual(["MIXED", "LOST"], self.rules(world))

    def test_configurations(self):
        world, *_ = self.make_world()
        check = ConfigCheck(world)
        for version in (1, 2):
            content = {"version": version, "routes": []}
            check.sent(content)
            check.answered(version, 200)
        check.was_read(("control-0", 1), 1e12, {"version": 1, "routes": []})
        check.answered(2, 400)
        check.routed("entry-1", "/x/", 1e12, 200)
        self.assertEqual(["CONFIG"] * 3, self.rules(world))

    def test_machines(self):
        world, *_ = self.make_world()
        check = MachineCheck(world)
        check.ordered("m-1", "control-0", 2)
        check.ordered("m-1", "control-1", 1)
        check.wave_sent(1, ["m-1", "m-2", "m-3"], 1)
        check.upkeep_began("m-1", 1)
        check.upkeep_began("m-2", 1)
        check.shown_completed(1)
        self.assertEqual(["ONE", "LIMIT", "MIXED"], self.rules(world))
