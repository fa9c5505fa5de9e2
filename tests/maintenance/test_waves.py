"""Maintenance waves, with a fault in each phase of the instances."""

import random

from testtools import TestCase

from arbutuscleat.core import MaintenancePhase
from arbutuscleat.emulator.wave_fleet import FleetShape, WaveFleet
from arbutuscleat.maintenance import view_wave
from arbutuscleat.wire.gen.ttypes import Command
from tests.fakes import pool_change
from tests.state.commands import labels_change

SMALL = FleetShape(pools=2, workers=8, min_available=6, reboot_limit=300.0)
STEP_SECONDS = 5.0
MANY_STEPS = 2_000

# Seeds of random runs in which a pool was once below its budget.
REGRESSION_SEEDS = (26, 39, 43, 49, 59, 70, 97, 128, 346, 367, 489, 606, 658)


class WaveFaultTest(TestCase):
    def make_fleet(self, shape=SMALL, seed=1, **changes):
        fleet = WaveFleet(shape, random.Random(seed), **changes)
        fleet.set_wave("update", "tier")
        return fleet

    def view(self, fleet, name="update"):
        configuration = fleet.machine.configuration
        return view_wave(configuration.selectors[name], configuration)

    def run_until(self, fleet, condition, seconds=STEP_SECONDS):
        for _ in range(MANY_STEPS):
            if condition():
                return
            fleet.step(seconds)
            self.assertEqual([], fleet.budget_violations)
        self.fail("the condition was not met in time")

    def run_to_end(self, fleet, name="update"):
        self.run_until(fleet, lambda: self.view(fleet, name).is_over())

    def test_a_wave_respects_the_budgets(self):
        fleet = self.make_fleet()
        self.run_to_end(fleet)
        self.assertEqual(16, len(self.view(fleet).done))
        self.assertEqual(16, len(fleet.platform.accepted_operations))

    def test_a_wave_starts_with_one_canary(self):
        fleet = self.make_fleet()
        self.run_until(fleet, lambda: self.view(fleet).under_way)
        self.run_until(fleet, lambda: len(self.view(fleet).under_way) > 1)
        soaking = [
            i
            for i in self.view(fleet).under_way
            if i.maintenance.phase is MaintenancePhase.SOAKING
        ]
        self.assertEqual(1, len(soaking), "granted before the canary had restarted")

    def test_a_wave_maintains_one_rack_of_a_pool_at_a_time(self):
        fleet = self.make_fleet(
            FleetShape(pools=1, workers=8, per_rack=2, min_available=1)
        )

        def racks():
            return {
                i.rack
                for i in fleet.machine.configuration.instances.values()
                if i.maintenance.phase
                in (MaintenancePhase.DRAINING, MaintenancePhase.REBOOTING)
            }

        for _ in range(400):
            fleet.step(STEP_SECONDS)
            self.assertLessEqual(len(racks()), 1)
        self.assertEqual(8, len(self.view(fleet).done))

    def test_a_failing_canary_pauses_the_wave(self):
        fleet = self.make_fleet(failed_reboot_share=1.0)
        self.run_until(fleet, lambda: self.view(fleet).failed)
        for _ in range(100):
            fleet.step(STEP_SECONDS)
        self.assertEqual(1, len(fleet.platform.accepted_operations))
        self.assertIn("canary", self.view(fleet).paused_because())

    def test_correlated_failures_pause_the_wave(self):
        fleet = self.make_fleet()
        self.run_until(fleet, lambda: self.view(fleet).done)
        fleet.failed_reboot_share = 1.0
        self.run_until(fleet, lambda: self.view(fleet).paused_because())
        accepted = len(fleet.platform.accepted_operations)
        for _ in range(100):
            fleet.step(STEP_SECONDS)
        self.assertEqual(accepted, len(fleet.platform.accepted_operations))

    def test_a_changed_selector_restarts_a_paused_wave(self):
        fleet = self.make_fleet(failed_reboot_share=1.0)
        self.run_until(fleet, lambda: self.view(fleet).paused_because())
        fleet.failed_reboot_share = 0.0
        fleet.set_wave("update", "tier,!broken")
        self.run_to_end(fleet)
        self.assertEqual(16, len(self.view(fleet).done))

    def test_lost_answers_of_the_platform_cause_no_second_reboot(self):
        fleet = self.make_fleet()
        fleet.platform.lost_share = 0.8
        self.run_to_end(fleet)
        self.assertEqual(16, len(self.view(fleet).done))
        starts = [endpoint.starts for endpoint in fleet.endpoints.values()]
        self.assertEqual({2}, set(starts), "each rebooted once")

    def test_new_leaders_continue_a_wave(self):
        for seed in range(5):
            fleet = self.make_fleet(seed=seed)
            rng = random.Random(seed)
            while not self.view(fleet).is_over():
                fleet.step(STEP_SECONDS)
                self.assertEqual([], fleet.budget_violations)
                if rng.random() < 0.05:
                    fleet.lead()
            self.assertEqual(16, len(fleet.platform.accepted_operations))

    def test_two_waves_on_the_same_instances(self):
        fleet = self.make_fleet()
        fleet.set_wave("firmware", "tier=pool-0")
        self.run_to_end(fleet)
        self.run_to_end(fleet, "firmware")
        self.assertEqual(16, len(self.view(fleet).done))
        self.assertEqual(8, len(self.view(fleet, "firmware").done))

    def test_an_instance_lost_while_it_soaks_is_reported_as_failed(self):
        fleet = self.make_fleet()

        def soaking():
            return [
                i.instance_id
                for i in self.view(fleet).under_way
                if i.maintenance.phase is MaintenancePhase.SOAKING
            ]

        self.run_until(fleet, soaking)
        name = soaking()[0]
        fleet.crash(name, 100.0)
        self.run_until(fleet, lambda: self.view(fleet).failed)
        failed = self.view(fleet).failed[0]
        self.assertEqual(name, failed.instance_id)
        self.assertIn("lost", failed.maintenance.detail)
        self.run_to_end(fleet)
        self.assertEqual(
            16, len(self.view(fleet).done), "the lost instance restarted and soaked"
        )

    def test_an_instance_that_restarts_late_soaks_first(self):
        shape = FleetShape(pools=1, reboot=400.0, reboot_limit=300.0)
        fleet = self.make_fleet(shape)
        self.run_until(fleet, lambda: self.view(fleet).failed)
        self.run_until(fleet, lambda: self.view(fleet).done)
        self.assertFalse(self.view(fleet).failed)

    def test_an_instance_relabelled_during_a_wave_is_moved_after_it(self):
        fleet = self.make_fleet()
        self.run_until(fleet, lambda: self.view(fleet).under_way)
        name = self.view(fleet).under_way[0].instance_id
        fleet.commit(labels_change("relabel", name, {"tier": "pool-1"}))
        self.run_to_end(fleet)
        moved = lambda: (
            fleet.machine.configuration.instances[name].assignment.pool == "pool-1"
        )
        self.run_until(fleet, moved)

    def test_a_wave_without_headroom_waits_and_says_why(self):
        fleet = self.make_fleet(FleetShape(pools=1, min_available=8))
        for _ in range(50):
            fleet.step(STEP_SECONDS)
        self.assertFalse(fleet.platform.accepted_operations)
        from arbutuscleat.http.rendering import wave_json

        configuration = fleet.machine.configuration
        rendered = wave_json(configuration.selectors["update"], configuration)
        self.assertIn("no headroom", rendered["waiting"]["w0-0"])

    def test_grants_beyond_the_budget_are_rejected_when_applied(self):
        """Such grants arise when two leaders decide on the same state."""
        fleet = self.make_fleet(FleetShape(pools=1, min_available=7))
        from arbutuscleat.wire.gen.ttypes import GrantMaintenance

        version = fleet.machine.configuration.selectors["update"].version
        for name in ("w0-0", "w0-1", "w0-0"):
            grant = GrantMaintenance(name, "update", version)
            fleet.commit(Command(grant_maintenance=grant))
        self.assertEqual(1, len(self.view(fleet).under_way))

    def test_a_second_loss_right_after_maintenance(self):
        shape = FleetShape(pools=1, workers=8, min_available=5, reserve=1)
        fleet = self.make_fleet(shape)
        self.run_until(fleet, lambda: len(self.view(fleet).done) == 3)
        fleet.crash("w0-7", 200.0)
        fleet.crash("w0-6", 200.0)
        for _ in range(MANY_STEPS):
            if self.view(fleet).is_over():
                break
            fleet.step(STEP_SECONDS)
            self.assertEqual([], fleet.budget_violations)
        self.assertTrue(self.view(fleet).is_over())


class HistoryTest(TestCase):
    """Random runs with waves, failures, concurrent changes and new leaders."""

    def test_only_failures_take_a_pool_below_its_budget(self):
        for seed in [*range(25), *REGRESSION_SEEDS]:
            self.assertEqual([], run_history(seed), f"seed {seed}")


def run_history(seed, steps=150):
    """Run one seed.

    Returns the times at which a pool was below its budget without a failure as cause.
    """
    rng = random.Random(seed)
    shape = FleetShape(
        pools=3,
        workers=rng.choice([4, 8]),
        per_rack=2,
        min_available=rng.choice([2, 3]),
        reserve=rng.choice([0, 1]),
        reboot=rng.choice([20.0, 60.0]),
        soak=20.0,
        reboot_limit=120.0,
    )
    fleet = WaveFleet(shape, rng, failed_reboot_share=rng.choice([0.0, 0.05, 0.3]))
    fleet.platform.lost_share = rng.choice([0.0, 0.3])
    names = list(fleet.endpoints)
    for number in range(steps):
        chance = rng.random()
        if chance < 0.04:
            fleet.set_wave(rng.choice(["a", "b"]), rng.choice(["tier", "tier=pool-1"]))
        elif chance < 0.07:
            fleet.crash(rng.choice(names), rng.choice([20.0, 200.0]))
        elif chance < 0.08:
            rack = fleet.endpoints[rng.choice(names)].instance.rack
            for endpoint in fleet.endpoints.values():
                if endpoint.instance.rack == rack:
                    fleet.crash(endpoint.instance.instance_id, 60.0)
        elif chance < 0.10:
            fleet.lead()
        elif chance < 0.14:
            _change_concurrently(fleet, rng, number, names)
        fleet.step(rng.choice([1.0, 5.0, 20.0]))
    return fleet.budget_violations


def _change_concurrently(fleet, rng, number, names):
    """Two operators change the labels of one instance, and one changes a budget.

    The label changes have the same expected version, so they conflict.
    """
    name = rng.choice(names)
    tier = f"pool-{rng.randrange(3)}"
    for operator in ("x", "y"):
        change = labels_change(f"{number}-{operator}", name, {"tier": tier})
        fleet.commit(change)
    fleet.commit(pool_change(f"{number}-p", "pool-0", "tier=pool-0", 1, 2))
