"""Answers of the job service to submitted jobs."""

import random

from returns.result import Success
from testtools import TestCase

from arbutuscleat.access import AdmissionController, JobService
from arbutuscleat.access.job_service import LEAVE_SECONDS, MAX_BORN_AHEAD_MS
from arbutuscleat.consensus import Role
from arbutuscleat.core import MachineLimits
from arbutuscleat.jobs import RunOutcome
from arbutuscleat.jobs.job_table import ENDED_JOBS_KEPT_MS
from arbutuscleat.jobs.worker_announcement import MAX_SEQUENCE_LAG
from arbutuscleat.scheduling import FleetCapacity
from arbutuscleat.wire import decode, encode
from arbutuscleat.wire.gen_jobs.ttypes import (
    AnnounceRequest,
    CancelJob,
    JobAnswer,
    SubmitRequest,
    Verdict,
    WorkerRecord,
)
from tests.fakes import ManualClock
from tests.fakes.jobs import JOB, JobTableHarness, decode_config, job, run, step, worker

FLEET = FleetCapacity(64_000, 64_000, 131_072, 0)
LONG = [step(500, cpu=64_000, estimated_ms=10_000)]


class ReplicaStatus:
    """What is read of the status of a leader."""

    leader = "a"
    role = Role.LEADER


class FakeReplica:
    """A leader that applies proposed commands to the table at once."""

    def __init__(self, harness):
        self.harness = harness

    def leads(self):
        return True

    def status(self):
        return ReplicaStatus

    def propose(self, payload, timeout):
        self.harness.index += 1
        return Success(self.harness.table.apply(self.harness.index, payload))


class ServiceTest(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = JobTableHarness()
        self.clock = ManualClock()
        table = self.harness.table
        self.admission = AdmissionController(
            table, self.clock, random.Random(1), lambda: FLEET
        )
        self.service = JobService(
            FakeReplica(self.harness), table, self.clock, self.admission
        )
        self.service._leader = lambda: ""


class SubmitTest(ServiceTest):
    def setUp(self):
        super().setUp()
        self.harness.apply(worker=worker())

    def submit(self, job_id, steps=None):
        request = SubmitRequest(
            host="berth.example", path=f"/approvals/{job_id}", job=job(steps=steps)
        )
        return self.service.submit(request)

    def test_the_configuration_is_read_with_the_lock_of_the_table(self):
        """Guards against an answer from a table that is half restored."""
        table = self.service._table
        held = []

        class LockedTable:
            def __getattr__(self, name):
                return getattr(table, name)

            @property
            def config(self):
                held.append(table.lock._is_owned())
                return table.config

        self.service._table = LockedTable()
        self.submit(JOB)
        self.assertEqual([True], held)

    def test_a_job_is_accepted_while_there_is_capacity(self):
        self.assertEqual(Verdict.DONE, self.submit(JOB).verdict)
        self.assertIn(JOB, self.harness.table.jobs)

    def test_a_job_behind_a_backlog_too_large_for_all_machines_is_refused(self):
        self.submit("1" * 16, LONG)
        self.clock.advance(1.0)
        answer = self.submit(JOB)
        self.assertEqual(Verdict.REFUSED, answer.verdict)
        self.assertTrue(answer.retry_after_ms >= 1_000)
        self.assertNotIn(JOB, self.harness.table.jobs)

    def test_an_accepted_job_is_never_refused_when_submitted_again(self):
        self.submit(JOB)
        self.submit("1" * 16, LONG)
        self.clock.advance(1.0)
        self.assertEqual(Verdict.DONE, self.submit(JOB).verdict)

    def test_a_job_that_is_being_committed_is_not_refused(self):
        self.submit("1" * 16, LONG)
        self.clock.advance(1.0)

        def commit(condition, timeout):
            self.harness.accept(job())
            self.admission._submitting.clear()

        self.clock.wait = commit
        with self.admission.submitting(JOB):
            self.assertEqual(Verdict.DONE, self.submit(JOB).verdict)

    def test_a_job_whose_commit_takes_too_long_is_not_proposed_again(self):
        index = self.harness.index
        with self.admission.submitting(JOB):
            self.assertEqual(Verdict.UNKNOWN, self.submit(JOB).verdict)
        self.assertEqual(index, self.harness.index)

    def test_an_accepted_job_is_not_proposed_again(self):
        self.submit(JOB)
        index = self.harness.index
        self.assertEqual(Verdict.DONE, self.submit(JOB).verdict)
        self.assertEqual(index, self.harness.index)

    def test_jobs_beyond_the_memory_for_all_are_refused_and_ordinary_ones_are_not(self):
        wide = [step(10_000, cpu=0, long_running=True)]
        verdicts = [self.submit(f"{n:016x}", wide).verdict for n in range(50)]
        self.assertEqual({Verdict.DONE, Verdict.REFUSED}, set(verdicts))
        self.assertTrue(
            self.harness.table.held_bytes <= MachineLimits().memory_bytes / 3
        )
        self.assertEqual(Verdict.DONE, self.submit(JOB).verdict)
        self.assertEqual(Verdict.DONE, self.submit(f"{0:016x}", wide).verdict)

    def test_ended_jobs_make_room_once_their_states_need_not_be_kept(self):
        """Guards against a table that is full for good, as only new jobs evict."""
        wide = [step(10_000, cpu=0, long_running=True)]
        number = 0
        while self.submit(f"{number:016x}", wide).verdict == Verdict.DONE:
            number += 1
        for ended in range(number):
            self.harness.apply(
                cancel=CancelJob(job_id=f"{ended:016x}", at_ms=self.clock.now_ms())
            )
        self.assertEqual(Verdict.REFUSED, self.submit("f" * 16, wide).verdict)
        self.clock.advance(ENDED_JOBS_KEPT_MS / 1000 + 1.0)
        self.assertEqual(Verdict.DONE, self.submit("f" * 16, wide).verdict)
        self.assertEqual(["f" * 16], list(self.harness.table.jobs))

    def test_a_job_larger_than_the_memory_for_all_is_refused_for_good(self):
        answer = self.submit(JOB, [step(1_000_000, cpu=0, long_running=True)])
        self.assertEqual(Verdict.INVALID, answer.verdict)
        self.assertIn("memory", answer.detail)

    def test_the_answer_to_a_job_behind_an_endless_backlog_can_be_sent(self):
        """Guards against a wait that the message to the entry instance cannot hold."""
        most = 2**31 - 1
        large = step(10_000, cpu=64_000, estimated_ms=most)
        for number in range(1, 4):
            self.harness.accept(job(str(number) * 16, [large]))
        self.clock.advance(1.0)
        answer = self.submit(JOB)
        self.assertEqual(Verdict.REFUSED, answer.verdict)
        self.assertEqual(answer, decode(JobAnswer, encode(answer)))

    def test_a_task_larger_than_any_machine_is_refused(self):
        answer = self.submit(JOB, [step(cpu=64_001)])
        self.assertEqual(Verdict.REFUSED, answer.verdict)
        self.assertIn("largest machine", answer.detail)

    def test_an_announced_change_of_capacity_is_in_force_at_once(self):
        """Guards against starts on a worker whose capacity has shrunk."""
        for number, capacity in enumerate(
            ({"cpu": 1_000}, {"mem_mb": 50}, {"gpu": 1}, {"cpu": 64_000}), start=2
        ):
            record = worker(sequence=number, **capacity)
            self.service.announce(AnnounceRequest(worker=record))
            self.assertEqual(record, self.harness.table.workers["w1"])
            index = self.harness.index
            repeated = worker(sequence=number + 1, **capacity)
            self.service.announce(AnnounceRequest(worker=repeated))
            self.assertEqual(index, self.harness.index)


class AnnounceTest(ServiceTest):
    def announce(self, **fields):
        """Announce a worker and return the verdict."""
        request = AnnounceRequest(worker=worker(**fields), leaving=False)
        return self.service.announce(request).verdict

    def stored(self):
        return self.harness.table.workers["w1"]

    def test_a_start_time_far_ahead_does_not_block_later_announcements(self):
        """Guards against an id under which no worker is ever known again."""
        for ahead_ms in (MAX_BORN_AHEAD_MS + 1, 1 << 61):
            born_ms = self.clock.now_ms() + ahead_ms
            self.assertEqual(Verdict.INVALID, self.announce(born_ms=born_ms))
        self.assertEqual({}, self.harness.table.workers)
        now_ms = self.clock.now_ms()
        self.assertEqual(Verdict.DONE, self.announce(born_ms=now_ms))
        self.assertEqual(now_ms, self.stored().born_ms)

    def test_the_clock_of_a_worker_may_be_ahead_by_some_hours(self):
        born_ms = self.clock.now_ms() + MAX_BORN_AHEAD_MS
        self.assertEqual(Verdict.DONE, self.announce(born_ms=born_ms))
        self.assertEqual(born_ms, self.stored().born_ms)

    def test_a_start_time_far_ahead_in_the_log_is_replaced(self):
        """Guards against entries of logs written before the check."""
        for stored in ("w1", "w2"):
            self.harness.apply(worker=worker(stored, born_ms=1 << 61, port=7))
            self.assertEqual(Verdict.DONE, self.announce(born_ms=5, port=7))
            self.assertEqual(["w1"], list(self.harness.table.workers))
            self.assertEqual(5, self.stored().born_ms)

    def test_a_service_that_is_not_configured_does_not_take_an_address(self):
        """Guards against the loss of all runs of the sound worker at that address."""
        self.announce()
        self.harness.accept(job())
        self.harness.start(run())
        verdict = self.announce(
            worker_id="w2", born_ms=9, service_name="nobody", port=worker().port
        )
        self.assertEqual(Verdict.INVALID, verdict)
        self.assertEqual(["w1"], list(self.harness.table.workers))
        self.assertEqual([("w1", 5)], list(self.harness.table.runs))

    def test_the_runs_of_a_worker_that_restarts_are_not_ended(self):
        """Guards against a second run while an order can start on the restarted one."""
        self.announce()
        self.harness.accept(job())
        self.harness.start(run())
        self.assertEqual(Verdict.DONE, self.announce(born_ms=9))
        self.assertEqual([("w1", 9)], list(self.harness.table.runs))

    def test_a_delayed_leave_of_a_former_incarnation_ends_no_run(self):
        """Guards against a second run beside one of the worker that came back."""
        self.announce(draining=True)
        self.announce(born_ms=9)
        self.harness.accept(job())
        self.harness.start(run(born_ms=9))
        self.assertEqual(Verdict.DONE, self.leave())
        self.assertEqual([("w1", 9)], list(self.harness.table.runs))
        index = self.harness.index
        self.announce(born_ms=9, sequence=2)
        self.assertEqual(index + 1, self.harness.index)
        self.assertFalse(self.stored().leaving)

    def test_a_drained_worker_may_leave_once_its_runs_have_ended(self):
        """Guards against a planned end that cuts off a run without its checkpoint."""
        self.announce()
        self.harness.accept(job())
        self.harness.start(run())
        self.announce(sequence=2, draining=True)
        before = self.clock.monotonic()
        self.assertEqual(Verdict.UNKNOWN, self.leave())
        waited = self.clock.monotonic() - before
        self.assertAlmostEqual(LEAVE_SECONDS, waited)
        self.harness.end(run(), RunOutcome.STOPPED, "c7")
        self.assertEqual({}, self.harness.table.workers)
        self.assertEqual(Verdict.DONE, self.leave())

    def leave(self):
        record = WorkerRecord(worker_id="w1", born_ms=0)
        request = AnnounceRequest(worker=record, leaving=True)
        return self.service.announce(request).verdict

    def test_a_worker_may_come_before_the_configuration_of_its_service(self):
        self.harness.table.config = None
        self.assertEqual(Verdict.DONE, self.announce(service_name="nobody"))
        self.harness.table.config = decode_config(b"1")
        for draining in (False, True):
            verdict = self.announce(service_name="nobody", draining=draining)
            self.assertEqual(Verdict.DONE, verdict)
        self.assertTrue(self.stored().draining)

    def test_a_sequence_number_far_ahead_does_not_block_later_announcements(self):
        """Guards against a worker that can never report that it drains."""
        self.announce(sequence=1 << 61)
        self.assertEqual(Verdict.DONE, self.announce(sequence=4, draining=True))
        self.assertTrue(self.stored().draining)
        self.assertEqual(4, self.stored().sequence)

    def test_a_delayed_announcement_changes_nothing(self):
        self.announce(sequence=MAX_SEQUENCE_LAG + 1, draining=True)
        for sequence in (1, MAX_SEQUENCE_LAG):
            self.assertEqual(Verdict.DONE, self.announce(sequence=sequence))
            self.assertTrue(self.stored().draining)
