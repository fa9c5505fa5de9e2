"""Caps of teams while the commit of starts is in doubt."""

from returns.result import Failure
from testtools import TestCase

from arbutuscleat.emulator.worker_model import WorkerModel
from arbutuscleat.jobs import Capacity, QueueConfig, RunOutcome, Service, Team
from tests.fakes import ManualClock
from tests.fakes.executor import make_executor, run_once
from tests.fakes.jobs import JOB, OTHER_JOB, QUEUE, JobTableHarness, job, step, worker

CAP = 4


class TeamStartsTest(TestCase):
    def test_starts_that_are_applied_late_do_not_exceed_the_cap(self):
        """Guards against two plans that use the cap, one of them not yet applied.

        The leader's proposal times out but stays in its log; another job is accepted,
        and the stall ends.
        """
        clock, harness = ManualClock(), JobTableHarness()
        executor = make_executor(
            harness,
            clock,
            lambda record: WorkerModel(
                clock, record.born_ms, lambda order: (None, RunOutcome.DONE)
            ),
        )
        team = Team("north", frozenset(), cap=Capacity(CAP * 1_000))
        services = [Service("karachi", True, False)]
        harness.table.config = QueueConfig(2, [QUEUE], services, [team])
        harness.apply(worker=worker("w1"))
        run_once(executor)
        replica = executor._replica
        propose, stalled = replica.propose, []

        def time_out(payload, timeout):
            stalled.append(payload)
            clock.advance(timeout)
            return Failure("not confirmed")

        harness.accept(job(steps=[step(CAP)], team="north"))
        replica.propose = time_out
        executor.run_once()
        replica.propose = propose
        self.assertEqual(1, len(stalled))
        urgent = step(CAP, cpu=900, estimated_ms=100)
        harness.accept(job(OTHER_JOB, steps=[urgent], team="north"))
        executor.run_once()
        harness.index += 1
        harness.table.apply(harness.index, stalled[0])
        executor.run_once()
        runs = [key for found in harness.table.runs.values() for key in found]
        self.assertEqual([JOB] * CAP, [key.job_id for key in runs])
