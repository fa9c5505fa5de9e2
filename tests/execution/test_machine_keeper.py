"""Waves and moves under a leader that has just taken over."""

from testtools import TestCase

from arbutuscleat.execution import ExecutionLimits, MachineOrderOutcome
from arbutuscleat.execution.machine_controller import MachineController
from arbutuscleat.scheduling import service_demands
from arbutuscleat.wire.gen_jobs.ttypes import (
    AdvanceWave,
    OrderMachines,
    WaveRecord,
)
from tests.fakes import ManualClock
from tests.fakes.jobs import TableBench
from tests.fakes.provider import FakeProvider

LIMITS = ExecutionLimits()
CAP = 2
MACHINES = [f"m{number}" for number in range(6)]


class FakeReplica:
    """A replica that leads whenever a test says so."""

    def __init__(self, clock):
        self.clock = clock
        self.is_leader = False
        self.current_term = 1
        self.since = 0.0

    def lead(self):
        self.is_leader = True
        self.current_term += 1
        self.since = self.clock.monotonic()

    def leads(self):
        return self.is_leader

    def term(self):
        return self.current_term

    def led_since(self):
        return self.since


class FakeExecutor:
    """Plans nothing; hands proposals to the table."""

    def __init__(self, bench):
        self.bench = bench
        self.plan_count = 0

    def set_draining(self, worker_ids):
        self.plan_count += 2

    def demands(self, names):
        return service_demands(self.bench.table, names, 1_000)

    def propose(self, command):
        return self.bench.propose(command)


class KeeperTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.bench = TableBench()
        self.provider = FakeProvider(MACHINES)
        self.replica = FakeReplica(self.clock)
        self.keeper = MachineController(
            self.replica,
            self.bench.table,
            FakeExecutor(self.bench),
            self.provider,
            self.clock,
            LIMITS,
            "b",
        )

    def add_wave(self):
        wave = WaveRecord(
            wave=1,
            machines=MACHINES,
            cap=CAP,
            due_at_ms=1_000_000,
            ordered=[],
            finished=[],
        )
        self.bench.apply(wave=wave)

    def order_as_former_leader(self, machine, finished):
        self.bench.apply(order_machines=OrderMachines(machines=[machine], holder="a"))
        self.bench.apply(advance_wave=AdvanceWave(wave=1, machine=machine))
        if finished:
            self.bench.apply(
                advance_wave=AdvanceWave(wave=1, machine=machine, finished=True)
            )

    def turn(self, count=1):
        for _ in range(count):
            self.keeper.reconcile_once()
            self.clock.advance(0.25)

    def test_no_more_than_the_cap_are_under_upkeep(self):
        self.add_wave()
        self.replica.lead()
        self.turn(4)
        self.assertEqual(CAP, len(self.provider.upkeeps))

    def test_machines_that_a_former_leader_took_down_count(self):
        """The new leader orders at once, while upkeep of the former one is on."""
        self.add_wave()
        for machine in MACHINES[:CAP]:
            self.order_as_former_leader(machine, finished=True)
            self.provider.set(machine, is_up=False, in_upkeep=True)
        self.replica.lead()
        self.turn(4)
        self.assertEqual([], self.provider.upkeeps)

    def test_an_order_of_a_former_leader_that_may_be_on_its_way_counts(self):
        self.add_wave()
        for machine in MACHINES[:CAP]:
            self.order_as_former_leader(machine, finished=False)
        self.replica.lead()
        self.turn(4)
        self.assertEqual([], self.provider.upkeeps)

    def test_machines_of_a_former_leader_wait_for_its_lease(self):
        self.add_wave()
        self.order_as_former_leader(MACHINES[0], finished=False)
        self.replica.lead()
        began = self.clock.monotonic()
        while MACHINES[0] not in self.provider.upkeeps:
            self.assertTrue(self.clock.monotonic() < began + 60.0)
            self.turn()
            for machine in MACHINES[1:]:
                self.provider.set(machine, is_up=True, in_upkeep=False)
        self.assertTrue(self.clock.monotonic() - began > LIMITS.machine_lease)

    def test_others_are_ordered_at_once(self):
        self.add_wave()
        self.order_as_former_leader(MACHINES[0], finished=False)
        self.replica.lead()
        self.turn(2)
        self.assertEqual([MACHINES[1]], self.provider.upkeeps)

    def test_nothing_is_ordered_without_the_leadership(self):
        self.add_wave()
        self.turn(4)
        self.assertEqual([], self.provider.upkeeps)

    def test_an_order_without_an_answer_counts_as_carried_out(self):
        self.add_wave()
        self.provider.outcome = MachineOrderOutcome.UNKNOWN
        self.replica.lead()
        self.turn(2)
        self.assertTrue(len(set(self.provider.upkeeps)) <= CAP)
