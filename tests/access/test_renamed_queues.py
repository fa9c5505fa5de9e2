"""Answers about accepted jobs after the configuration has changed."""

import random

from returns.result import Success
from testtools import TestCase

from arbutuscleat.access import AdmissionController, JobService
from arbutuscleat.jobs import JobTable, Queue, QueueConfig, RunOutcome, Service
from arbutuscleat.scheduling import FleetCapacity
from arbutuscleat.wire.gen_jobs.ttypes import (
    JobRequest,
    SetConfig,
    SubmitRequest,
    Verdict,
)
from tests.access.test_job_service import FakeReplica
from tests.fakes import ManualClock
from tests.fakes.jobs import JOB, OTHER_JOB, JobTableHarness, job, run, worker

FLEET = FleetCapacity(64_000, 64_000, 131_072, 0)
HOST = "berth.example"
PATH = "/approvals/"


def queue(name, path_prefix=PATH, service="karachi", host=HOST, max_attempts=3):
    return Queue(name, host, path_prefix, service, 0, max_attempts, 1.6, 600)


CONFIGS = {
    b"first": [queue("approvals")],
    b"renamed": [queue("permits", service="portal", max_attempts=1)],
    b"removed": [],
    b"name used elsewhere": [queue("approvals", "/invoices/"), queue("permits")],
    b"only elsewhere": [queue("approvals", "/invoices/", "portal")],
    b"other host": [queue("approvals", host="other.example")],
    b"prefix of the former one": [queue("all", "/")],
}


def decode_config(content):
    services = [Service("karachi", True, False), Service("portal", True, False)]
    return QueueConfig(1 + list(CONFIGS).index(content), CONFIGS[content], services)


class QuorumReplica(FakeReplica):
    """A leader that a quorum confirms."""

    def read_barrier(self, timeout):
        return Success(None)


class RenamedQueueTest(TestCase):
    """Callers know a queue by its host and path prefix, and not by its name."""

    def setUp(self):
        super().setUp()
        self.harness = JobTableHarness(config=False)
        self.harness.table = JobTable(decode_config)
        self.table = self.harness.table
        clock = ManualClock()
        admission = AdmissionController(
            self.table, clock, random.Random(1), lambda: FLEET
        )
        self.service = JobService(
            QuorumReplica(self.harness), self.table, clock, admission
        )
        self.service._leader = lambda: ""
        self.harness.apply(worker=worker())
        self.configure("first")

    def configure(self, name):
        version = 1 + list(CONFIGS).index(name.encode())
        command = SetConfig(version=version, content=name.encode())
        self.assertTrue(self.harness.apply(config=command))

    def submit(self, path=PATH + JOB, host=HOST):
        request = SubmitRequest(host=host, path=path, job=job())
        return self.service.submit(request).verdict

    def look_up(self, path=PATH + JOB, host=HOST):
        return self.service.look_up(JobRequest(host=host, path=path))

    def cancel(self):
        return self.service.cancel(JobRequest(host=HOST, path=PATH + JOB)).verdict

    def test_a_job_is_found_once_its_queue_has_another_name(self):
        """Guards against a 410 for an accepted job (review/10)."""
        self.submit()
        self.configure("renamed")
        answer = self.look_up()
        self.assertEqual((Verdict.DONE, "queued"), (answer.verdict, answer.state))

    def test_a_job_is_accepted_again_once_its_queue_has_another_name(self):
        """Guards against a 409 for a request that is sent again (review/10)."""
        self.submit()
        self.configure("renamed")
        self.assertEqual(Verdict.DONE, self.submit())
        self.assertEqual(1, len(self.table.jobs))

    def test_a_job_is_cancelled_once_its_queue_has_another_name(self):
        """Guards against a 410 for a cancel, while the task runs on (review/10)."""
        self.submit()
        self.harness.start(run())
        self.configure("renamed")
        self.assertEqual(Verdict.DONE, self.cancel())
        self.assertEqual("cancelled", self.look_up().state)
        self.assertEqual([JOB], [key.job_id for key, _ in self.table.stops_due])

    def test_a_renamed_queue_knows_what_was_cancelled_before_it_was_submitted(self):
        """Guards against a job that runs after its cancelling (review/12)."""
        self.assertEqual(Verdict.NO_JOB, self.cancel())
        self.configure("renamed")
        self.assertEqual(Verdict.NO_JOB, self.submit())

    def test_a_removed_queue_that_comes_back_knows_what_was_cancelled(self):
        """Guards against a job that runs after its cancelling (review/12)."""
        self.assertEqual(Verdict.NO_JOB, self.cancel())
        self.configure("removed")
        self.assertEqual(Verdict.NO_QUEUE, self.submit())
        self.configure("name used elsewhere")
        self.assertEqual(Verdict.NO_JOB, self.submit())
        self.assertEqual(Verdict.DONE, self.submit("/invoices/" + JOB))

    def test_a_renamed_queue_counts_the_jobs_that_wait_in_it(self):
        """Guards against `pending` of 0 after a change of the name (review/10)."""
        self.submit()
        self.configure("renamed")
        self.assertEqual(1, self.look_up(PATH).pending)

    def test_a_job_follows_its_renamed_queue_to_another_service(self):
        """Guards against starts on a service that the queue has left (review/10)."""
        self.submit()
        self.configure("renamed")
        found = self.table.jobs[JOB]
        self.assertEqual("portal", self.table.service_of(found))
        self.assertEqual("permits", self.table.queue_of(found).name)

    def test_the_attempts_of_a_renamed_queue_count_for_its_jobs(self):
        """Guards against runs beyond `max_attempts` after a rename (review/10)."""
        self.submit()
        self.configure("renamed")
        self.harness.start(run())
        self.harness.end(run(), RunOutcome.FAILED)
        self.assertEqual("failed", self.look_up().state)

    def test_a_removed_queue_that_comes_back_has_its_jobs(self):
        """Guards against a 410 after a queue was removed and added (review/10)."""
        self.submit()
        self.configure("removed")
        self.assertEqual(Verdict.NO_QUEUE, self.look_up().verdict)
        self.assertEqual(Verdict.NO_QUEUE, self.cancel())
        self.configure("name used elsewhere")
        self.assertEqual("queued", self.look_up().state)

    def test_a_name_that_moves_to_another_path_takes_no_jobs_along(self):
        """Guards against jobs that follow a name to a foreign queue (review/10)."""
        self.submit()
        self.configure("only elsewhere")
        found = self.table.jobs[JOB]
        self.assertIsNone(self.table.queue_of(found))
        self.assertEqual("karachi", self.table.service_of(found))
        self.assertEqual(Verdict.NO_JOB, self.look_up("/invoices/" + JOB).verdict)
        self.assertEqual(0, self.look_up("/invoices/").pending)
        self.assertEqual(Verdict.CONFLICT, self.submit("/invoices/" + JOB))

    def test_a_job_of_another_host_is_not_found(self):
        self.submit()
        self.configure("other host")
        answer = self.look_up(host="other.example")
        self.assertEqual(Verdict.NO_JOB, answer.verdict)

    def test_a_job_is_found_by_its_path_although_the_queue_has_a_shorter_prefix(self):
        """Guards against a 410 at the address where a job was accepted."""
        self.submit()
        self.configure("prefix of the former one")
        self.assertEqual("queued", self.look_up().state)

    def test_a_renamed_queue_keeps_its_jobs_through_a_snapshot(self):
        """Guards against a snapshot that loses where a job was submitted."""
        self.submit()
        image = self.table.image()
        self.table.restore(image)
        self.configure("renamed")
        self.assertEqual("queued", self.look_up().state)

    def test_a_job_of_a_former_version_is_found_by_the_name_of_its_queue(self):
        """Entries of former versions do not say where a job was submitted."""
        self.harness.accept(job())
        self.harness.accept(job(OTHER_JOB, queue="gone"))
        self.assertEqual("queued", self.look_up().state)
        self.assertEqual(Verdict.DONE, self.submit())
        self.assertEqual(1, self.look_up(PATH).pending)
        self.assertEqual(Verdict.NO_JOB, self.look_up(PATH + OTHER_JOB).verdict)
