"""Tests of the record that a long-running run did not crash its worker."""

from types import SimpleNamespace

from testtools import TestCase

from arbutuscleat.execution.run_settler import SETTLE_SECONDS, RunSettler
from arbutuscleat.jobs import TaskKey
from tests.fakes import ManualClock
from tests.fakes.jobs import JOB, OTHER_JOB, JobTableHarness, job, run, step, worker


class RunSettlerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = JobTableHarness()
        self.harness.apply(worker=worker())
        self.harness.accept(job(JOB, steps=[step(1, long_running=True)]))
        self.harness.accept(job(OTHER_JOB, steps=[step(1)]))
        self.harness.start(run(JOB), run(OTHER_JOB))
        self.seconds = SETTLE_SECONDS
        self.session = SimpleNamespace(
            incarnation=("w1", 5),
            running=[
                SimpleNamespace(key=TaskKey(name, 0, 0, 0), number=1)
                for name in (JOB, OTHER_JOB)
            ],
            is_responsive=lambda: True,
        )

    def settled(self):
        """Return the jobs of the runs that a check settles."""
        found = []
        planner = SimpleNamespace(seconds_running=lambda *args: self.seconds)
        settler = RunSettler(self.harness.table, planner, found.append, ManualClock())
        settler.settle_if_due([self.session])
        return [item.job_id for command in found for item in command.settle.runs]

    def test_a_long_running_run_that_has_lasted_is_settled(self):
        self.assertEqual([JOB], self.settled())

    def test_a_run_that_may_still_crash_its_worker_is_not_settled(self):
        self.seconds = SETTLE_SECONDS - 0.1
        self.assertEqual([], self.settled())

    def test_a_run_on_a_worker_that_does_not_respond_is_not_settled(self):
        self.session.is_responsive = lambda: False
        self.assertEqual([], self.settled())

    def test_another_run_of_the_task_is_not_settled(self):
        self.session.running[0].number = 2
        self.assertEqual([], self.settled())
