"""Commands applied to the job table: jobs, runs, gangs, workers and snapshots."""

from unittest import mock

from testtools import TestCase

from arbutuscleat.jobs import (
    AcceptResult,
    JobPhase,
    JobTable,
    RunOutcome,
    TaskKey,
    TaskStatus,
)
from arbutuscleat.wire import decode, encode
from arbutuscleat.wire.gen_jobs.ttypes import (
    AdvanceWave,
    BeginJobs,
    CancelJob,
    EndRecord,
    JobRecord,
    JobTableImage,
    OrderMachines,
    RemoveWorker,
    RunEnds,
    RunRecord,
    RunStarts,
    SetConfig,
    WaveRecord,
)
from tests.fakes.jobs import (
    JOB,
    OTHER_JOB,
    QUEUE,
    JobTableHarness,
    decode_config,
    job,
    run,
    step,
    worker,
)


class AcceptTest(TestCase):
    def test_a_resubmitted_job_is_the_same_job(self):
        harness = JobTableHarness()
        results = [harness.accept(job()), harness.accept(job())]
        self.assertEqual([AcceptResult.ACCEPTED, AcceptResult.EXISTS], results)
        self.assertEqual(1, len(harness.table.jobs))

    def test_an_id_used_in_another_queue_is_a_conflict(self):
        harness = JobTableHarness()
        harness.accept(job())
        self.assertIs(AcceptResult.CONFLICT, harness.accept(job(queue="billing")))

    def test_a_cancelled_job_stays_cancelled_when_resubmitted(self):
        harness = JobTableHarness()
        harness.accept(job())
        harness.cancel()
        self.assertIs(AcceptResult.EXISTS, harness.accept(job()))
        self.assertIs(JobPhase.CANCELLED, harness.phase())
        self.assertEqual({}, harness.table.active)

    def test_ended_jobs_are_evicted_after_the_retention_time(self):
        harness = JobTableHarness()
        harness.accept(job())
        harness.cancel()
        later = job(OTHER_JOB)
        later.accepted_at_ms = 2000 + 150_001
        harness.accept(later)
        self.assertEqual({OTHER_JOB}, set(harness.table.jobs))


class RunTest(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = JobTableHarness()
        self.harness.apply(worker=worker())
        self.harness.accept(job(steps=[step(2), step(1, after=[0])]))

    def test_a_task_starts_once(self):
        first = self.harness.start(run())
        again = self.harness.start(run(number=2, worker_id="w1"))
        self.assertEqual([[True], [False]], [first, again])

    def test_a_job_has_begun_once_a_worker_has_accepted_a_run(self):
        """Guards against jobs that nobody runs and that do not count as pending."""
        begin = {"begin_jobs": BeginJobs(job_ids=[OTHER_JOB, JOB])}
        end = EndRecord(run=run(), outcome=int(RunOutcome.STOPPED), checkpoint="")
        for change in (begin, {"ends": RunEnds(ends=[end], at_ms=2000)}):
            harness = JobTableHarness()
            harness.apply(worker=worker())
            harness.accept(job())
            harness.start(run())
            self.assertEqual(1, harness.table.pending(QUEUE))
            self.assertIs(JobPhase.QUEUED, harness.phase())
            harness.apply(**change)
            harness.table.restore(harness.table.image())
            self.assertEqual(0, harness.table.pending(QUEUE))
            self.assertIs(JobPhase.ACTIVE, harness.phase())

    def test_a_job_whose_runs_were_lost_has_not_begun(self):
        self.harness.start(run())
        self.harness.end(run(), RunOutcome.LOST)
        self.harness.table.restore(self.harness.table.image())
        self.assertEqual(1, self.harness.table.pending(QUEUE))

    def test_the_jobs_of_a_snapshot_of_a_former_version_have_begun_if_ordered(self):
        self.harness.start(run())
        image = decode(JobTableImage, self.harness.table.image())
        image.jobs[0].started = None
        self.harness.table.restore(encode(image))
        self.assertEqual(0, self.harness.table.pending(QUEUE))

    def test_an_outdated_start_is_rejected(self):
        cases = {
            "unknown worker": run(worker_id="w9"),
            "former incarnation": run(born_ms=4),
            "unknown job": run(job_id=OTHER_JOB),
            "unknown task": run(index=7),
            "a run number that is already assigned": run(number=0),
        }
        for name, record in cases.items():
            self.assertEqual([False], self.harness.start(record), name)

    def test_nothing_starts_on_a_draining_worker(self):
        self.harness.apply(worker=worker(draining=True, sequence=2))
        self.assertEqual([False], self.harness.start(run()))

    def test_no_task_of_a_cancelled_job_starts(self):
        self.harness.cancel()
        self.assertEqual([False], self.harness.start(run()))

    def test_a_job_is_complete_when_every_task_is_done(self):
        for record in (run(), run(index=1), run(step=1)):
            self.harness.start(record)
            self.assertIsNot(JobPhase.COMPLETED, self.harness.phase())
            self.harness.end(record, RunOutcome.DONE)
        self.assertIs(JobPhase.COMPLETED, self.harness.phase())
        self.assertEqual({}, self.harness.table.active)

    def test_the_end_of_an_earlier_run_changes_nothing(self):
        self.harness.start(run())
        self.harness.end(run(), RunOutcome.LOST)
        self.harness.start(run(number=2))
        self.harness.end(run(), RunOutcome.DONE)
        self.assertEqual([False], self.harness.start(run(number=3)))
        self.assertFalse(self.harness.table.jobs[JOB].is_complete())

    def test_a_job_fails_only_after_its_last_attempt(self):
        for number in (1, 2, 3):
            self.assertIs(False, self.harness.table.jobs[JOB].failed)
            self.harness.start(run(number=number))
            self.harness.end(run(number=number), RunOutcome.FAILED)
        self.assertIs(JobPhase.FAILED, self.harness.phase())
        self.assertEqual([False], self.harness.start(run(number=4)))

    def test_only_failed_runs_count_as_attempts(self):
        others = (RunOutcome.STOPPED, RunOutcome.LAPSED, RunOutcome.LOST)
        for number, outcome in enumerate(others * 2, start=1):
            self.harness.start(run(number=number))
            self.harness.end(run(number=number), outcome)
        self.assertIs(JobPhase.ACTIVE, self.harness.phase())

    def test_cancelling_a_job_marks_its_runs_to_be_stopped(self):
        self.harness.start(run())
        self.harness.cancel()
        self.assertEqual({(TaskKey(JOB, 0, 0, 0), 1)}, self.harness.table.stops_due)
        self.assertFalse(self.harness.table.is_current_run(TaskKey(JOB, 0, 0, 0), 1))

    def test_the_tasks_of_a_lost_worker_can_start_again(self):
        changes = {
            "removed": {"remove_worker": RemoveWorker(worker_id="w1", born_ms=5)},
            "started again": {"worker": worker(born_ms=6)},
            "another worker at its address": {
                "worker": worker("w2", born_ms=6, port=worker().port)
            },
        }
        for name, change in changes.items():
            harness = JobTableHarness()
            harness.apply(worker=worker())
            harness.accept(job())
            harness.start(run())
            harness.apply(**change)
            self.assertEqual({}, harness.table.runs, name)
            harness.apply(worker=worker("w3", born_ms=7))
            record = run(number=2, worker_id="w3", born_ms=7)
            self.assertEqual([True], harness.start(record), name)

    def test_removing_a_former_incarnation_changes_nothing(self):
        self.harness.start(run())
        self.harness.apply(remove_worker=RemoveWorker(worker_id="w1", born_ms=4))
        self.assertEqual(1, len(self.harness.table.runs))


class GangTest(TestCase):
    def test_a_gang_is_done_when_one_member_is_done(self):
        harness = JobTableHarness()
        harness.apply(worker=worker())
        harness.accept(job(steps=[step(3, gang=True)]))
        harness.start(run(), run(index=1), run(index=2))
        harness.end(run(index=1), RunOutcome.DONE)
        self.assertIs(JobPhase.COMPLETED, harness.phase())
        self.assertEqual({}, harness.table.runs)

    def test_a_checkpoint_of_one_member_applies_to_all_members(self):
        harness = JobTableHarness()
        harness.apply(worker=worker())
        harness.accept(job(steps=[step(2, gang=True)]))
        harness.start(run(), run(index=1))
        harness.end(run(), RunOutcome.STOPPED, "c7")
        saved = [task.checkpoint for task in harness.table.jobs[JOB].tasks(0, 0)]
        self.assertEqual(["c7", "c7"], saved)

    def test_failures_of_gang_members_are_added_up(self):
        harness = JobTableHarness()
        harness.apply(worker=worker())
        harness.accept(job(steps=[step(2, gang=True)]))
        for number, index in ((1, 0), (2, 1), (3, 0)):
            harness.start(run(number=number), run(index=1, number=number))
            harness.end(run(index=index, number=number), RunOutcome.FAILED)
            harness.end(run(index=1 - index, number=number), RunOutcome.BROKEN)
        self.assertIs(JobPhase.FAILED, harness.phase())


class WorkerTest(TestCase):
    def test_an_older_announcement_never_overwrites_a_newer_one(self):
        older = [worker(sequence=1), worker(born_ms=4, sequence=9)]
        for record in older:
            harness = JobTableHarness()
            harness.apply(worker=worker(draining=True, sequence=2))
            harness.apply(worker=record)
            self.assertTrue(harness.table.workers["w1"].draining)

    def test_a_late_announcement_does_not_reclaim_an_address(self):
        harness = JobTableHarness()
        harness.apply(worker=worker("w2", born_ms=9, port=7))
        harness.apply(worker=worker("w1", born_ms=5, port=7))
        self.assertEqual({"w2"}, set(harness.table.workers))


class ConfigTest(TestCase):
    def test_the_highest_version_is_in_force(self):
        harness = JobTableHarness()
        results = [
            harness.apply(config=SetConfig(version=version, content=b"%d" % version))
            for version in (5, 3, 5, 8)
        ]
        self.assertEqual([True, False, False, True], results)
        self.assertEqual((8, b"8"), (harness.table.config.version, b"8"))


class WaveTest(TestCase):
    def test_a_wave_is_complete_when_every_machine_is_finished(self):
        harness = JobTableHarness()
        harness.apply(
            wave=WaveRecord(
                wave=1, machines=["a", "b"], cap=1, due_at_ms=9, ordered=[], finished=[]
            )
        )
        for machine in ("a", "b"):
            self.assertFalse(harness.table.waves[1].is_complete())
            harness.apply(
                advance_wave=AdvanceWave(wave=1, machine=machine, finished=True)
            )
        self.assertTrue(harness.table.waves[1].is_complete())


class SnapshotTest(TestCase):
    def test_runs_of_ended_jobs_are_due_to_be_stopped_after_a_restore(self):
        """Guards against a cancelled task that runs on after a change of leader."""
        harness = JobTableHarness()
        harness.apply(worker=worker())
        harness.accept(job())
        harness.accept(job(OTHER_JOB))
        harness.start(run(), run(OTHER_JOB))
        harness.cancel()
        restored = JobTable(decode_config)
        restored.stops_due.add((TaskKey(OTHER_JOB, 0, 0, 0), 1))
        restored.restore(harness.table.image())
        self.assertEqual({(TaskKey(JOB, 0, 0, 0), 1)}, restored.stops_due)

    def test_a_restored_table_behaves_like_the_original(self):
        harness = JobTableHarness()
        harness.apply(worker=worker())
        harness.accept(job(steps=[step(2), step(1, after=[0])]))
        harness.accept(job(OTHER_JOB))
        harness.start(run(), run(index=1))
        harness.end(run(), RunOutcome.DONE)
        harness.cancel(OTHER_JOB)
        harness.apply(order_machines=OrderMachines(machines=["m1"], holder="a"))
        restored = JobTableHarness(config=False)
        restored.table = JobTable(decode_config)
        restored.table.restore(harness.table.image())
        self.assertEqual(harness.table.image(), restored.table.image())
        self.assertEqual("a", restored.table.machine_holders["m1"][0])
        for each in (harness, restored):
            each.end(run(index=1), RunOutcome.DONE)
            each.start(run(step=1))
            each.end(run(step=1), RunOutcome.DONE)
        self.assertEqual(JobPhase.COMPLETED, restored.phase())
        self.assertEqual(harness.table.image(), restored.table.image())


class InvalidCommandTest(TestCase):
    """Entries that a former version, or a fault, has committed to the log."""

    def setUp(self):
        super().setUp()
        self.harness = self.make_harness()

    def make_harness(self):
        harness = JobTableHarness()
        harness.apply(worker=worker())
        harness.accept(job(steps=[step(2)]))
        harness.start(run(), run(index=1))
        return harness

    def test_an_invalid_entry_does_not_end_the_replica(self):
        """Guards against replicas that fail again after each restart."""
        nothing = WaveRecord(wave=2, cap=1, due_at_ms=9)
        invalid = [
            {"accept": job(OTHER_JOB, steps=None)},
            {"accept": JobRecord(job_id=OTHER_JOB, accepted_at_ms=1)},
            {"accept": job(OTHER_JOB, steps=[step(None)])},
            {"cancel": CancelJob(job_id=JOB)},
            {"starts": RunStarts()},
            {"ends": RunEnds()},
            {"worker": worker(born_ms=None)},
            {"worker": worker(sequence=None)},
            {"wave": nothing},
            {"order_machines": OrderMachines(holder="a")},
            {"config": SetConfig(content=b"7")},
            {"config": SetConfig(version=7, content=b"no number")},
        ]
        invalid[0]["accept"].steps = None
        with mock.patch("absl.logging.exception") as log:
            for command in invalid:
                self.assertIsNone(self.harness.apply(**command), command)
        self.assertEqual(len(invalid), log.call_count)
        self.assertEqual({JOB}, set(self.harness.table.jobs))
        self.assertEqual(JobPhase.QUEUED, self.harness.phase())
        self.assertEqual(1, self.harness.table.config.version)

    def test_bytes_that_are_no_entry_do_not_end_the_replica(self):
        for payload in (b"", b"\xff" * 40, b"\x0c\x00\x01\x0b\x00\x01\x7f\xff\xff\xff"):
            self.assertIsNone(self.harness.table.apply(9, payload))

    def test_one_invalid_end_or_start_does_not_cost_the_others(self):
        """Guards against ends that are acknowledged and yet are not in the table."""
        sound = EndRecord(run=run(index=1), outcome=int(RunOutcome.DONE), checkpoint="")
        for odd in (
            EndRecord(run=run(), outcome=99, checkpoint=""),
            EndRecord(outcome=1, checkpoint=""),
            EndRecord(run=RunRecord(job_id=JOB), outcome=1, checkpoint=""),
        ):
            harness = self.make_harness()
            harness.apply(ends=RunEnds(ends=[odd, sound], at_ms=2000))
            statuses = [task.status for task in harness.table.jobs[JOB].tasks(0, 0)]
            self.assertEqual([TaskStatus.RUNNING, TaskStatus.DONE], statuses)
        self.harness.accept(job(OTHER_JOB))
        odd = RunRecord(job_id=OTHER_JOB, occurrence=0)
        result = self.harness.start(odd, run(OTHER_JOB))
        self.assertEqual([False, True], result)

    def test_a_snapshot_with_a_configuration_that_is_invalid_now_is_restored(self):
        image = self.harness.table.image()
        restored = JobTable(lambda content: int("no number"))
        restored.restore(image)
        self.assertIsNone(restored.config)
        self.assertEqual({JOB}, set(restored.jobs))
