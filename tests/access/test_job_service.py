"""What callers are told when they hand a job in."""

import random

from returns.result import Success
from testtools import TestCase

from arbutuscleat.access import AdmissionController, JobService
from arbutuscleat.scheduling import Fleet
from arbutuscleat.wire.gen_jobs.ttypes import SubmitRequest, Verdict
from tests.fakes import ManualClock
from tests.fakes.jobs import JOB, TableBench, job, step, worker

FLEET = Fleet(64_000, 64_000, 131_072, 0)
LONG = [step(500, cpu=64_000, estimated_ms=10_000)]


class FakeReplica:
    """A leader whose log is the table."""

    def __init__(self, bench):
        self.bench = bench

    def leads(self):
        return True

    def propose(self, payload, timeout):
        self.bench.index += 1
        return Success(self.bench.table.apply(self.bench.index, payload))


class SubmitTest(TestCase):
    def setUp(self):
        super().setUp()
        self.bench = TableBench()
        self.bench.apply(worker=worker())
        self.clock = ManualClock()
        table = self.bench.table
        self.gate = AdmissionController(
            table, self.clock, random.Random(1), lambda: FLEET
        )
        self.service = JobService(FakeReplica(self.bench), table, self.clock, self.gate)
        self.service._leader = lambda: ""

    def submit(self, job_id, steps=None):
        request = SubmitRequest(
            host="berth.example", path=f"/approvals/{job_id}", job=job(steps=steps)
        )
        return self.service.submit(request)

    def test_a_job_is_accepted_while_it_can_be_served(self):
        self.assertEqual(Verdict.DONE, self.submit(JOB).verdict)
        self.assertIn(JOB, self.bench.table.jobs)

    def test_one_behind_more_work_than_all_machines_can_do_is_refused(self):
        self.submit("1" * 16, LONG)
        self.clock.advance(1.0)
        answer = self.submit(JOB)
        self.assertEqual(Verdict.REFUSED, answer.verdict)
        self.assertTrue(answer.retry_after_ms >= 1_000)
        self.assertNotIn(JOB, self.bench.table.jobs)

    def test_a_job_that_is_held_is_never_refused(self):
        self.submit(JOB)
        self.submit("1" * 16, LONG)
        self.clock.advance(1.0)
        self.assertEqual(Verdict.DONE, self.submit(JOB).verdict)

    def test_a_job_on_its_way_into_the_log_is_not_refused(self):
        self.submit("1" * 16, LONG)
        self.clock.advance(1.0)
        with self.gate.submitting(JOB):
            self.assertEqual(Verdict.DONE, self.submit(JOB).verdict)

    def test_a_task_that_no_machine_can_hold_is_refused(self):
        answer = self.submit(JOB, [step(cpu=64_001)])
        self.assertEqual(Verdict.REFUSED, answer.verdict)
        self.assertIn("largest machine", answer.detail)
