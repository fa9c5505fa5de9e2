"""Tests of moves between pools for tasks that wait, and of the drains for moves."""

from testtools import TestCase

from arbutuscleat.execution import (
    ExecutionLimits,
    MachineController,
    MachineOrderOutcome,
)
from arbutuscleat.execution.machine_controller import (
    BLOCKED_DRAIN_SECONDS,
    BLOCKED_PAUSE_SECONDS,
)
from arbutuscleat.jobs import TaskKey
from arbutuscleat.wire.gen_jobs.ttypes import OrderMachines, WaveRecord
from tests.fakes import ManualClock
from tests.fakes.jobs import JOB, OTHER_JOB, JobTableHarness, job, run, step, worker
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

    def test_a_task_that_only_a_larger_machine_can_hold_gets_one(self):
        """Guards against a task that waits although a machine that is off fits it."""
        self.provider.set("s1", mem_mb=262_144)
        self.harness.accept(job(steps=[step(mem_mb=200_000, long_running=True)]))
        self.reconcile(1.0)
        self.assertEqual({("s1", "karachi")}, set(self.provider.moves))

    def test_a_worker_that_leaves_is_replaced_for_a_task_that_waits(self):
        self.run_spread_job(count=3)
        self.add_worker("k3", draining=True, sequence=2)
        self.reconcile(0.5)
        self.assertEqual({("s0", "karachi")}, set(self.provider.moves))

    def test_a_task_that_will_fit_brings_in_no_machine(self):
        """Guards against a machine moved for each long-running task that fails."""
        self.run_spread_job(count=3)
        self.reconcile(4.0)
        self.assertEqual([], self.provider.moves)

    def test_a_wave_gives_a_worker_back_that_a_long_running_task_needs(self):
        """Guards against a drain and a task that wait for each other's room."""
        for name in STANDBY:
            self.provider.set(name, is_up=False)
        self.run_spread_job(count=3)
        self.harness.accept(job(OTHER_JOB, steps=[step(long_running=True)]))
        self.harness.start(run(OTHER_JOB, worker_id="w-k3"))
        wave = WaveRecord(wave=1, machines=["k3"], cap=1, due_at_ms=1_000)
        self.harness.apply(wave=wave)
        self.reconcile(1.0)
        self.assertEqual(set(), self.executor.draining)

    def test_a_wave_keeps_a_worker_that_no_task_needs(self):
        self.run_spread_job()
        wave = WaveRecord(wave=1, machines=["k3"], cap=1, due_at_ms=1_000)
        self.harness.apply(wave=wave)
        self.reconcile(1.0)
        self.assertEqual({"w-k3"}, self.executor.draining)

    def start_wave_of_k3(self, others=()):
        wave = WaveRecord(wave=1, machines=["k3", *others], cap=1, due_at_ms=1_000)
        self.harness.apply(wave=wave)

    def test_an_unresponsive_worker_is_not_given_back(self):
        """Guards against a drain that ends for 2 s at a time for nothing."""
        for name in STANDBY:
            self.provider.set(name, is_up=False)
        self.run_spread_job(count=3)
        self.harness.accept(job(OTHER_JOB, steps=[step(long_running=True)]))
        self.harness.start(run(OTHER_JOB, worker_id="w-k3"))
        self.executor.unusable = {"w-k3"}
        self.start_wave_of_k3()
        self.reconcile(1.0)
        self.assertEqual({"w-k3"}, self.executor.draining)

    def test_a_drain_whose_tasks_cannot_be_moved_ends(self):
        """Guards against a worker drained for good although nothing can leave it."""
        self.run_spread_job()
        self.start_wave_of_k3()
        self.reconcile(BLOCKED_DRAIN_SECONDS)
        self.assertEqual({"w-k3"}, self.executor.draining)
        self.reconcile(2 * POLL_SECONDS)
        self.assertEqual(set(), self.executor.draining)
        self.reconcile(BLOCKED_PAUSE_SECONDS)
        self.assertEqual({"w-k3"}, self.executor.draining)

    def test_a_wave_goes_on_beside_a_machine_that_cannot_be_drained(self):
        """Guards against a wave that waits for one machine and leaves the others."""
        self.run_spread_job()
        self.start_wave_of_k3(others=["k0"])
        drained = set()
        for _ in range(int(2 * BLOCKED_DRAIN_SECONDS / POLL_SECONDS)):
            self.reconcile(POLL_SECONDS)
            drained |= self.executor.draining
        self.assertEqual({"w-k0", "w-k3"}, drained)

    def test_a_drain_goes_on_while_finite_tasks_run(self):
        self.run_spread_job()
        self.harness.accept(job(OTHER_JOB))
        self.harness.start(run(OTHER_JOB, worker_id="w-k3"))
        self.start_wave_of_k3()
        self.reconcile(3 * BLOCKED_DRAIN_SECONDS)
        self.assertEqual({"w-k3"}, self.executor.draining)

    def test_a_drain_goes_on_while_tasks_can_be_moved(self):
        self.run_spread_job()
        self.start_wave_of_k3()
        self.executor.movable_tasks = lambda worker_id: [(TaskKey(JOB, 0, 0, 3), 1)]
        self.executor.order_stop = lambda *args: None
        self.reconcile(3 * BLOCKED_DRAIN_SECONDS)
        self.assertEqual({"w-k3"}, self.executor.draining)

    # ---- gauges ----

    def test_tasks_without_a_machine_are_logged_and_counted(self):
        """Guards against a wait for a machine that shows nowhere."""
        asked = step(2, long_running=True, required_label="z")
        self.harness.accept(job(steps=[asked]))
        with self.assertLogs("absl", "INFO") as logs:
            self.reconcile(9.0)
        lines = [line for line in logs.output if "no machine for" in line]
        self.assertEqual(3, len(lines), lines)
        gauges = self.controller.waits.gauges
        self.assertEqual(2, gauges['tasks_without_machine{service="karachi"}'])
        age = gauges['tasks_without_machine_oldest_seconds{service="karachi"}']
        self.assertEqual(8.75, age)

    def test_moves_and_machines_out_of_service_are_counted(self):
        self.run_spread_job(count=3)
        self.executor.unusable = {"w-k3"}
        self.reconcile(4.0)
        gauges = self.controller.waits.gauges
        self.assertEqual(1, gauges['machines_moving{service="karachi"}'])
        self.assertEqual(1, gauges['machines_out_of_service{service="karachi"}'])

    def test_a_drain_that_lasts_is_logged_and_counted(self):
        """Guards against a wave that never ends on a machine, unnoticed."""
        self.run_spread_job()
        wave = WaveRecord(wave=1, machines=["k3"], cap=1, due_at_ms=1_000)
        self.harness.apply(wave=wave)
        with self.assertLogs("absl", "INFO") as logs:
            self.reconcile(12.0)
        lines = [line for line in logs.output if "w-k3: draining for" in line]
        self.assertEqual(2, len(lines), lines)
        gauges = self.controller.waits.gauges
        self.assertEqual(1, gauges["workers_draining"])
        self.assertEqual(11.75, gauges["workers_draining_oldest_seconds"])

    # ---- drains for moves ----

    def park(self, seconds):
        """Let the service become idle, so that its machines are parked."""
        self.harness.accept(job(OTHER_JOB))
        self.harness.start(run(OTHER_JOB, worker_id="w-k0"))
        self.reconcile(seconds)

    def test_a_machine_that_is_needed_again_is_not_moved(self):
        """Guards against tasks that wait for machines drained for a planned move."""
        self.provider.outcome = MachineOrderOutcome.LATER
        self.park(4.0)
        self.assertNotEqual(set(), self.executor.draining)
        self.run_spread_job(count=0)
        self.reconcile(0.5)
        self.assertEqual(set(), self.executor.draining)
        self.provider.outcome = MachineOrderOutcome.DONE
        self.provider.moves = []
        self.reconcile(5.0)
        self.assertEqual([], self.provider.moves)

    def test_a_drain_ends_when_machines_cannot_be_listed(self):
        """Guards against idle workers that stay drained without a provider."""
        self.provider.outcome = MachineOrderOutcome.LATER
        self.park(4.0)
        self.provider.machines = lambda: None
        self.reconcile(3.0)
        self.assertEqual(set(), self.executor.draining)

    def test_a_drain_ends_when_iterations_fail(self):
        self.provider.outcome = MachineOrderOutcome.LATER
        self.park(4.0)
        self.provider.machines = lambda: 1 / 0
        with self.assertLogs("absl", "ERROR"):
            for _ in range(12):
                self.controller.run_once()
                self.clock.advance(POLL_SECONDS)
        self.assertEqual(set(), self.executor.draining)

    def test_a_machine_that_may_not_be_ordered_yet_is_not_drained(self):
        """Guards against idle workers drained for the lease of a former leader."""
        held = OrderMachines(machines=POOL, holder="a")
        self.harness.apply(order_machines=held)
        self.replica.lead()
        self.controller.reconcile_once()
        self.park(2.75)
        self.assertEqual(set(), self.executor.draining)
        self.reconcile(2.0)
        self.assertNotEqual([], self.provider.moves)

    def test_a_move_that_is_never_confirmed_is_given_up(self):
        """Guards against a worker that stays drained for an unanswered order."""
        self.provider.outcome = MachineOrderOutcome.UNKNOWN
        self.park(4.0)
        drained = []
        for _ in range(28):
            self.reconcile(POLL_SECONDS)
            drained.append("w-k1" in self.executor.draining)
        self.assertIn(True, drained)
        self.assertIn(False, drained)

    def test_an_order_that_is_refused_is_not_repeated_at_once(self):
        """Guards against a worker that stays drained for an invalid order."""
        self.provider.outcome = MachineOrderOutcome.REFUSED
        self.park(8.0)
        self.assertEqual(len(set(self.provider.moves)), len(self.provider.moves))
        self.assertEqual(set(), self.executor.draining)

    def need_s0(self):
        """Let a long-running step need one machine more than its service has."""
        self.provider.set("s1", is_up=False)
        asked = step(len(POOL) + 1, long_running=True, spread_limit=1)
        self.harness.accept(job(steps=[asked]))
        self.reconcile(POLL_SECONDS)
        self.assertEqual([("s0", "karachi")], self.provider.moves)

    def test_a_busy_machine_that_a_service_waits_for_is_ordered_again_soon(self):
        """Guards against machines that are withheld for 2 s in a load peak."""
        self.provider.outcome = MachineOrderOutcome.BUSY
        self.need_s0()
        self.reconcile(2 * POLL_SECONDS)
        self.assertTrue(len(self.provider.moves) >= 2)

    def test_another_machine_is_tried_instead_of_a_busy_one(self):
        """Guards against a service that waits for a machine that stays busy."""
        self.provider.outcome = MachineOrderOutcome.BUSY
        self.need_s0()
        self.provider.set("s1", is_up=True)
        self.reconcile(POLL_SECONDS)
        self.assertEqual(("s1", "karachi"), self.provider.moves[-1])

    def test_a_machine_that_stays_down_in_its_move_is_replaced(self):
        """Guards against a move that counts as capacity without an end."""
        self.need_s0()
        self.provider.set("s0", is_up=False)
        self.provider.set("s1", is_up=True)
        self.reconcile(12.0)
        self.assertEqual(("s1", "karachi"), self.provider.moves[-1])

    def test_a_machine_that_is_to_move_gets_no_upkeep(self):
        """Guards against a wave that takes machines on their way to a load peak."""
        self.provider.outcome = MachineOrderOutcome.LATER
        self.need_s0()
        wave = WaveRecord(wave=1, machines=["s0"], cap=1, due_at_ms=1_000)
        self.harness.apply(wave=wave)
        self.provider.outcome = MachineOrderOutcome.DONE
        self.reconcile(POLL_SECONDS)
        self.assertEqual([], self.provider.upkeeps)
        self.assertEqual(2, len(self.provider.moves))

    def test_a_machine_that_goes_down_before_the_order_is_not_moved(self):
        """Guards against a new worker that is drained for the move of the old one."""
        self.provider.outcome = MachineOrderOutcome.LATER
        self.park(4.0)
        for name in POOL:
            self.provider.set(name, is_up=False)
        self.reconcile(0.5)
        self.assertEqual(set(), self.executor.draining)

    def test_the_worker_of_a_machine_that_arrives_is_not_drained(self):
        """Guards against a delay at the end of each move in a load peak."""
        self.run_spread_job(count=0)
        self.provider.set("k3", service_name="portal", worker_id="")
        for name in STANDBY:
            self.provider.set(name, is_up=False)
        self.reconcile(POLL_SECONDS)
        self.assertEqual([("k3", "karachi")], self.provider.moves)
        self.provider.set("k3", service_name="karachi")
        self.add_worker("k3", born_ms=9)
        self.reconcile(POLL_SECONDS)
        self.assertEqual(set(), self.executor.draining)
