"""Tests of maintenance waves after a change of leader, and of pool moves."""

import threading

from testtools import TestCase

from arbutuscleat.execution import ExecutionLimits, MachineOrderOutcome, MachineState
from arbutuscleat.execution.machine_absences import MAX_LISTS_WITHOUT_MACHINE
from arbutuscleat.execution.machine_controller import MachineController
from arbutuscleat.wire.gen_jobs.ttypes import (
    AdvanceWave,
    OrderMachines,
    WaveRecord,
)
from tests.fakes import ManualClock
from tests.fakes.jobs import JobTableHarness, job, step, worker
from tests.fakes.machines import FakeExecutor, FakeReplica
from tests.fakes.provider import FakeProvider

LIMITS = ExecutionLimits()
CAP = 2
ORDERS_AT_ONCE = 4
BARRIER_SECONDS = 5.0
MACHINES = [f"m{number}" for number in range(6)]


class ConcurrentProvider(FakeProvider):
    """Answers a move, which takes the machine down, once several have been sent."""

    def __init__(self, names, service_name):
        super().__init__(names, service_name)
        self.barrier = threading.Barrier(ORDERS_AT_ONCE)

    def move(self, machine, service_name, fence, may_send):
        self.barrier.wait(BARRIER_SECONDS)
        self.set(machine, is_up=False)
        return super().move(machine, service_name, fence, may_send)


class MachineControllerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.harness = JobTableHarness()
        self.provider = FakeProvider(MACHINES)
        self.replica = FakeReplica(self.clock)
        self.executor = FakeExecutor(self.harness)
        self.controller = self.make_controller(self.provider)

    def make_controller(self, provider):
        return MachineController(
            self.replica,
            self.harness.table,
            self.executor,
            provider,
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
        self.harness.apply(wave=wave)

    def order_as_former_leader(self, machine, finished):
        self.harness.apply(order_machines=OrderMachines(machines=[machine], holder="a"))
        self.harness.apply(advance_wave=AdvanceWave(wave=1, machine=machine))
        if finished:
            self.harness.apply(
                advance_wave=AdvanceWave(wave=1, machine=machine, finished=True)
            )

    def reconcile(self, count=1):
        for _ in range(count):
            self.controller.reconcile_once()
            self.clock.advance(0.25)

    def test_no_more_than_the_cap_are_under_upkeep(self):
        self.add_wave()
        self.replica.lead()
        self.reconcile(4)
        self.assertEqual(CAP, len(self.provider.upkeeps))

    def test_a_machine_whose_row_is_invalid_for_a_time_stays_in_its_wave(self):
        """Guards against a wave that takes such a machine for one that has gone."""
        self.add_wave()
        sound = self.provider.states["m0"]
        self.provider.states["m0"] = MachineState("m0", "", False, "")
        self.replica.lead()
        self.reconcile(4)
        self.assertNotIn("m0", self.provider.upkeeps)
        self.assertNotIn("m0", self.harness.table.waves[1].finished)
        self.provider.states["m0"] = sound
        for machine in MACHINES[1:]:
            self.provider.set(machine, is_up=True, in_upkeep=False)
        self.reconcile(40)
        self.assertIn("m0", self.provider.upkeeps)

    def test_machines_under_upkeep_of_a_former_leader_count_towards_the_cap(self):
        """Guards against exceeding the cap: upkeep ordered by the former leader is
        still under way when the new leader sends its first orders.
        """
        self.add_wave()
        for machine in MACHINES[:CAP]:
            self.order_as_former_leader(machine, finished=True)
            self.provider.set(machine, is_up=False, in_upkeep=True)
        self.replica.lead()
        self.reconcile(4)
        self.assertEqual([], self.provider.upkeeps)

    def test_an_unfinished_order_of_a_former_leader_counts_towards_the_cap(self):
        self.add_wave()
        for machine in MACHINES[:CAP]:
            self.order_as_former_leader(machine, finished=False)
        self.replica.lead()
        self.reconcile(4)
        self.assertEqual([], self.provider.upkeeps)

    def test_upkeep_counts_towards_the_cap_after_leadership_lapsed_in_the_term(self):
        """Guards against a machine taken beside one whose order is not answered yet."""
        self.add_wave()
        self.provider.outcome = MachineOrderOutcome.UNKNOWN
        self.replica.lead()
        self.controller.reconcile_once()
        ordered = len(self.provider.upkeeps)
        self.assertTrue(ordered > 0)
        self.replica.is_leader = False
        self.controller.reconcile_once()
        self.replica.is_leader = True
        self.clock.advance(0.25)
        self.controller.reconcile_once()
        self.assertEqual(ordered, len(self.provider.upkeeps))

    def test_the_wait_for_an_order_begins_anew_when_a_machine_returns(self):
        """Guards against a machine that is skipped for the wait of an earlier drain."""
        self.provider.outcome = MachineOrderOutcome.UNKNOWN
        self.replica.lead()
        self.add_wave()
        self.reconcile()
        name = self.provider.upkeeps[0]
        for machine in MACHINES:
            self.provider.set(machine, is_up=False)
        self.reconcile(20)
        self.provider.set(name, is_up=True)
        self.reconcile()
        self.assertEqual(name, self.provider.upkeeps[-1])
        self.assertEqual(2, self.provider.upkeeps.count(name))

    def is_wave_complete(self):
        return self.harness.table.waves[1].is_complete()

    def test_an_empty_list_of_machines_does_not_complete_a_wave(self):
        """Guards against a wave shown as completed before its machines' upkeep."""
        self.add_wave()
        self.replica.lead()
        self.provider.machines = lambda: []
        self.reconcile(2 * MAX_LISTS_WITHOUT_MACHINE)
        self.assertFalse(self.is_wave_complete())

    def test_machines_missing_from_some_lists_are_not_finished(self):
        """Guards against a partial list that ends the wave of the others."""
        self.add_wave()
        self.replica.lead()
        listed = self.provider.machines
        self.provider.machines = lambda: listed()[:1]
        self.reconcile(MAX_LISTS_WITHOUT_MACHINE - 1)
        self.provider.machines = listed
        self.reconcile()
        self.provider.machines = lambda: listed()[:1]
        self.reconcile(MAX_LISTS_WITHOUT_MACHINE - 1)
        finished = self.harness.table.waves[1].finished
        self.assertEqual(set(), finished - set(self.provider.upkeeps))

    def test_machines_that_no_longer_exist_do_not_keep_a_wave_open(self):
        self.add_wave()
        self.replica.lead()
        for machine in MACHINES[1:]:
            del self.provider.states[machine]
        self.reconcile(MAX_LISTS_WITHOUT_MACHINE)
        self.assertTrue(self.is_wave_complete())
        self.assertEqual(MACHINES[:1], self.provider.upkeeps)

    def test_upkeep_of_a_machine_missing_from_a_list_counts_towards_the_cap(self):
        """Guards against more than the cap under upkeep after a partial list."""
        self.add_wave()
        self.replica.lead()
        self.reconcile()
        self.assertEqual(CAP, len(self.provider.upkeeps))
        listed = self.provider.machines
        under_upkeep = set(self.provider.upkeeps)
        self.provider.machines = lambda: [
            item for item in listed() if item.machine not in under_upkeep
        ]
        self.reconcile(8)
        self.assertEqual(CAP, len(self.provider.upkeeps))

    def test_a_machine_that_does_not_return_from_its_upkeep_is_logged_and_counted(self):
        """Guards against a wave that waits for a machine, unnoticed."""
        self.add_wave()
        self.replica.lead()
        with self.assertLogs("absl", "INFO") as logs:
            self.reconcile(100)
        lines = [line for line in logs.output if "still under upkeep" in line]
        self.assertEqual(3 * CAP, len(lines), lines)
        gauges = self.controller.waits.gauges
        self.assertEqual(CAP, gauges["machines_in_upkeep"])
        self.assertEqual(24.75, gauges["machines_in_upkeep_oldest_seconds"])
        self.assertEqual(CAP, len(self.provider.upkeeps))

    def test_a_machine_held_by_a_former_leader_is_ordered_after_its_lease(self):
        self.add_wave()
        self.order_as_former_leader(MACHINES[0], finished=False)
        self.replica.lead()
        began = self.clock.monotonic()
        while MACHINES[0] not in self.provider.upkeeps:
            self.assertTrue(self.clock.monotonic() < began + 60.0)
            self.reconcile()
            for machine in MACHINES[1:]:
                self.provider.set(machine, is_up=True, in_upkeep=False)
        self.assertTrue(self.clock.monotonic() - began > LIMITS.machine_lease)

    def test_a_holder_whose_entry_is_applied_during_the_takeover_keeps_its_lease(self):
        """Guards against two holders that take turns when the leader changes."""
        self.add_wave()

        def apply_then_lead():
            if not self.replica.is_leader:
                self.order_as_former_leader("m0", finished=False)
                self.replica.lead()
            return True

        self.replica.leads = apply_then_lead
        self.reconcile()
        self.assertNotIn("m0", self.provider.upkeeps)

    def test_other_machines_are_ordered_immediately(self):
        self.add_wave()
        self.order_as_former_leader(MACHINES[0], finished=False)
        self.replica.lead()
        self.reconcile(2)
        self.assertEqual([MACHINES[1]], self.provider.upkeeps)

    def test_a_follower_sends_no_orders(self):
        self.add_wave()
        self.reconcile(4)
        self.assertEqual([], self.provider.upkeeps)

    def test_an_unanswered_order_counts_as_executed(self):
        self.add_wave()
        self.provider.outcome = MachineOrderOutcome.UNKNOWN
        self.replica.lead()
        self.reconcile(2)
        self.assertTrue(len(set(self.provider.upkeeps)) <= CAP)

    def longest_drain(self, outcome):
        """Return for how many iterations in a row the first worker is drained."""
        self.add_wave()
        for machine in MACHINES:
            self.provider.set(machine, worker_id=f"w-{machine}")
            self.harness.apply(worker=worker(f"w-{machine}"))
        self.provider.outcome = outcome
        self.replica.lead()
        longest = count = 0
        for _ in range(40):
            self.reconcile()
            is_drained = f"w-{MACHINES[0]}" in self.executor.draining
            count = count + 1 if is_drained else 0
            longest = max(longest, count)
        return longest

    def test_a_refused_upkeep_does_not_keep_its_worker_drained(self):
        """Guards against idle workers that get no runs because of an invalid order."""
        self.assertEqual(1, self.longest_drain(MachineOrderOutcome.REFUSED))
        self.assertEqual(len(set(self.provider.upkeeps)), len(self.provider.upkeeps))

    def test_an_upkeep_that_is_put_off_does_not_keep_its_worker_drained(self):
        """Guards against idle workers that get no runs while no order is accepted."""
        self.assertEqual(17, self.longest_drain(MachineOrderOutcome.LATER))

    def test_orders_for_machines_do_not_wait_for_each_other(self):
        """Guards against a pool that fills one order after another during a peak."""
        provider = ConcurrentProvider(MACHINES[:ORDERS_AT_ONCE], "portal")
        self.controller = self.make_controller(provider)
        self.harness.accept(job(steps=[step(ORDERS_AT_ONCE, cpu=64_000)]))
        self.replica.lead()
        self.reconcile(2)
        self.assertEqual(ORDERS_AT_ONCE, len(provider.moves))

    def test_an_order_that_raises_counts_as_executed(self):
        """Guards against more than the cap under upkeep after a failed call."""
        self.add_wave()
        upkeep = self.provider.upkeep
        failing = set(MACHINES[:1])

        def raise_after_order(machine, wave, fence, may_send):
            upkeep(machine, wave, fence, may_send)
            if machine in failing:
                self.provider.set(machine, is_up=True, in_upkeep=False)
                raise OSError("connection lost")
            return MachineOrderOutcome.DONE

        self.provider.upkeep = raise_after_order
        self.replica.lead()
        with self.assertLogs("absl", "ERROR"):
            self.reconcile(4)
        self.assertEqual(MACHINES[:CAP], sorted(set(self.provider.upkeeps)))

    def order_upkeep_after(self, pause):
        """Return the upkeep ordered if `pause` is called just before each sending."""
        self.add_wave()
        upkeep = self.provider.upkeep

        def pause_then_send(*args):
            pause()
            return upkeep(*args)

        self.provider.upkeep = pause_then_send
        self.replica.lead()
        self.reconcile(2)
        return self.provider.upkeeps

    def test_a_pause_before_an_order_is_sent_prevents_it(self):
        """Guards against an order that a suspended leader sends when it resumes."""
        ordered = self.order_upkeep_after(
            lambda: self.clock.advance(LIMITS.machine_lease)
        )
        self.assertEqual([], ordered)

    def test_a_new_term_before_an_order_is_sent_prevents_it(self):
        """Guards against an order under the fencing token of an earlier term."""
        self.assertEqual([], self.order_upkeep_after(self.replica.lead))

    def test_a_wait_for_the_replica_counts_towards_the_age_of_the_lease(self):
        """Guards against a lease that expires while the replica's lock is awaited."""
        self.add_wave()
        self.replica.lead()
        self.replica.leads = lambda: self.clock.advance(LIMITS.machine_lease) or True
        self.reconcile(2)
        self.assertEqual([], self.provider.upkeeps)

    def test_a_failed_iteration_does_not_end_the_controller(self):
        """Guards against waves and moves that stop for good under one leader."""
        self.add_wave()
        self.replica.lead()
        machines = self.provider.machines
        self.provider.machines = lambda: 1 / 0
        with self.assertLogs("absl", "ERROR"):
            self.controller.run_once()
        self.provider.machines = machines
        for _ in range(4):
            self.controller.run_once()
        self.assertEqual(CAP, len(self.provider.upkeeps))
