"""Tests that ends of several workers share log entries and none is lost."""

import threading
from unittest import mock

from testtools import TestCase

from arbutuscleat.core import Deadline, SystemClock
from arbutuscleat.execution import end_batcher
from arbutuscleat.execution.end_batcher import MAX_ENDS, EndBatcher
from arbutuscleat.jobs import RunOutcome, TaskKey
from arbutuscleat.wire.gen_jobs.ttypes import (
    EndRecord,
    JobCommand,
    RemoveWorker,
    RunEnds,
)

TIMEOUT = 5.0


def ends(*numbers, at_ms=0, size=0):
    records = [
        EndRecord(
            run=TaskKey("a", 0, 0, number).run_record(1, ("w", 1)),
            outcome=int(RunOutcome.DONE),
            checkpoint="c" * size,
        )
        for number in numbers
    ]
    return JobCommand(ends=RunEnds(ends=records, at_ms=at_ms))


class Log:
    """Commits a proposal once the test allows it, with the outcome that it sets."""

    def __init__(self):
        self.proposals = []
        self.may_commit = threading.Semaphore(0)
        self.is_committed = True
        self.error = None

    def propose(self, command):
        self.proposals.append(command)
        assert self.may_commit.acquire(timeout=TIMEOUT)
        if self.error is not None:
            raise self.error
        return self.is_committed

    def numbers(self):
        return [
            sorted(end.run.index for end in command.ends.ends)
            for command in self.proposals
        ]


class EndBatcherTest(TestCase):
    def setUp(self):
        super().setUp()
        self.log = Log()
        self.batcher = EndBatcher(self.log.propose, SystemClock())
        self.results = {}

    def start(self, *numbers, **fields):
        """Report some ends in a thread; return once they are in a batch."""

        def report():
            try:
                command = ends(*numbers, **fields)
                self.results[numbers[0]] = self.batcher.propose(command)
            except OSError:
                self.results[numbers[0]] = "error"

        before = self.count_reported()
        thread = threading.Thread(target=report, daemon=True)
        thread.start()
        deadline = Deadline.after(SystemClock(), TIMEOUT)
        while self.count_reported() == before:
            self.assertFalse(deadline.expired())
            thread.join(0.001)
        return thread

    def count_reported(self):
        """Return the number of ends that are proposed or in a batch that waits."""
        commands = list(self.log.proposals)
        batches = list(self.batcher._waiting)
        return sum(len(item.ends.ends) for item in [*commands, *batches])

    def finish(self, threads, commits):
        self.log.may_commit.release(commits)
        for thread in threads:
            thread.join(TIMEOUT)
            self.assertFalse(thread.is_alive())

    def test_ends_reported_during_a_commit_share_the_next_entry(self):
        threads = [self.start(number) for number in range(5)]
        self.finish(threads, 2)
        self.assertEqual([[0], [1, 2, 3, 4]], self.log.numbers())
        self.assertEqual({True}, set(self.results.values()))

    def test_an_entry_carries_the_latest_time_of_its_reports(self):
        threads = [self.start(1), self.start(2, at_ms=9), self.start(3, at_ms=5)]
        self.finish(threads, 2)
        self.assertEqual(9, self.log.proposals[1].ends.at_ms)

    def test_a_commit_that_is_not_confirmed_confirms_none_of_its_ends(self):
        """Guards against ends that are acknowledged to workers without being logged."""
        threads = [self.start(number) for number in range(3)]
        self.log.is_committed = False
        self.finish(threads, 2)
        self.assertEqual({0: False, 1: False, 2: False}, self.results)

    def test_a_proposal_that_raises_confirms_nothing_and_holds_up_nobody(self):
        self.log.error = OSError("disk")
        threads = [self.start(number) for number in range(3)]
        self.finish(threads, 2)
        self.assertEqual({0: "error", 1: "error", 2: False}, self.results)
        self.log.error = None
        self.finish([self.start(3, 4)], 1)
        self.assertTrue(self.results[3])

    def test_a_full_batch_accepts_no_further_ends(self):
        threads = [self.start(0), self.start(*range(1, MAX_ENDS + 1)), self.start(-1)]
        self.finish(threads, 3)
        self.assertEqual([1, MAX_ENDS, 1], [len(x) for x in self.log.numbers()])

    def test_a_batch_with_large_checkpoints_accepts_no_further_ends(self):
        """Guards against a log entry that no replica can take."""
        with mock.patch.object(end_batcher, "MAX_BATCH_BYTES", 8_000):
            threads = [self.start(0), self.start(1)]
            threads += [self.start(2, 3, size=4_000), self.start(4)]
            self.finish(threads, 3)
        self.assertEqual([[0], [1, 2, 3], [4]], self.log.numbers())

    def test_another_command_waits_for_no_ends(self):
        thread = self.start(0)
        remove = JobCommand(remove_worker=RemoveWorker(worker_id="w", born_ms=1))
        self.log.may_commit.release(2)
        self.assertTrue(self.batcher.propose(remove))
        thread.join(TIMEOUT)
        self.assertIs(remove, self.log.proposals[1])
