from testtools import TestCase

from arbutuscleat.jobs import TaskKey
from arbutuscleat.scheduling import (
    Requirement,
    WorkerView,
    movable_tasks,
    service_demands,
)
from tests.fakes.jobs import JOB, JobTableHarness, job, run, step, worker

INCARNATION = ("w0", 5)


class MovableTest(TestCase):
    """Five long-running tasks on separate workers; one may be unavailable."""

    def setUp(self):
        super().setUp()
        self.harness = JobTableHarness()
        self.harness.accept(
            job(steps=[step(5, long_running=True, may_miss=1, spread_limit=1)])
        )
        self.views = {}
        for index in range(6):
            record = worker(f"w{index}", port=9_000 + index)
            self.harness.apply(worker=record)
            self.views[f"w{index}"] = WorkerView(record, True, 0)
        self.views["w0"].usable = False
        for index in range(5):
            record = run(index=index, worker_id=f"w{index}")
            self.harness.start(record)
            first_step = self.harness.table.jobs[JOB].steps[0]
            self.views[f"w{index}"].reserve(first_step, (JOB, 0, 0))
        self.ready_runs = {(TaskKey(JOB, 0, 0, index), 1) for index in range(5)}

    def movable(self):
        return movable_tasks(
            self.harness.table, INCARNATION, self.ready_runs, self.views
        )

    def test_one_task_moves_while_all_others_are_ready(self):
        self.assertEqual([(TaskKey(JOB, 0, 0, 0), 1)], self.movable())

    def test_none_moves_while_another_is_unavailable(self):
        self.ready_runs.discard((TaskKey(JOB, 0, 0, 3), 1))
        self.assertEqual([], self.movable())

    def test_none_moves_while_another_was_restarted_but_is_not_ready(self):
        self.ready_runs.discard((TaskKey(JOB, 0, 0, 3), 1))
        self.ready_runs.add((TaskKey(JOB, 0, 0, 3), 0))
        self.assertEqual([], self.movable())

    def test_none_moves_when_there_is_no_room_elsewhere(self):
        self.views["w5"].cpu = 10
        self.assertEqual([], self.movable())

    def test_a_worker_without_the_required_label_has_no_room(self):
        self.harness.table.jobs[JOB].steps[0].required_label = "b"
        self.assertEqual([], self.movable())

    def test_tasks_that_end_by_themselves_do_not_move(self):
        harness = JobTableHarness()
        harness.apply(worker=worker("w0"))
        harness.accept(job())
        harness.start(run(worker_id="w0"))
        self.assertEqual(
            [], movable_tasks(harness.table, INCARNATION, set(), self.views)
        )


class DemandTest(TestCase):
    def test_running_tasks_and_tasks_that_could_start_are_counted(self):
        harness = JobTableHarness()
        harness.apply(worker=worker())
        harness.accept(job(steps=[step(3), step(4, after=[0])]))
        harness.start(run())
        demand = service_demands(harness.table, ["karachi"], 1_000)["karachi"]
        self.assertEqual((1_000, 2_000), (demand.running_cpu, demand.waiting_cpu))

    def test_memory_accelerators_and_tasks_that_fill_are_counted(self):
        """Guards against pools that are full in memory and do not grow."""
        harness = JobTableHarness()
        harness.accept(job(steps=[step(3, fills=True, mem_mb=500, gpu=2)]))
        demand = service_demands(harness.table, ["karachi"], 1_000)["karachi"]
        self.assertEqual((0, 1_500, 6), (demand.cpu, demand.mem_mb, demand.gpu))

    def test_tasks_with_a_label_are_counted_separately(self):
        harness = JobTableHarness()
        labelled = step(4, required_label="b", spread_limit=1)
        harness.accept(job(steps=[step(2, spread_limit=1), labelled]))
        demand = service_demands(harness.table, ["karachi"], 1_000)["karachi"]
        part = demand.by_requirement[Requirement("b")]
        self.assertEqual((6, 4), (demand.waiting_tasks, part.waiting_tasks))
        self.assertEqual((2, 4), (demand.min_machines, part.min_machines))

    def test_a_spread_limit_requires_a_number_of_machines(self):
        harness = JobTableHarness()
        harness.accept(job(steps=[step(5, spread_limit=2)]))
        demand = service_demands(harness.table, ["karachi"], 1)["karachi"]
        self.assertEqual(3, demand.min_machines)
