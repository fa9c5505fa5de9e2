"""Tests of moves between pools for tasks that wait, and of the drains for moves."""

from testtools import TestCase

from arbutuscleat.execution import ExecutionLimits, MachineController
from tests.fakes import ManualClock
from tests.fakes.jobs import JobTableHarness, job, run, step, worker
from tests.fakes.machines import FakeExecutor, FakeReplica
from tests.fakes.provider import FakeProvider

POLL_SECONDS = 0.25
POOL = [f"k{number}" for number in range(4)]
STANDBY = ["s0", "s1"]


class MachineMovesTest(TestCase):
    """A service with one long-running task on each of its machines."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.harness = JobTableHarness()
        self.provider = FakeProvider([*POOL, *STANDBY])
        for name in STANDBY:
            self.provider.set(name, service_name="portal")
        for name in POOL:
            self.add_worker(name)
        self.replica = FakeReplica(self.clock)
        self.executor = FakeExecutor(self.harness)
        self.controller = MachineController(
            self.replica,
            self.harness.table,
            self.executor,
            self.provider,
            self.clock,
            ExecutionLimits(),
            "b",
        )
        self.replica.lead()

    def add_worker(self, machine, **fields):
        self.provider.set(machine, is_up=True, worker_id=f"w-{machine}")
        self.harness.apply(worker=worker(f"w-{machine}", machine=machine, **fields))

    def run_spread_job(self, count=len(POOL), **fields):
        """Run one task of a long-running step on each of the first machines."""
        asked = step(len(POOL), long_running=True, spread_limit=1, **fields)
        self.harness.accept(job(steps=[asked]))
        for index in range(count):
            self.harness.start(run(index=index, worker_id=f"w-{POOL[index]}"))

    def reconcile(self, seconds):
        for _ in range(int(seconds / POLL_SECONDS)):
            self.controller.reconcile_once()
            self.clock.advance(POLL_SECONDS)

    def test_a_machine_whose_worker_is_unusable_is_replaced(self):
        """Guards against a spread task that waits although machines are off."""
        self.run_spread_job(count=3)
        self.executor.unusable = {"w-k3"}
        self.reconcile(2.0)
        self.assertEqual([], self.provider.moves)
        self.reconcile(2.0)
        self.assertEqual({("s0", "karachi")}, set(self.provider.moves))

    def test_a_machine_that_returns_from_a_move_is_not_replaced(self):
        """Guards against machines moved for one that is on its way."""
        self.run_spread_job(count=3)
        self.provider.set("k3", is_up=False, worker_id="")
        self.reconcile(2.0)
        self.add_worker("k3", born_ms=9)
        self.reconcile(6.0)
        self.assertEqual([], self.provider.moves)
