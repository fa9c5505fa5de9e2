"""Workers that report that they leave, and reports that arrive late."""

from testtools import TestCase

from arbutuscleat.jobs import JobTable, RunOutcome, TaskKey, TaskStatus
from arbutuscleat.wire.gen_jobs.ttypes import EndRecord, RemoveWorker, RunEnds
from tests.fakes.jobs import (
    JOB,
    OTHER_JOB,
    JobTableHarness,
    decode_config,
    job,
    run,
    worker,
)

KEY = TaskKey(JOB, 0, 0, 0)


class LeavingWorkerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.begin()

    def begin(self):
        self.harness = JobTableHarness()
        self.table = self.harness.table
        self.harness.apply(worker=worker())
        self.harness.accept(job())
        self.harness.start(run())

    def leave(self):
        leaving = RemoveWorker(worker_id="w1", born_ms=5)
        return self.harness.apply(remove_worker=leaving, at_ms=3000, keeps_runs=True)

    def announce(self, **fields):
        self.harness.apply(worker=worker(**fields), at_ms=3000, keeps_runs=True)

    def task(self):
        return self.table.jobs[JOB].task(KEY)

    def test_the_runs_of_a_worker_that_leaves_are_not_ended(self):
        """Guards against a second run if a former incarnation has sent the report."""
        self.leave()
        self.assertIs(TaskStatus.RUNNING, self.task().status)
        self.announce(sequence=2)
        self.assertFalse(self.table.workers["w1"].leaving)
        self.assertIs(TaskStatus.RUNNING, self.task().status)
        self.assertEqual(set(), self.table.stops_due)

    def test_nothing_starts_on_a_worker_that_leaves(self):
        self.leave()
        self.harness.accept(job(OTHER_JOB))
        self.assertEqual([False], self.harness.start(run(OTHER_JOB)))
        self.announce(sequence=2)
        self.assertEqual([True], self.harness.start(run(OTHER_JOB)))

    def test_a_worker_that_leaves_is_removed_with_its_last_run(self):
        self.harness.accept(job(OTHER_JOB))
        self.harness.start(run(OTHER_JOB))
        self.leave()
        self.harness.end(run(OTHER_JOB), RunOutcome.DONE)
        self.assertEqual(["w1"], list(self.table.workers))
        self.harness.end(run(), RunOutcome.STOPPED)
        self.assertEqual({}, self.table.workers)
        self.assertEqual({}, self.table.runs)

    def test_a_worker_without_runs_is_removed_at_once(self):
        self.harness.end(run(), RunOutcome.DONE)
        self.leave()
        self.assertEqual({}, self.table.workers)

    def test_the_runs_of_a_drained_worker_that_leaves_are_stopped(self):
        """Guards against runs that wait for a lease after a planned end."""
        self.announce(sequence=2, draining=True)
        self.leave()
        self.assertEqual({(KEY, 1)}, self.table.stops_due)
        restored = JobTable(decode_config)
        restored.restore(self.table.image())
        self.assertEqual({(KEY, 1)}, restored.stops_due)

    def test_a_worker_that_leaves_has_not_crashed(self):
        """Guards against a task that is given up for workers that left."""
        for draining in (False, True):
            self.begin()
            self.announce(sequence=2, draining=draining)
            self.leave()
            lost = EndRecord(
                run=run(),
                outcome=int(RunOutcome.LOST),
                checkpoint="",
                unresponsive=True,
            )
            self.harness.apply(ends=RunEnds(ends=[lost], at_ms=4000))
            self.assertEqual({}, self.table.workers)
            self.assertEqual([], self.table.crash_counts.unresolved_runs())
            self.announce(sequence=3)
            self.harness.start(run(number=2))
            self.leave()
            self.announce(born_ms=9)
            task = self.task()
            self.assertEqual((0, 0), (task.crashes, task.uncertain_crashes))

    def test_the_next_incarnation_of_a_worker_that_leaves_inherits_its_runs(self):
        self.leave()
        self.announce(born_ms=9)
        self.assertEqual([("w1", 9)], list(self.table.runs))
        self.assertFalse(self.table.workers["w1"].leaving)
