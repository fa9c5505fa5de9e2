"""Submissions that arrive after their job was cancelled (review/12)."""

import threading
from unittest import mock

from testtools import TestCase

from arbutuscleat.jobs import cancelled_ids
from arbutuscleat.jobs.cancelled_ids import CANCELLED_IDS_KEPT_MS
from arbutuscleat.jobs.job_table import ENDED_JOBS_KEPT_MS
from arbutuscleat.wire import decode
from arbutuscleat.wire.gen_jobs.ttypes import CancelJob, JobCommand, Verdict
from tests.fakes.jobs import JOB, OTHER_JOB
from tests.fakes.teams import TeamService, job_request

DONE, NO_JOB = Verdict.DONE, Verdict.NO_JOB


class CancelledBeforeSubmittedTest(TestCase):
    """Guards against a job that runs after its cancelling was answered with 410."""

    def setUp(self):
        super().setUp()
        self.calls = TeamService()
        self.calls.configure({})
        self.jobs = self.calls.table.jobs

    def test_a_submission_after_the_cancelling_is_not_accepted(self):
        self.assertEqual(NO_JOB, self.calls.cancel())
        self.assertEqual(NO_JOB, self.calls.submit())
        self.assertEqual(NO_JOB, self.calls.look_up())
        self.assertEqual({}, self.jobs)
        self.assertEqual(DONE, self.calls.submit(job_id=OTHER_JOB))

    def test_the_log_orders_a_submission_and_a_cancelling_that_overtakes_it(self):
        """Both find no job when they are called; the submission is committed first."""
        replica = self.calls.replica
        proposed = threading.Event()
        committed = threading.Event()
        propose = replica.propose

        def propose_late(payload, timeout):
            if decode(JobCommand, payload).accept is not None:
                result = propose(payload, timeout)
                proposed.set()
                committed.wait(5.0)
                return result
            return propose(payload, timeout)

        verdicts = []
        with mock.patch.object(replica, "propose", propose_late):
            caller = threading.Thread(
                target=lambda: verdicts.append(self.calls.submit())
            )
            caller.start()
            proposed.wait(5.0)
            self.assertEqual(DONE, self.calls.cancel())
            committed.set()
            caller.join()
        self.assertEqual([DONE], verdicts)
        self.assertEqual("cancelled", self.jobs[JOB].phase().value)

    def test_an_entry_behind_the_cancelling_in_the_log_is_not_accepted(self):
        """A submission that the leader checked before the cancelling was committed."""
        replica = self.calls.replica
        propose = replica.propose

        def propose_overtaken(payload, timeout):
            if decode(JobCommand, payload).accept is not None:
                command = CancelJob(
                    job_id=JOB,
                    at_ms=self.calls.clock.now_ms(),
                    host="berth.example",
                    path_prefix="/approvals/",
                )
                self.calls.harness.apply(cancel=command)
            return propose(payload, timeout)

        with mock.patch.object(replica, "propose", propose_overtaken):
            self.assertEqual(NO_JOB, self.calls.submit())
        self.assertEqual({}, self.jobs)

    def test_the_cancelling_outlives_a_restart(self):
        self.calls.cancel()
        table = self.calls.table
        table.restore(table.image())
        self.assertEqual(NO_JOB, self.calls.submit())

    def test_a_cancelling_that_is_sent_again_is_not_committed_again(self):
        """Guards against a log that a client fills with one id."""
        self.calls.cancel()
        committed = self.calls.harness.index
        for _ in range(3):
            self.calls.clock.advance(10.0)
            self.assertEqual(NO_JOB, self.calls.cancel())
        self.assertEqual(committed, self.calls.harness.index)

    def test_an_id_is_free_again_later(self):
        self.calls.cancel()
        self.calls.clock.advance(CANCELLED_IDS_KEPT_MS / 1000)
        self.assertEqual(DONE, self.calls.submit())

    def test_a_cancelled_id_is_kept_as_long_as_an_ended_job(self):
        """A late submission is then refused for the same time, whoever came first."""
        self.assertTrue(CANCELLED_IDS_KEPT_MS >= ENDED_JOBS_KEPT_MS)

    def test_a_cancelling_for_which_there_is_no_room_is_refused(self):
        """Guards against a 410 that does not hold."""
        with mock.patch.object(cancelled_ids, "MAX_CANCELLED_IDS", 2):
            self.calls.cancel()
            request = job_request(None, OTHER_JOB)
            committed = self.calls.harness.index
            answer = self.calls.service.cancel(request)
            self.assertEqual(committed, self.calls.harness.index)
        self.assertEqual(Verdict.REFUSED, answer.verdict)
        self.assertEqual(CANCELLED_IDS_KEPT_MS, answer.retry_after_ms)
        self.assertEqual(DONE, self.calls.submit(job_id=OTHER_JOB))

    def test_a_known_job_is_cancelled_although_no_room_is_left(self):
        self.calls.submit()
        with mock.patch.object(cancelled_ids, "MAX_CANCELLED_IDS", 0):
            self.assertEqual(DONE, self.calls.cancel())

    def test_what_can_be_no_job_is_not_kept(self):
        committed = self.calls.harness.index
        for path in ("", "x", "f" * 17):
            self.assertEqual(NO_JOB, self.calls.cancel(job_id=path))
        self.assertEqual(committed, self.calls.harness.index)


class OwnersTest(TestCase):
    def test_a_team_cannot_keep_another_one_from_an_id(self):
        """Guards against a DELETE that touches the jobs of another team."""
        calls = TeamService()
        calls.configure({"berths": ["b1"], "ledger": ["l1"]})
        self.assertEqual(NO_JOB, calls.cancel("l1"))
        self.assertEqual(DONE, calls.submit("b1"))
        self.assertEqual(NO_JOB, calls.cancel("l1"))
        self.assertEqual("queued", calls.table.jobs[JOB].phase().value)
        self.assertEqual(DONE, calls.cancel("b1"))

    def test_a_job_that_another_team_gets_meanwhile_is_not_cancelled(self):
        """Its cancelling was checked against a job that has been forgotten since."""
        calls = TeamService()
        calls.configure({"berths": ["b1"], "ledger": ["l1"]})
        calls.submit("b1")
        command = CancelJob(
            job_id=JOB,
            at_ms=1,
            host="berth.example",
            path_prefix="/approvals/",
            team="ledger",
        )
        calls.harness.apply(cancel=command)
        self.assertEqual("queued", calls.table.jobs[JOB].phase().value)
