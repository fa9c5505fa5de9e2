"""Jobs count as begun once a worker has accepted a run, not when it is ordered."""

from testtools import TestCase

from arbutuscleat.emulator.worker_model import WorkerModel
from arbutuscleat.execution import OrderAnswer, OrderOutcome, StartOrder
from arbutuscleat.execution.begin_recorder import RECORD_SECONDS
from arbutuscleat.jobs import JobPhase, RunOutcome, TaskKey
from tests.fakes import ManualClock
from tests.fakes.executor import make_executor
from tests.fakes.jobs import (
    JOB,
    OTHER_JOB,
    QUEUE,
    JobTableHarness,
    job,
    run,
    worker,
)


class BeginRecorderTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.harness = JobTableHarness()
        self.model = WorkerModel(self.clock, 5, lambda order: (None, RunOutcome.DONE))
        self.executor = make_executor(
            self.harness, self.clock, lambda record: self.model
        )
        self.harness.apply(worker=worker())
        self.executor._session_manager.observe_leadership()
        with self.harness.table.lock:
            self.executor._session_manager.reconcile()
        self.session = self.executor.sessions["w1"]
        self.session.hold_once()

    def order_starts(self, *job_ids):
        for job_id in job_ids:
            self.harness.accept(job(job_id))
        self.harness.start(*[run(job_id) for job_id in job_ids])
        self.session.send_queued_orders()

    def hold(self):
        self.clock.advance(RECORD_SECONDS)
        self.session.hold_once()

    def pending(self):
        return self.harness.table.pending(QUEUE)

    def test_a_job_whose_start_is_rejected_is_pending(self):
        """Guards against a count that takes an order for its outcome."""
        self.model.start = lambda order, timeout: OrderAnswer(OrderOutcome.UNHEALTHY)
        self.order_starts(JOB)
        self.hold()
        self.assertEqual(1, self.pending())
        self.assertIs(JobPhase.QUEUED, self.harness.phase())

    def test_a_job_whose_start_is_not_answered_is_pending(self):
        """Guards against a count without jobs whose starts were lost."""
        self.model.start = lambda order, timeout: OrderAnswer(OrderOutcome.NO_ANSWER)
        self.order_starts(JOB)
        self.assertEqual(1, self.pending())
        self.hold()
        self.assertEqual(1, self.pending())

    def test_a_job_that_a_worker_has_accepted_is_not_pending(self):
        self.order_starts(JOB)
        self.hold()
        self.assertEqual(0, self.pending())
        self.assertIs(JobPhase.ACTIVE, self.harness.phase())

    def test_a_job_that_a_worker_lists_is_not_pending(self):
        """Guards against a run that began although its start was not answered."""
        self.harness.accept(job())
        self.harness.start(run())
        fence = self.session._fence
        order = StartOrder(TaskKey(JOB, 0, 0, 0), 1, "work", 60_000, fence)
        self.model.start(order, 1.0)
        self.hold()
        self.assertEqual(0, self.pending())

    def test_jobs_that_begin_at_about_the_same_time_share_an_entry(self):
        self.order_starts(JOB, OTHER_JOB)
        index = self.harness.index
        self.hold()
        self.hold()
        self.assertEqual(0, self.pending())
        self.assertEqual(index + 1, self.harness.index)

    def test_a_begin_that_is_not_committed_is_recorded_again(self):
        """Guards against a job that counts as pending while it runs."""
        recorder = self.session._begin_recorder
        propose, recorder._propose = recorder._propose, lambda command: False
        self.order_starts(JOB)
        self.hold()
        self.assertEqual(1, self.pending())
        recorder._propose = propose
        self.hold()
        self.assertEqual(0, self.pending())
