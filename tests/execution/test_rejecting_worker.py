"""Tests of a worker that answers holds and rejects the starts of runs."""

from testtools import TestCase

from arbutuscleat.emulator.worker_model import WorkerModel
from arbutuscleat.execution import (
    ExecutionLimits,
    MachineController,
    OrderAnswer,
    OrderOutcome,
)
from arbutuscleat.jobs import RunOutcome
from tests.fakes import ManualClock
from tests.fakes.executor import make_executor, run_once
from tests.fakes.jobs import JobTableHarness, job, step, worker
from tests.fakes.provider import FakeProvider
from tests.fakes.replica import HarnessReplica

STEP_SECONDS = 0.25
MACHINE = "k0"
OTHER_KIND = "k1"
SPARE = "s0"


class RejectingWorker(WorkerModel):
    """Answers starts with `outcome` while it is set."""

    outcome = None

    def start(self, order, timeout):
        if self.outcome is None:
            return super().start(order, timeout)
        return OrderAnswer(self.outcome, self._now_ms())


class RejectingWorkerTest(TestCase):
    """A task that only one of its service's machines may run, beside a spare one."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.harness = JobTableHarness()
        self.models = {}
        self.outcome = OrderOutcome.UNHEALTHY
        self.executor = make_executor(self.harness, self.clock, self.make_client)
        self.provider = FakeProvider([MACHINE, OTHER_KIND, SPARE])
        self.provider.set(SPARE, service_name="portal")
        self.provider.set(OTHER_KIND, labels=("b", "r1"))
        self.add_worker("w1", MACHINE)
        self.add_worker("other", OTHER_KIND, labels=["b", "r1"])
        self.controller = MachineController(
            HarnessReplica(self.harness),
            self.harness.table,
            self.executor,
            self.provider,
            self.clock,
            ExecutionLimits(),
            "b",
        )
        asked = step(long_running=True, required_label="a")
        self.harness.accept(job(steps=[asked]))

    def add_worker(self, worker_id, machine, **fields):
        self.provider.set(machine, worker_id=worker_id)
        self.harness.apply(worker=worker(worker_id, machine=machine, **fields))

    def make_client(self, record):
        model = RejectingWorker(
            self.clock, record.born_ms, lambda order: (None, RunOutcome.DONE)
        )
        model.outcome = self.outcome if record.worker_id == "w1" else None
        self.models[record.worker_id] = model
        return model

    def play(self, seconds):
        for _ in range(int(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            self.controller.reconcile_once()
            run_once(self.executor)

    def test_a_machine_whose_worker_rejects_each_start_is_replaced(self):
        """Guards against a task whose only machine counts as capacity for good."""
        self.play(10.0)
        self.assertEqual({(SPARE, "karachi")}, set(self.provider.moves))

    def test_a_machine_whose_worker_never_has_room_is_replaced(self):
        self.outcome = OrderOutcome.NO_ROOM
        self.play(10.0)
        self.assertEqual({(SPARE, "karachi")}, set(self.provider.moves))

    def test_a_worker_that_rejects_few_starts_is_not_replaced(self):
        """Guards against a machine moved for a worker that is full for a moment."""
        self.play(2.0)
        self.models["w1"].outcome = None
        self.play(10.0)
        self.assertEqual([], self.provider.moves)
        self.assertEqual(1, len(self.models["w1"].started))

    def test_a_worker_that_rejects_each_start_comes_last(self):
        """Guards against a task that is tried on it before a sound worker."""
        self.play(3.0)
        views = self.executor.worker_views()
        self.assertTrue(views["w1"].grade > views["other"].grade)
        self.models["w1"].outcome = None
        self.play(2.0)
        self.assertEqual(0, self.executor.worker_views()["w1"].grade)

    def test_a_start_rejected_for_a_reason_of_its_task_moves_no_machine(self):
        """Guards against machines moved for jobs that no worker accepts."""
        self.outcome = OrderOutcome.INVALID
        self.play(10.0)
        self.assertEqual([], self.provider.moves)
