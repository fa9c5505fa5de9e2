"""The mark of jobs beyond their team's rate, from the call to the log."""

import random

from testtools import TestCase

from arbutuscleat.access import AdmissionController, JobService
from arbutuscleat.jobs import QueueConfig, Service, Team, key_digest
from arbutuscleat.scheduling import FleetCapacity, RateLimit
from arbutuscleat.wire.gen_jobs.ttypes import SubmitRequest, Verdict
from tests.access.test_job_service import FakeReplica
from tests.fakes import ManualClock
from tests.fakes.jobs import QUEUE, JobTableHarness, job, step, worker

FLEET = FleetCapacity(64_000, 64_000, 131_072, 0)
ALLOWANCE = 25


class TeamSubmitTest(TestCase):
    def test_jobs_beyond_the_rate_of_the_key_s_team_are_marked_and_then_refused(self):
        harness = JobTableHarness()
        harness.apply(worker=worker())
        teams = [Team(name, frozenset([key_digest(name)])) for name in ("a", "b")]
        harness.table.config = QueueConfig(
            2, [QUEUE], [Service("karachi", True, False)], teams
        )
        clock = ManualClock()
        admission = AdmissionController(
            harness.table, clock, random.Random(1), lambda: FLEET, RateLimit()
        )
        service = JobService(FakeReplica(harness), harness.table, clock, admission)
        service._leader = lambda: ""

        def submit(number, team):
            job_id = f"{number:016x}"
            request = SubmitRequest(
                host=QUEUE.host,
                path=QUEUE.path_prefix + job_id,
                job=job(job_id, [step(2)], over_rate=True, team="b"),
                key_digest=key_digest(team),
            )
            return service.submit(request)

        answers = [submit(number, "a") for number in range(100)]
        marks = [item.record.over_rate for item in harness.table.jobs.values()]
        self.assertEqual([None] * ALLOWANCE, marks[:ALLOWANCE])
        self.assertTrue(all(marks[ALLOWANCE:]) and len(marks) > ALLOWANCE)
        self.assertEqual({Verdict.REFUSED}, {item.verdict for item in answers[50:]})
        self.assertEqual(Verdict.DONE, submit(100, "b").verdict)
        teams = {item.record.team for item in harness.table.jobs.values()}
        self.assertEqual({"a", "b"}, teams)
