"""Runs of a worker that restarts while orders to its former incarnation are under way.

A restarted worker keeps its id, which is all that an order names, and has seen no
fencing token.
"""

from testtools import TestCase

from arbutuscleat.emulator.worker_model import WorkerModel
from arbutuscleat.execution import OrderAnswer, OrderOutcome
from arbutuscleat.jobs import JobPhase, RunOutcome, TaskKey, TaskStatus
from tests.fakes import ManualClock
from tests.fakes.executor import make_executor
from tests.fakes.jobs import JOB, JobTableHarness, job, run, worker

KEY = TaskKey(JOB, 0, 0, 0)
WORK_SECONDS = 4.0


class WorkerRestartTest(TestCase):
    def setUp(self):
        super().setUp()
        self.begin()

    def begin(self):
        self.clock = ManualClock()
        self.harness = JobTableHarness()
        self.executor = make_executor(
            self.harness, self.clock, lambda record: self.model
        )
        self.model = self.make_model(5)
        self.harness.apply(worker=worker())
        self.open_session()

    def make_model(self, born_ms):
        return WorkerModel(
            self.clock, born_ms, lambda order: (WORK_SECONDS, RunOutcome.DONE)
        )

    def open_session(self):
        """Open the session with the registered incarnation; return it, and hold."""
        self.executor._session_manager.observe_leadership()
        with self.harness.table.lock:
            self.executor._session_manager.reconcile()
        session = self.executor.sessions["w1"]
        session.hold_once()
        return session

    def order_start(self):
        """Commit a start; return the session that is to order it."""
        self.harness.accept(job())
        self.harness.start(run())
        return self.executor.sessions["w1"]

    def register(self, born_ms):
        record = worker(born_ms=born_ms)
        self.harness.apply(worker=record, at_ms=3000, keeps_runs=True)

    def task(self):
        return self.harness.table.jobs[JOB].task(KEY)

    def test_a_start_that_reached_the_next_incarnation_is_not_run_elsewhere(self):
        """Guards against a second run beside one that a restarted worker accepted."""
        session = self.order_start()
        self.model = session._client = session._sender._client = self.make_model(6)
        session.send_queued_orders()
        self.assertEqual({KEY: 1}, self.model.running())
        self.register(6)
        self.assertIs(TaskStatus.RUNNING, self.task().status)
        self.assertEqual([False], self.harness.start(run(number=2, born_ms=6)))
        self.open_session()
        self.assertIs(TaskStatus.RUNNING, self.task().status)
        self.assertEqual(("w1", 6), self.task().incarnation)
        self.clock.advance(WORK_SECONDS)
        self.open_session()
        self.assertIs(JobPhase.COMPLETED, self.harness.phase())
        self.assertEqual([(KEY, 1)], self.model.started)

    def test_a_run_that_ended_on_the_next_incarnation_is_not_run_again(self):
        """Guards against a start after an end that was listed to the next session."""
        late = self.order(self.order_start())
        self.model = self.make_model(6)
        self.model.start(late, 1.0)
        self.clock.advance(WORK_SECONDS)
        self.assertEqual({}, self.model.running())
        self.register(6)
        self.open_session()
        self.assertIs(JobPhase.COMPLETED, self.harness.phase())

    def test_a_run_starts_again_once_the_next_incarnation_can_start_it_no_more(self):
        """Guards against a late order that starts beside the next run of its task."""
        session = self.order_start()
        late = self.order(session)
        self.model = self.make_model(6)
        self.register(6)
        self.assertIs(TaskStatus.RUNNING, self.task().status)
        self.open_session()
        self.assertIs(TaskStatus.WAITING, self.task().status)
        self.assertIs(OrderOutcome.FENCED, self.model.start(late, 1.0).outcome)

    def test_a_run_of_an_incarnation_that_is_replaced_twice_stays_in_doubt(self):
        self.order_start()
        for born_ms in (6, 7):
            self.register(born_ms)
            self.assertEqual({("w1", born_ms): {KEY}}, self.runs())
        self.assertEqual(1, self.task().crashes)

    def test_a_run_in_doubt_is_in_snapshots(self):
        """Guards against crashes that a new leader counts twice."""
        self.order_start()
        self.register(6)
        table = self.harness.table
        image = table.image()
        table.restore(image)
        self.assertEqual(image, table.image())
        self.register(7)
        self.assertEqual(1, self.task().crashes)

    def test_a_hold_answered_by_a_later_incarnation_ends_no_run(self):
        """Guards against a second run beside a start that is still under way."""
        for born_ms in (6, 4):  # The clock of a worker can step back.
            self.begin()
            session = self.order_start()
            late = self.order(session)
            self.model = session._client = session._sender._client = self.make_model(
                born_ms
            )
            session.hold_once()
            self.assertIs(TaskStatus.RUNNING, self.task().status)
            self.assertEqual({("w1", born_ms): {KEY}}, self.runs())
            self.assertEqual([False], self.harness.start(run(number=2)))
            self.open_session()
            self.assertIs(TaskStatus.WAITING, self.task().status)
            self.assertIs(OrderOutcome.FENCED, self.model.start(late, 1.0).outcome)
            self.assertEqual(1, self.task().crashes)

    def test_an_incarnation_at_the_address_of_a_later_worker_inherits_nothing(self):
        """Guards against runs of an incarnation that no session is ever opened with."""
        self.order_start()
        later = worker("w2", born_ms=9, port=7)
        self.harness.apply(worker=later, at_ms=3000, keeps_runs=True)
        refused = worker(born_ms=6, port=7)
        self.harness.apply(worker=refused, at_ms=3000, keeps_runs=True)
        self.assertEqual(5, self.harness.table.workers["w1"].born_ms)
        self.assertEqual({("w1", 5): {KEY}}, self.runs())

    def test_nothing_starts_on_an_incarnation_before_it_registers(self):
        """Its capacity and labels are known from its own announcement only."""
        session = self.order_start()
        self.model = session._client = self.make_model(6)
        session.hold_once()
        self.open_session()
        self.assertEqual([False], self.harness.start(run(number=2, born_ms=6)))
        self.register(6)
        self.assertEqual([True], self.harness.start(run(number=2, born_ms=6)))

    def test_a_job_that_is_given_up_at_a_restart_leaves_no_run(self):
        """Guards against runs of a failed job that nobody ends."""
        self.harness.accept(job())
        for born_ms in (6, 7, 8):
            self.harness.start(run(number=born_ms, born_ms=born_ms - 1))
            self.model = self.make_model(born_ms)
            self.register(born_ms)
            self.open_session()
        self.assertIs(JobPhase.FAILED, self.harness.phase())
        self.assertEqual({}, self.runs())

    def runs(self):
        runs = self.harness.table.runs
        return {incarnation: set(found) for incarnation, found in runs.items()}

    def order(self, session):
        """Return the start order of the session's run, as it is sent now."""
        orders = []
        client, session._sender._client = session._sender._client, _Recorder(orders)
        session._sender._send_first(session._sender._orders.get_nowait())
        session._sender._client = client
        return orders[0]


class _Recorder:
    """Records the orders that are sent, and loses them."""

    def __init__(self, orders):
        self._orders = orders

    def start(self, order, timeout):
        self._orders.append(order)
        return OrderAnswer(OrderOutcome.NO_ANSWER)
