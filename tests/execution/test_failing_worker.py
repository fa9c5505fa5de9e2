"""Tests of a worker that fails whatever it starts, beside sound workers."""

from testtools import TestCase

from arbutuscleat.emulator.worker_model import WorkerModel
from arbutuscleat.execution.worker_views import limit_new_runs
from arbutuscleat.jobs import JobPhase, RunOutcome
from arbutuscleat.scheduling import WorkerView
from tests.fakes import ManualClock
from tests.fakes.executor import make_executor, run_once
from tests.fakes.jobs import JOB, JobTableHarness, job, step, worker

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


class RecoveredWorkerTest(TestCase):
    """A long-running task whose only place is a worker that failed every run before."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.harness = JobTableHarness()
        self.models = {}
        self.is_failing = True
        self.executor = make_executor(self.harness, self.clock, self.make_client)
        for worker_id in ("w1", "w2", FAILING):
            self.harness.apply(worker=worker(worker_id, cpu=8_000))
        steps = [step(3, long_running=True, spread_limit=1)]
        self.harness.accept(job(JOB, steps=steps))

    def make_client(self, record):
        self.models[record.worker_id] = WorkerModel(
            self.clock, record.born_ms, lambda order: self.work(order, record.worker_id)
        )
        return self.models[record.worker_id]

    def work(self, order, worker_id):
        if worker_id == FAILING and self.is_failing:
            return STEP_SECONDS, RunOutcome.FAILED
        if order.key.job_id != JOB:
            return TASK_SECONDS, RunOutcome.DONE
        return None, RunOutcome.DONE

    def play(self, seconds):
        until = self.clock.monotonic() + seconds
        while self.clock.monotonic() < until:
            run_once(self.executor)
            self.clock.advance(STEP_SECONDS)

    def open_breaker(self):
        for number in range(40):
            self.harness.accept(job(f"{number:016x}", steps=[step(1)]))
        self.play(2.0)

    def seconds_until_running(self):
        self.is_failing = False
        since = self.clock.monotonic()
        while not self.models[FAILING].running():
            self.assertTrue(self.clock.monotonic() - since < 30.0)
            self.play(STEP_SECONDS)
        return self.clock.monotonic() - since

    def test_a_long_running_task_starts_soon_after_the_worker_has_recovered(self):
        """Guards against the wait of the circuit breaker, which grows to 8 s."""
        self.open_breaker()
        waits = []
        for seconds in (1.0, 2.0, 4.0, 8.0, 8.0):
            self.is_failing = True
            self.models[FAILING]._runs.clear()
            self.play(seconds)
            waits.append(round(self.seconds_until_running(), 1))
        self.assertTrue(max(waits) < 2.0, waits)

    def test_a_long_running_task_does_not_start_again_and_again(self):
        self.open_breaker()
        before = len(self.models[FAILING].started)
        self.play(10.0)
        self.assertTrue(len(self.models[FAILING].started) - before <= 10)


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
