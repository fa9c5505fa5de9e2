"""Answers of the job service to submitted jobs."""

import random

from returns.result import Success
from testtools import TestCase

from arbutuscleat.access import AdmissionController, JobService
from arbutuscleat.scheduling import FleetCapacity
from arbutuscleat.wire.gen_jobs.ttypes import SubmitRequest, Verdict
from tests.fakes import ManualClock
from tests.fakes.jobs import JOB, JobTableHarness, job, step, worker

FLEET = FleetCapacity(64_000, 64_000, 131_072, 0)
LONG = [step(500, cpu=64_000, estimated_ms=10_000)]


class FakeReplica:
    """A leader that applies proposed commands to the table at once."""

    def __init__(self, harness):
        self.harness = harness

    def leads(self):
        return True

    def propose(self, payload, timeout):
        self.harness.index += 1
        return Success(self.harness.table.apply(self.harness.index, payload))


class SubmitTest(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = JobTableHarness()
        self.harness.apply(worker=worker())
        self.clock = ManualClock()
        table = self.harness.table
        self.admission = AdmissionController(
            table, self.clock, random.Random(1), lambda: FLEET
        )
        self.service = JobService(
            FakeReplica(self.harness), table, self.clock, self.admission
        )
        self.service._leader = lambda: ""

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
            lock = table.lock
            jobs = table.jobs

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
        with self.admission.submitting(JOB):
            self.assertEqual(Verdict.DONE, self.submit(JOB).verdict)

    def test_a_task_larger_than_any_machine_is_refused(self):
        answer = self.submit(JOB, [step(cpu=64_001)])
        self.assertEqual(Verdict.REFUSED, answer.verdict)
        self.assertIn("largest machine", answer.detail)
