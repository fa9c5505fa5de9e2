"""Which checkpoints are kept, and how much memory they take."""

from unittest import mock

from testtools import TestCase

from arbutuscleat.jobs import MAX_CHECKPOINT_BYTES, JobPhase, RunOutcome, checkpoints
from tests.fakes.jobs import JOB, JobTableHarness, job, run, step, worker

LONGEST = "c" * MAX_CHECKPOINT_BYTES
TOO_LONG = "c" * (MAX_CHECKPOINT_BYTES + 1)


class CheckpointsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = JobTableHarness()
        self.table = self.harness.table
        self.harness.apply(worker=worker())

    def accept(self, count=1, **fields):
        self.harness.accept(job(steps=[step(count, **fields)]))

    def end(self, checkpoint, outcome=RunOutcome.FAILED, number=1, index=0):
        self.harness.start(run(number=number, index=index))
        self.harness.end(run(number=number, index=index), outcome, checkpoint)

    def task(self, index=0):
        return self.table.jobs[JOB].tasks(0, 0)[index]

    def saved(self):
        return [task.checkpoint for task in self.table.jobs[JOB].tasks(0, 0)]

    def test_a_failed_run_counts_whatever_its_checkpoint(self):
        """Guards against a task that starts again without end (review/13)."""
        self.accept()
        for number in (1, 2, 3):
            self.end(TOO_LONG, number=number)
        self.assertIs(JobPhase.FAILED, self.harness.phase())

    def test_a_run_that_is_done_counts_whatever_its_checkpoint(self):
        self.accept()
        self.end(TOO_LONG, RunOutcome.DONE)
        self.assertIs(JobPhase.COMPLETED, self.harness.phase())

    def test_a_task_resumes_from_its_former_checkpoint_or_from_none(self):
        """Guards against a task that resumes from a checkpoint that was cut."""
        self.accept()
        self.end(TOO_LONG, RunOutcome.STOPPED)
        self.assertEqual([""], self.saved())
        for number, outcome in ((2, RunOutcome.LAPSED), (3, RunOutcome.STOPPED)):
            self.end(LONGEST if number == 2 else TOO_LONG, outcome, number)
            self.assertEqual([LONGEST], self.saved())

    def test_the_members_of_a_gang_resume_from_the_same_checkpoint(self):
        self.accept(2, gang=True)
        self.end("c7", RunOutcome.BROKEN)
        self.end(TOO_LONG, RunOutcome.BROKEN, index=1)
        self.assertEqual(["c7", "c7"], self.saved())

    def test_a_gang_without_memory_for_all_members_keeps_the_former_one(self):
        self.accept(3, gang=True)
        self.end("c7", RunOutcome.BROKEN)
        with mock.patch.object(checkpoints, "MAX_HELD_BYTES", 5 * len(LONGEST)):
            self.end(LONGEST, RunOutcome.BROKEN, index=1)
        self.assertEqual(["c7"] * 3, self.saved())
        self.assertEqual(12, self.table.checkpoints.held_bytes)

    def test_the_memory_of_all_checkpoints_is_bounded_and_their_ends_count(self):
        """Guards against a table that workers can fill."""
        self.accept(5)
        with mock.patch.object(checkpoints, "MAX_HELD_BYTES", 4 * len(LONGEST)):
            for index in range(5):
                self.end(LONGEST, index=index)
        self.assertEqual([LONGEST] * 2 + [""] * 3, self.saved())
        self.assertEqual([1] * 5, [self.task(n).failures for n in range(5)])
        self.assertEqual(4 * len(LONGEST), self.table.checkpoints.held_bytes)

    def test_a_shorter_checkpoint_frees_memory(self):
        self.accept()
        self.end(LONGEST)
        self.end("c7", number=2)
        self.assertEqual(4, self.table.checkpoints.held_bytes)

    def test_the_checkpoint_of_a_task_that_starts_no_more_is_forgotten(self):
        self.accept(3)
        for index in range(3):
            self.end("c7", RunOutcome.STOPPED, index=index)
        self.end("c8", RunOutcome.DONE, number=2)
        self.assertEqual(["", "c7", "c7"], self.saved())
        self.harness.start(run(number=2, index=1))
        self.harness.cancel()
        self.harness.end(run(number=2, index=1), RunOutcome.STOPPED, "c9")
        self.assertEqual([""] * 3, self.saved())
        self.assertEqual(0, self.table.checkpoints.held_bytes)

    def test_all_replicas_keep_the_same_checkpoints(self):
        self.accept(2)
        self.end(LONGEST)
        self.table.restore(self.table.image())
        self.assertEqual(2 * len(LONGEST), self.table.checkpoints.held_bytes)
        self.assertEqual([LONGEST, ""], self.saved())

    def test_the_checkpoints_that_a_former_version_kept_are_not_counted(self):
        """Guards against memory that is counted for ever."""
        self.accept(2)
        self.end("", RunOutcome.DONE)
        self.task().checkpoint = "c7"  # In the snapshot of a former version.
        self.table.restore(self.table.image())
        self.assertEqual(["", ""], self.saved())
        self.assertEqual(0, self.table.checkpoints.held_bytes)
