"""Renewals of the lease on sessions, and what the leader does with proposals."""

from testtools import TestCase

from arbutuscleat.access import CallOutcome, LeaderProposer, SessionReporter
from arbutuscleat.access.session_reporter import RENEW_SECONDS
from arbutuscleat.execution import SessionLease
from arbutuscleat.execution.session_lease import LEASE_SECONDS
from arbutuscleat.jobs import RunOutcome, SessionHolder
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen_jobs.ttypes import (
    CancelJob,
    EndRecord,
    JobCommand,
    ProposeRequest,
    RenewAnswer,
    RenewRequest,
    RunEnds,
    Verdict,
    WorkerConditionRecord,
)
from tests.access.test_job_service import ServiceTest
from tests.fakes import ManualClock
from tests.fakes.jobs import JOB, job, run, worker

HOLDER = SessionHolder("b", "1")


class FakeReports:
    """One session, whose condition the test sets."""

    usable = True
    known = None

    def current(self):
        return {"w1": WorkerConditionRecord(worker_id="w1", usable=self.usable)}

    def changes(self, current):
        return [] if current == self.known else list(current.values())

    def acknowledge(self, reported):
        self.known = reported

    def forget(self):
        self.known = None


class FakeLeader:
    """Gives the answer that the test has set, after a time."""

    def __init__(self, clock):
        self.clock = clock
        self.requests = []
        self.seconds = 0.0
        self.answer = RenewAnswer(
            verdict=Verdict.DONE, granted=True, wants_complete=False
        )

    def call(self, method, request, seconds):
        self.clock.advance(self.seconds)
        self.requests.append(request)
        return CallOutcome(self.answer, True)


class ReplicaStatus:
    """What is read of the status of a follower."""

    commit_index = 7


class FakeReplica:
    """A follower."""

    def status(self):
        return ReplicaStatus


class SessionReporterTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.leader = FakeLeader(self.clock)
        self.lease = SessionLease(self.clock)
        self.reports = FakeReports()
        self.reporter = SessionReporter(
            self.leader, FakeReplica(), HOLDER, self.lease, self.reports, self.clock
        )

    def play(self, seconds):
        until = self.clock.monotonic() + seconds
        while self.clock.monotonic() < until:
            self.reporter.run_once()
            self.clock.advance(0.025)
        return self.leader.requests

    def test_a_change_is_reported_at_once_and_nothing_else_than_renewals(self):
        self.assertEqual(
            [1, 0], [len(r.conditions) for r in self.play(RENEW_SECONDS + 0.05)]
        )
        self.reports.usable = False
        self.assertEqual([1], [len(r.conditions) for r in self.play(0.03)][2:])

    def test_a_lease_begins_when_it_was_asked_for(self):
        """Guards against a lease that the leader takes to have run out."""
        self.leader.seconds = LEASE_SECONDS - 0.1
        self.reporter.run_once()
        self.assertTrue(self.lease.is_valid())
        self.clock.advance(0.1)
        self.assertFalse(self.lease.is_valid())

    def test_without_an_answer_the_next_report_is_complete(self):
        """Guards against a new leader that does not know the workers of a holder."""
        self.play(RENEW_SECONDS / 2)
        self.leader.answer = None
        self.reports.usable = False
        self.play(0.03)
        self.leader.answer = RenewAnswer(
            verdict=Verdict.DONE, granted=True, wants_complete=False
        )
        self.assertTrue(self.play(0.03)[-1].complete)

    def test_a_lease_that_is_not_granted_is_asked_for_again_at_once(self):
        self.leader.answer.granted = False
        self.play(0.06)
        self.assertEqual(3, len(self.leader.requests))
        self.assertFalse(self.lease.is_valid())


class HolderServiceTest(ServiceTest):
    def test_a_proposal_is_committed_and_repeated_without_effect(self):
        """Guards against a run that ends twice, after an answer that was lost."""
        self.harness.apply(worker=worker())
        self.harness.accept(job())
        self.harness.start(run())
        end = EndRecord(run=run(), outcome=int(RunOutcome.FAILED), checkpoint="")
        payload = encode(JobCommand(ends=RunEnds(ends=[end], at_ms=1)))
        for _ in range(2):
            answer = self.service.propose(ProposeRequest(command=payload))
            self.assertEqual(Verdict.DONE, answer.verdict)
        self.assertEqual(1, self.harness.table.jobs[JOB].tasks(0, 0)[0].failures)

    def test_only_commands_of_sessions_are_accepted(self):
        payload = encode(JobCommand(cancel=CancelJob(job_id=JOB, at_ms=1)))
        answer = self.service.propose(ProposeRequest(command=payload))
        self.assertEqual(Verdict.INVALID, answer.verdict)

    def test_a_command_that_cannot_be_decoded_is_refused(self):
        """Guards against a handler that ends with one malformed message."""
        answer = self.service.propose(ProposeRequest(command=b"\x0b\x00"))
        self.assertEqual(Verdict.INVALID, answer.verdict)

    def test_a_follower_grants_no_lease(self):
        self.service._replica.leads = lambda: False
        request = RenewRequest(
            holder=HOLDER.to_record(),
            sequence=1,
            applied_index=0,
            leaving=False,
            complete=True,
            conditions=[],
        )
        answer = self.service.renew(request)
        self.assertEqual((Verdict.NOT_LEADER, False), (answer.verdict, answer.granted))

    def test_a_proposal_without_an_answer_is_not_confirmed(self):
        class Silent:
            def call(self, method, request, seconds):
                return CallOutcome(None, True)

        self.assertFalse(LeaderProposer(Silent()).propose(JobCommand()))
