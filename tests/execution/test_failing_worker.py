"""Tests of a worker that fails whatever it starts, beside sound workers."""

from testtools import TestCase

from arbutuscleat.emulator.worker_model import WorkerModel
from arbutuscleat.execution.executor import limit_new_runs
from arbutuscleat.jobs import JobPhase, RunOutcome
from arbutuscleat.scheduling import WorkerView
from tests.fakes import ManualClock
from tests.fakes.executor import make_executor, run_once
from tests.fakes.jobs import JobTableHarness, job, step, worker

SECONDS = 20.0
STEP_SECONDS = 0.1
JOBS_PER_STEP = 3
TASK_SECONDS = 1.0
SOUND = ["w1", "w2", "w3"]
FAILING = "w4"


class FailingWorkerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.harness = JobTableHarness()
        self.models = {}
        for worker_id in [*SOUND, FAILING]:
            self.harness.apply(worker=worker(worker_id, cpu=8_000))
        self.executor = make_executor(self.harness, self.clock, self.make_client)

    def make_client(self, record):
        self.models[record.worker_id] = WorkerModel(
            self.clock, record.born_ms, lambda order: self.work(record.worker_id)
        )
        return self.models[record.worker_id]

    def work(self, worker_id):
        if worker_id == FAILING:
            return STEP_SECONDS, RunOutcome.FAILED
        return TASK_SECONDS, RunOutcome.DONE

    def play(self):
        """Offer a quarter more work than the sound workers can do, as in a peak."""
        for number in range(int(SECONDS / STEP_SECONDS)):
            for extra in range(JOBS_PER_STEP):
                job_id = f"{number * JOBS_PER_STEP + extra:016x}"
                self.harness.accept(job(job_id, steps=[step(1)]))
            run_once(self.executor)
            self.clock.advance(STEP_SECONDS)

    def test_no_job_fails_because_one_worker_fails_every_run(self):
        self.play()
        phases = [item.phase() for item in self.harness.table.jobs.values()]
        self.assertEqual(0, phases.count(JobPhase.FAILED))

    def test_a_worker_that_fails_every_run_gets_few_of_them(self):
        self.play()
        share = len(self.models[FAILING].started) / len(self.harness.table.jobs)
        self.assertTrue(share < 0.05, share)


class LimitedWorkersTest(TestCase):
    def limits(self, failing, count):
        names = [f"w{number}" for number in range(count)]
        views = {name: WorkerView(worker(name), True, 0) for name in names}
        limit_new_runs(views, {"karachi": {name: 0 for name in names[:failing]}})
        return [views[name].max_new_runs for name in names]

    def test_a_third_of_a_service_may_be_limited(self):
        self.assertEqual([0, None, None], self.limits(1, 3))

    def test_more_failing_workers_are_not_limited_at_all(self):
        self.assertEqual([None, None, None], self.limits(2, 3))
        self.assertEqual([None], self.limits(1, 1))
