from testtools import TestCase

from arbutuscleat.scheduling import Demand, PoolMachine, PoolPlanner, has_shortage
from arbutuscleat.scheduling.pool_planner import (
    MAX_PARKED_FRACTION,
    MIN_PARKED_PER_PLAN,
)

SIZE = 64_000


def machine(name, service, idle=10.0, **fields):
    values = {"kind": "a", "cpu": SIZE, "is_up": True, "in_wave": False, **fields}
    return PoolMachine(machine=name, service_name=service, idle_seconds=idle, **values)


def plan(machines, **demands):
    found = PoolPlanner().plan(machines, demands, "standby")
    return {(move.machine, move.service_name) for move in found}


class PoolPlannerTest(TestCase):
    def test_waiting_tasks_bring_in_standby_machines(self):
        machines = [machine("m1", "billing", -1.0), machine("s1", "standby")]
        found = plan(machines, billing=Demand(SIZE, SIZE))
        self.assertEqual({("s1", "billing")}, found)

    def test_waiting_tasks_bring_in_idle_machines_of_another_service(self):
        machines = [machine("m1", "billing", -1.0)]
        machines += [machine(f"k{i}", "karachi") for i in range(4)]
        found = plan(machines, billing=Demand(SIZE, SIZE), karachi=Demand())
        # 2.7 machines with headroom, rounded up, plus one for the next jobs; one is
        # already there. The other service keeps one.
        self.assertEqual(3, sum(service == "billing" for _, service in found))

    def test_a_shortage_exists_when_one_more_machine_would_be_filled(self):
        for waiting, expected in ((SIZE, False), (SIZE + 1, True)):
            demands = [Demand(), Demand(waiting_cpu=waiting)]
            self.assertEqual(expected, has_shortage(demands, SIZE))

    def test_a_briefly_idle_machine_may_move_but_is_not_parked(self):
        """A new leader during a load peak has not seen any machine idle for long."""
        machines = [machine("m1", "billing", -1.0)]
        machines += [machine(f"k{i}", "karachi", idle=0.5) for i in range(4)]
        self.assertEqual(set(), plan(machines, billing=Demand(), karachi=Demand()))
        found = plan(machines, billing=Demand(SIZE, SIZE), karachi=Demand())
        self.assertEqual({"billing"}, {service for _, service in found})

    def test_a_service_keeps_headroom_for_its_next_jobs(self):
        machines = [machine(f"k{i}", "karachi") for i in range(4)]
        parked = set()
        while found := plan(
            [m for m in machines if m.machine not in parked], karachi=Demand()
        ):
            self.assertEqual({"standby"}, {service for _, service in found})
            parked |= {name for name, _ in found}
        self.assertEqual(3, len(parked))

    def test_idle_machines_are_parked_a_few_at_a_time(self):
        """If the leader is lost, its successor can still order the other machines."""
        machines = [machine(f"k{i}", "karachi") for i in range(20)]
        self.assertEqual(MIN_PARKED_PER_PLAN, len(plan(machines, karachi=Demand())))

    def test_parking_keeps_up_with_the_number_of_machines(self):
        """Guards against pools of a large fleet that stay up long after a peak."""
        machines = [machine(f"k{i}", "karachi") for i in range(400)]
        expected = int(len(machines) * MAX_PARKED_FRACTION)
        self.assertEqual(expected, len(plan(machines, karachi=Demand())))

    def test_unavailable_machines_do_not_move(self):
        kept = {
            "busy": {"idle": -1.0},
            "idle for a moment": {"idle": 0.5},
            "not up": {"is_up": False},
            "under upkeep": {"in_wave": True},
        }
        for name, fields in kept.items():
            machines = [machine(f"k{i}", "karachi", **fields) for i in range(3)]
            self.assertEqual(set(), plan(machines, karachi=Demand()), name)

    def test_machines_of_another_kind_are_not_brought_in(self):
        machines = [
            machine("m1", "billing", -1.0),
            machine("s1", "standby", kind="b"),
        ]
        self.assertEqual(set(), plan(machines, billing=Demand(SIZE, SIZE)))

    def test_the_minimum_number_of_machines_is_kept(self):
        machines = [machine(f"k{i}", "karachi") for i in range(6)]
        found = plan(machines, karachi=Demand(min_machines=5))
        self.assertEqual(1, len(found))

    def test_constant_demand_moves_no_machines(self):
        machines = [machine(f"k{i}", "karachi", -1.0) for i in range(2)]
        demand = Demand(running_cpu=SIZE // 2)
        self.assertEqual(set(), plan(machines, karachi=demand))

    def test_an_empty_pool_brings_in_no_more_machines_than_its_tasks_need(self):
        """Guards against all machines being moved to a service that has none."""
        machines = [machine(f"s{i}", "standby") for i in range(9)]
        found = plan(machines, billing=Demand(0, 1_000))
        self.assertEqual(2, len(found))

    def test_machines_are_not_parked_until_demand_was_observed(self):
        machines = [machine(f"k{i}", "karachi") for i in range(4)]
        found = PoolPlanner().plan(machines, {"karachi": Demand()}, "standby", False)
        self.assertEqual([], found)

    def test_a_machine_drained_for_a_wave_is_replaced(self):
        machines = [machine("k0", "karachi", -1.0, in_wave=True)]
        machines += [machine("k1", "karachi", -1.0), machine("s1", "standby")]
        found = plan(machines, karachi=Demand(running_cpu=SIZE // 2))
        self.assertEqual({("s1", "karachi")}, found)
