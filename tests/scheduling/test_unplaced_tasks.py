"""Tests of the search for waiting tasks that no worker of a service accepts."""

from testtools import TestCase

from arbutuscleat.scheduling import WorkerView
from arbutuscleat.scheduling.unplaced_tasks import Placement
from tests.fakes.jobs import JOB, OTHER_JOB, step, worker

GROUP = (JOB, 0, 0)
OTHER_GROUP = (OTHER_JOB, 0, 0)


class PlacementTest(TestCase):
    def setUp(self):
        super().setUp()
        self.views = [WorkerView(worker(name), True, 0) for name in ("w1", "w2")]
        self.placement = Placement(self.views)

    def unplaced(self, asked, count):
        self.placement.add(asked, GROUP, count)
        return [tasks.count for tasks in self.placement.unplaced]

    def test_tasks_beyond_the_spread_limit_are_unplaced(self):
        asked = step(5, long_running=True, spread_limit=1)
        self.views[0].reserve(asked, GROUP)
        self.assertEqual([3], self.unplaced(asked, 4))
        self.assertEqual(1, self.placement.long_running_with_room)

    def test_a_task_that_fits_in_no_single_piece_is_unplaced(self):
        """Guards against a task that waits for ever next to enough memory in sum."""
        for view in self.views:
            view.reserve(step(long_running=True, mem_mb=100_000), OTHER_GROUP)
        asked = step(long_running=True, mem_mb=40_000)
        self.assertEqual([1], self.unplaced(asked, 1))

    def test_a_task_that_fits_once_finite_runs_end_is_placed(self):
        for view in self.views:
            view.reserve(step(cpu=64_000), OTHER_GROUP)
        self.assertEqual([], self.unplaced(step(long_running=True), 2))

    def test_each_task_is_placed_on_capacity_of_its_own(self):
        asked = step(3, long_running=True, mem_mb=100_000)
        self.assertEqual([1], self.unplaced(asked, 3))

    def test_finite_tasks_are_unplaced_only_if_no_worker_can_hold_them(self):
        for view in self.views:
            view.reserve(step(cpu=64_000), OTHER_GROUP)
        self.assertEqual([], self.unplaced(step(9, cpu=64_000), 9))
        self.assertEqual([1], self.unplaced(step(9, cpu=64_001), 9))

    def test_without_workers_all_tasks_are_unplaced(self):
        self.placement = Placement([])
        self.assertEqual([3], self.unplaced(step(3, long_running=True), 3))
