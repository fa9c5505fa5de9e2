"""Crashes of workers that are counted for their tasks, and jobs that are given up."""

from testtools import TestCase

from arbutuscleat.jobs import JobPhase, JobTable, RunOutcome, TaskKey
from arbutuscleat.wire import decode, encode
from arbutuscleat.wire.gen_jobs.ttypes import (
    EndRecord,
    JobTableImage,
    RemoveWorker,
    RunEnds,
    SettleRuns,
)
from tests.fakes.jobs import (
    JOB,
    OTHER_JOB,
    JobTableHarness,
    decode_config,
    job,
    run,
    step,
    worker,
)


class CrashCountTest(TestCase):
    def setUp(self):
        super().setUp()
        self.begin()

    def begin(self):
        self.harness = JobTableHarness()
        self.born_ms = 5
        self.number = 0

    def accept(self, *job_ids, **fields):
        for job_id in job_ids or (JOB,):
            self.harness.accept(job(job_id, steps=[step(2, **fields)]))

    def start(self, *job_ids):
        """Start the first task of each job on a new incarnation of the worker."""
        self.born_ms += 1
        self.number += 1
        self.harness.apply(worker=worker(born_ms=self.born_ms))
        records = [self.run_of(job_id) for job_id in job_ids]
        self.assertEqual([True] * len(records), self.harness.start(*records))

    def run_of(self, job_id):
        return run(job_id, number=self.number, born_ms=self.born_ms)

    def remove(self, unplanned=True):
        return self.harness.apply(
            remove_worker=RemoveWorker(
                worker_id="w1", born_ms=self.born_ms, unplanned=unplanned
            ),
            at_ms=3000,
        )

    def expire_lease(self, *job_ids):
        ends = [
            EndRecord(
                run=self.run_of(job_id),
                outcome=int(RunOutcome.LOST),
                checkpoint="",
                unresponsive=True,
            )
            for job_id in job_ids
        ]
        self.harness.apply(ends=RunEnds(ends=ends, at_ms=2000))

    def crashes(self, job_id=JOB):
        return self.harness.table.jobs[job_id].task(TaskKey(job_id, 0, 0, 0)).crashes

    def restore(self):
        restored = JobTable(decode_config)
        restored.restore(self.harness.table.image())
        self.assertEqual(self.harness.table.image(), restored.image())
        self.harness.table = restored

    def test_a_job_is_failed_by_a_third_crash_with_its_own_runs_only(self):
        self.accept()
        for _ in range(3):
            self.assertIs(False, self.harness.table.jobs[JOB].failed)
            self.start(JOB)
            self.remove()
        self.assertIs(JobPhase.FAILED, self.harness.phase())
        self.assertEqual(3000, self.harness.table.jobs[JOB].ended_at_ms)

    def test_the_end_of_a_worker_counts_only_if_nobody_planned_it(self):
        """Guards against tasks that are given up for workers that left."""
        elsewhere = {"worker": worker("w2", born_ms=9, port=worker().port)}
        draining = {"worker": worker(born_ms=6, draining=True, sequence=2)}
        unplanned = RemoveWorker(worker_id="w1", born_ms=6, unplanned=True)
        cases = {
            "left": ([{"remove_worker": RemoveWorker(worker_id="w1", born_ms=6)}], 0),
            "crashed": ([{"remove_worker": unplanned}], 1),
            "restarted": ([{"worker": worker(born_ms=9)}], 1),
            "replaced": ([elsewhere], 1),
            "restarted after draining": ([draining, {"worker": worker(born_ms=9)}], 0),
            "replaced after draining": ([draining, elsewhere], 0),
            "crashed while draining": ([draining, {"remove_worker": unplanned}], 0),
            "known to have crashed already": (
                [{"remove_worker": unplanned}, elsewhere, {"remove_worker": unplanned}],
                1,
            ),
        }
        for name, (changes, count) in cases.items():
            self.begin()
            self.accept()
            self.start(JOB)
            for change in changes:
                self.harness.apply(at_ms=3000, **change)
            self.assertEqual(count, self.crashes(), name)

    def test_a_task_beside_the_one_to_blame_is_not_given_up(self):
        """Guards against jobs that are shown as failed for a task beside theirs."""
        self.accept(JOB, OTHER_JOB)
        for _ in range(2):
            self.start(JOB, OTHER_JOB)
            self.remove()
        self.start(JOB)
        self.remove()
        self.assertIs(JobPhase.FAILED, self.harness.phase(JOB))
        self.assertIs(JobPhase.QUEUED, self.harness.phase(OTHER_JOB))

    def test_no_task_starts_after_five_crashes_whatever_ran_beside_it(self):
        """Guards against a third start after three crashes."""
        self.accept(JOB, OTHER_JOB)
        for _ in range(5):
            self.assertIs(False, self.harness.table.jobs[JOB].failed)
            self.start(JOB, OTHER_JOB)
            self.remove()
        self.assertIs(JobPhase.FAILED, self.harness.phase())

    def test_a_lapsed_lease_is_a_crash_only_if_the_worker_is_replaced(self):
        """Guards against counting workers that were cut off, or missing slow ones."""
        self.accept()
        self.start(JOB)
        self.expire_lease(JOB)
        self.assertEqual(0, self.crashes())
        self.restore()
        self.number += 1
        self.harness.start(self.run_of(JOB))  # The worker responds again.
        self.harness.end(self.run_of(JOB), RunOutcome.STOPPED)
        self.remove()
        self.assertEqual(0, self.crashes())
        self.start(JOB)
        self.expire_lease(JOB)
        self.restore()
        self.harness.apply(worker=worker(born_ms=99), at_ms=3000)
        self.assertEqual(1, self.crashes())

    def test_a_draining_worker_that_ends_counts_towards_the_last_limit_only(self):
        """Guards against a third start after three crashes, one while draining."""
        self.accept(JOB, OTHER_JOB)
        for number in range(5):
            self.assertIs(False, self.harness.table.jobs[JOB].failed)
            self.start(JOB, OTHER_JOB)
            if number == 2:
                leaving = worker(born_ms=self.born_ms, draining=True, sequence=9)
                self.harness.apply(worker=leaving)
            self.remove()
            self.restore()
        self.assertEqual(4, self.crashes())
        self.assertIs(JobPhase.FAILED, self.harness.phase())

    def test_a_lapsed_lease_on_a_draining_worker_stays_uncertain_when_it_ends(self):
        """Guards against a crash that is forgotten because the worker was draining."""
        self.accept(JOB, OTHER_JOB)
        for number in range(5):
            self.assertIs(False, self.harness.table.jobs[JOB].failed)
            self.start(JOB, OTHER_JOB)
            if number == 3:
                leaving = worker(born_ms=self.born_ms, draining=True, sequence=9)
                self.harness.apply(worker=leaving)
                self.expire_lease(JOB, OTHER_JOB)
            self.remove()
        self.assertIs(JobPhase.FAILED, self.harness.phase(JOB))

    def test_a_crash_known_late_is_lone_only_if_nothing_ran_beside_it(self):
        """Guards against a job that is failed because the ones beside it are over."""
        self.accept(JOB, OTHER_JOB)
        for _ in range(2):
            self.start(JOB, OTHER_JOB)
            self.remove()
        self.start(JOB, OTHER_JOB)
        self.expire_lease(JOB, OTHER_JOB)
        self.harness.cancel(OTHER_JOB)
        self.restore()
        self.harness.apply(worker=worker(born_ms=99), at_ms=3000)
        self.assertEqual(3, self.crashes())
        self.assertIs(JobPhase.QUEUED, self.harness.phase(JOB))

    def test_log_entries_of_a_version_without_counts_count_no_crashes(self):
        """Guards against replicas that differ after an update, by what they replay."""
        self.accept()
        for _ in range(3):
            self.start(JOB)
            self.harness.apply(worker=worker(born_ms=self.born_ms + 1))
        self.assertEqual(0, self.crashes())

    def test_unresolved_runs_of_a_suspect_count_towards_the_last_limit(self):
        """Guards against further starts while crashes are not known to be ones."""
        self.accept(JOB, OTHER_JOB)
        for _ in range(4):
            self.start(JOB, OTHER_JOB)
            self.remove()
        self.start(JOB, OTHER_JOB)
        self.expire_lease(JOB)
        self.assertIs(JobPhase.FAILED, self.harness.phase())

    def test_a_new_leader_neither_forgets_nor_repeats_a_crash(self):
        """Guards against a count that a killed leader takes along."""
        self.accept()
        for count in (1, 2):
            self.start(JOB)
            self.remove()
            self.restore()
            self.assertEqual(count, self.crashes())
            self.assertFalse(self.remove())
            self.assertEqual(count, self.crashes())
            tasks = self.harness.table.crash_counts.tasks
            self.assertEqual([TaskKey(JOB, 0, 0, 0)], list(tasks))
        self.start(JOB)
        self.remove()
        self.assertEqual({}, self.harness.table.crash_counts.tasks)

    def test_a_settled_run_is_not_to_blame(self):
        """Guards against giving up a task that lasts, for crashes weeks apart."""
        self.accept(JOB, OTHER_JOB, long_running=True)
        for jobs in ([JOB, OTHER_JOB],) * 3 + ([JOB],) * 3:
            self.start(*jobs)
            self.harness.apply(settle=SettleRuns(runs=[self.run_of(JOB)]))
            self.restore()
            self.remove()
            self.assertEqual(0, self.crashes())
        # The other job was the only one whose run had not settled.
        self.assertIs(JobPhase.FAILED, self.harness.phase(OTHER_JOB))
        self.assertIs(JobPhase.QUEUED, self.harness.phase(JOB))

    def test_a_long_running_task_is_given_up_after_two_lone_crashes(self):
        self.accept(JOB, OTHER_JOB, long_running=True)
        for jobs in ([JOB, OTHER_JOB], [JOB, OTHER_JOB], [JOB], [JOB]):
            self.assertIs(False, self.harness.table.jobs[JOB].failed)
            self.start(*jobs)
            self.remove()
        self.assertIs(JobPhase.FAILED, self.harness.phase())

    def test_a_snapshot_without_crash_counts_can_be_restored(self):
        """Guards against an update that cannot read the snapshots from before it."""
        self.accept()
        self.start(JOB)
        image = decode(JobTableImage, self.harness.table.image())
        image.unresolved_runs = None
        self.harness.table.restore(encode(image))
        self.assertEqual(0, self.crashes())
        self.remove()
        self.assertEqual(1, self.crashes())
