from testtools import TestCase

from arbutuscleat.scheduling import (
    Demand,
    FleetCapacity,
    PoolMachine,
    PoolPlanner,
    Requirement,
    UnplacedTasks,
    has_shortage,
)
from arbutuscleat.scheduling.pool_planner import (
    MAX_PARKED_FRACTION,
    MIN_PARKED_PER_PLAN,
)
from tests.fakes.jobs import JOB, step

GROUP = (JOB, 0, 0)
SIZE = 64_000
MEMORY = 131_072
FLEET = FleetCapacity(cpu=SIZE, max_cpu=SIZE, max_mem_mb=MEMORY, max_gpu=0)


def machine(name, service, idle=10.0, **fields):
    values = {"kind": "a", "cpu": SIZE, "is_up": True, "in_wave": False, **fields}
    return PoolMachine(machine=name, service_name=service, idle_seconds=idle, **values)


def plan(machines, **demands):
    found = PoolPlanner().plan(machines, demands, "standby").moves
    return {(move.machine, move.service_name) for move in found}


class PoolPlannerTest(TestCase):
    def test_waiting_tasks_bring_in_standby_machines(self):
        machines = [machine("m1", "billing", -1.0), machine("s1", "standby")]
        found = plan(machines, billing=Demand(SIZE, SIZE, waiting_tasks=1))
        self.assertEqual({("s1", "billing")}, found)

    def test_waiting_tasks_bring_in_idle_machines_of_another_service(self):
        machines = [machine("m1", "billing", -1.0)]
        machines += [machine(f"k{i}", "karachi") for i in range(4)]
        found = plan(
            machines, billing=Demand(SIZE, SIZE, waiting_tasks=1), karachi=Demand()
        )
        # 2.7 machines with headroom, rounded up, plus one for the next jobs; one is
        # already there. The other service keeps one.
        self.assertEqual(3, sum(service == "billing" for _, service in found))

    def test_a_service_is_short_once_no_machine_is_left(self):
        machines = [machine("m1", "billing", -1.0), machine("s1", "standby")]
        for waiting, short in ((SIZE // 4, frozenset()), (SIZE, {"billing"})):
            demand = Demand(SIZE // 4, waiting, waiting_tasks=1)
            found = PoolPlanner().plan(machines, {"billing": demand}, "standby")
            self.assertEqual(short, found.short)

    def test_a_shortage_exists_when_one_more_machine_would_be_filled(self):
        for waiting, expected in ((SIZE, False), (SIZE + 1, True)):
            demands = [Demand(), Demand(waiting_cpu=waiting)]
            self.assertEqual(expected, has_shortage(demands, FLEET))

    def test_a_briefly_idle_machine_may_move_but_is_not_parked(self):
        """A new leader during a load peak has not seen any machine idle for long."""
        machines = [machine("m1", "billing", -1.0)]
        machines += [machine(f"k{i}", "karachi", idle=0.5) for i in range(4)]
        self.assertEqual(set(), plan(machines, billing=Demand(), karachi=Demand()))
        found = plan(
            machines, billing=Demand(SIZE, SIZE, waiting_tasks=1), karachi=Demand()
        )
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
        self.assertEqual(
            set(), plan(machines, billing=Demand(SIZE, SIZE, waiting_tasks=1))
        )

    def test_the_minimum_number_of_machines_is_kept(self):
        machines = [machine(f"k{i}", "karachi") for i in range(6)]
        found = plan(machines, karachi=Demand(min_machines=5))
        self.assertEqual(1, len(found))

    def test_constant_demand_moves_no_machines(self):
        machines = [machine(f"k{i}", "karachi", -1.0) for i in range(2)]
        demand = Demand(running_cpu=SIZE // 2)
        self.assertEqual(set(), plan(machines, karachi=demand))

    def test_a_pool_that_is_full_in_memory_brings_in_a_machine(self):
        """Guards against tasks that wait for memory while machines are off."""
        machines = [machine("m1", "billing", -1.0, mem_mb=MEMORY)]
        machines += [machine(f"s{i}", "standby", mem_mb=MEMORY) for i in range(4)]
        demand = Demand(running_mem_mb=MEMORY, waiting_mem_mb=100, waiting_tasks=1)
        found = plan(machines, billing=demand)
        self.assertEqual({("s0", "billing"), ("s1", "billing")}, found)
        self.assertTrue(has_shortage([Demand(waiting_mem_mb=MEMORY + 1)], FLEET))

    def test_a_task_with_a_label_brings_in_a_machine_with_it(self):
        """Guards against tasks that wait for a label that only parked machines have."""
        machines = [machine(f"m{i}", "billing", labels=("a",)) for i in range(4)]
        machines += [machine("s0", "standby", labels=("a",))]
        machines += [machine("s1", "standby", kind="b", labels=("b",))]
        part = Demand(waiting_cpu=1_000, waiting_tasks=1)
        demand = Demand(1_000, 0, by_requirement={Requirement("b"): part})
        self.assertIn(("s1", "billing"), plan(machines, billing=demand))

    def test_accelerators_bring_in_a_machine_that_has_them(self):
        machines = [machine("m0", "billing", -1.0, gpu=0)]
        machines += [machine("s0", "standby"), machine("s1", "standby", gpu=4)]
        part = Demand(waiting_gpu=2, waiting_tasks=1)
        demand = Demand(waiting_gpu=2, by_requirement={Requirement("", 1): part})
        self.assertEqual({("s1", "billing")}, plan(machines, billing=demand))

    def test_a_label_that_no_machine_has_brings_in_none(self):
        """Guards against all machines being moved for tasks that none can run."""
        machines = [machine("m0", "billing", -1.0)]
        machines += [machine(f"s{i}", "standby") for i in range(9)]
        part = Demand(waiting_cpu=5 * SIZE, min_machines=8, waiting_tasks=5)
        demand = Demand(0, 5 * SIZE, by_requirement={Requirement("b"): part})
        self.assertEqual(set(), plan(machines, billing=demand))

    def test_an_empty_pool_brings_in_no_more_machines_than_its_tasks_need(self):
        """Guards against all machines being moved to a service that has none."""
        machines = [machine(f"s{i}", "standby") for i in range(9)]
        found = plan(machines, billing=Demand(0, 1_000, waiting_tasks=1))
        self.assertEqual(2, len(found))

    def test_the_last_machine_with_a_needed_label_is_not_parked(self):
        machines = [machine(f"m{i}", "karachi", labels=("a",)) for i in range(3)]
        machines += [machine("b", "karachi", idle=99.0, kind="b", labels=("b",))]
        part = Demand(waiting_cpu=1_000, waiting_tasks=1)
        demand = Demand(0, 1_000, by_requirement={Requirement("b"): part})
        self.assertNotIn(("b", "standby"), plan(machines, karachi=demand))

    def test_a_machine_without_a_usable_worker_is_replaced(self):
        """Guards against spread tasks that wait because one of the workers is gone."""
        machines = [machine(f"k{i}", "karachi", -1.0) for i in range(2)]
        machines += [machine("k2", "karachi", in_service=False)]
        machines += [machine("s0", "standby"), machine("s1", "standby")]
        demand = Demand(min_machines=3, waiting_tasks=1)
        self.assertEqual({("s0", "karachi")}, plan(machines, karachi=demand))

    def test_a_machine_that_has_not_left_yet_is_called_back(self):
        """Guards against an idle worker drained for a move while tasks wait."""
        machines = [machine("k0", "karachi", -1.0)]
        machines += [machine("k1", "standby", is_up=False, leaving="karachi")]
        machines += [machine("s0", "standby"), machine("s1", "standby")]
        demand = Demand(SIZE, SIZE, waiting_tasks=1)
        expected = {("k1", "karachi"), ("s0", "karachi"), ("s1", "karachi")}
        self.assertEqual(expected, plan(machines, karachi=demand))

    def test_unplaced_tasks_bring_in_as_many_machines_as_they_fill(self):
        """Guards against a long-running task that waits for ever next to room."""
        machines = [machine(f"k{i}", "karachi", -1.0) for i in range(4)]
        machines += [machine(f"s{i}", "standby", mem_mb=MEMORY) for i in range(4)]
        asked = step(5, long_running=True, spread_limit=2)
        demand = Demand(waiting_tasks=3, unplaced=(UnplacedTasks(GROUP, asked, 3),))
        expected = {("s0", "karachi"), ("s1", "karachi")}
        self.assertEqual(expected, plan(machines, karachi=demand))

    def test_unplaced_tasks_that_no_machine_can_hold_are_unmet(self):
        machines = [machine("s0", "standby", mem_mb=MEMORY)]
        asked = step(long_running=True, mem_mb=MEMORY + 1)
        tasks = UnplacedTasks(GROUP, asked, 1)
        demand = Demand(waiting_tasks=1, unplaced=(tasks,))
        found = PoolPlanner().plan(machines, {"karachi": demand}, "standby")
        self.assertEqual([("karachi", tasks)], found.unmet)

    def test_no_machine_is_parked_while_a_long_running_task_waits_for_room(self):
        """Guards against a worker that is drained just before a task starts on it."""
        machines = [machine(f"k{i}", "karachi") for i in range(4)]
        found = plan(machines, karachi=Demand(has_tasks_with_room=True))
        self.assertEqual(set(), found)

    def test_machines_are_not_parked_until_demand_was_observed(self):
        machines = [machine(f"k{i}", "karachi") for i in range(4)]
        found = PoolPlanner().plan(machines, {"karachi": Demand()}, "standby", False)
        self.assertEqual([], found.moves)

    def test_a_machine_drained_for_a_wave_is_replaced(self):
        machines = [machine("k0", "karachi", -1.0, in_wave=True)]
        machines += [machine("k1", "karachi", -1.0), machine("s1", "standby")]
        found = plan(machines, karachi=Demand(running_cpu=SIZE // 2))
        self.assertEqual({("s1", "karachi")}, found)
