"""Tests of workers that stop answering at the same time, some of them idle."""

from testtools import TestCase

from arbutuscleat.execution import ExecutionLimits
from tests.execution.simulation import Simulation
from tests.fakes.jobs import step

LIMITS = ExecutionLimits()
SEED = 0


class QuietSimulation(Simulation):
    """Workers with a few small long-running tasks and no others."""

    def long_running_step(self, number):
        return step(1, cpu=500, mem_mb=100, long_running=True)

    def start(self):
        self.failure_share = 0.0
        self.faults = False
        self.clock.spawn(self.change_leader)
        self.clock.run(0.001)
        self.clock.spawn(self.ping)
        self.clock.run(10.0)

    def running_on(self):
        """Return the workers that answer and run tasks."""
        return {
            name
            for name, link in self.links.items()
            if not link.is_cut() and link.model.running()
        }


class DarkWorkersTest(TestCase):
    def test_tasks_of_a_dark_worker_are_not_rescheduled_on_an_idle_dark_one(self):
        """Guards against idle workers that count as usable since nobody calls them."""
        simulation = QuietSimulation(SEED)
        self.addCleanup(simulation.clock.stop)
        simulation.start()
        (place,) = simulation.running_on()
        names = sorted(simulation.links, reverse=True)
        survivor = next(name for name in names if name != place)
        self.assertTrue(len(names) >= 5)
        for name in set(names) - {survivor}:
            simulation.links[name].unreachable_until = float("inf")
        waited = 0.0
        while not simulation.running_on():
            simulation.clock.run(0.1)
            waited += 0.1
            self.assertTrue(waited < 60.0)
        self.assertTrue(waited < LIMITS.longest_expiry() + 1.0, waited)
