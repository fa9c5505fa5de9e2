"""What is refused at once: a load that all machines together cannot serve."""

from testtools import TestCase

from arbutuscleat.jobs import RunOutcome
from arbutuscleat.scheduling import (
    FleetCapacity,
    backlog_cpu_ms,
    check_size,
    check_wait,
)
from tests.fakes.jobs import QUEUE, TableBench, job, run, step, worker

FLEET = 64_000
CHAIN_MS = 1_000
WORTHLESS_MS = 3 * (QUEUE.stretch * CHAIN_MS + QUEUE.target_latency_ms)
LIMIT = int((WORTHLESS_MS - CHAIN_MS) * FLEET)
"""Backlog behind which a job of one second is worth nothing."""


class WaitTest(TestCase):
    def check(self, backlog, cpu=FLEET, jitter=0.0, **fields):
        fleet = FleetCapacity(cpu, cpu, 131_072, 0)
        return check_wait([step(**fields)], QUEUE, backlog, fleet, jitter)

    def test_a_job_that_is_still_worth_something_is_accepted(self):
        self.assertIs(None, self.check(LIMIT))

    def test_a_job_that_would_be_worth_nothing_is_refused(self):
        self.assertIsNot(None, self.check(LIMIT + FLEET))

    def test_it_is_told_when_it_would_be_served(self):
        for seconds in (2, 5, 30):
            found = self.check(LIMIT + seconds * 1_000 * FLEET)
            self.assertEqual(seconds * 1_000, found.retry_after_ms)

    def test_callers_come_back_one_after_another(self):
        found = {
            self.check(2 * LIMIT, jitter=number / 10).retry_after_ms
            for number in range(10)
        }
        self.assertEqual(10, len(found))

    def test_without_knowledge_of_machines_nothing_is_refused(self):
        self.assertIs(None, check_wait([step()], QUEUE, 100 * LIMIT, None, 0.0))

    def test_lasting_tasks_are_not_refused_for_their_wait(self):
        self.assertIs(None, self.check(100 * LIMIT, long_running=True))

    def test_a_burst_is_accepted_up_to_what_can_be_served(self):
        """Played: 40 jobs a second of 8 cores for a second, on two machines of 64."""
        backlog = served = accepted = refused = 0
        for tick in range(600):  # ten seconds of 1/60 s
            backlog = max(0, backlog - 2 * FLEET * 1_000 // 60)
            if tick * 40 // 60 == (tick - 1) * 40 // 60:
                continue
            if self.check(backlog, cpu=2 * FLEET) is None:
                accepted += 1
                backlog += 8_000 * 1_000
                served += backlog / (2 * FLEET) <= WORTHLESS_MS
            else:
                refused += 1
        self.assertEqual(accepted, served)
        self.assertTrue(refused > 0)
        # All that the machines could do in the time, and what they can do after it.
        possible = (10_000 + WORTHLESS_MS - CHAIN_MS) * 2 * FLEET / 8_000_000
        self.assertTrue(accepted >= 0.95 * possible, (accepted, possible))


class SizeTest(TestCase):
    def test_a_task_larger_than_every_machine_is_refused(self):
        fleet = FleetCapacity(128_000, 64_000, 131_072, 0)
        self.assertIs(None, check_size([step(cpu=64_000)], fleet))
        found = check_size([step(), step(cpu=64_001)], fleet)
        self.assertIn("64001 thousandths of a core", found.reason)
        self.assertIn("MB", check_size([step(mem_mb=200_000)], fleet).reason)
        self.assertIn("accelerators", check_size([step(gpu=1)], fleet).reason)

    def test_a_task_that_fills_takes_what_is_left(self):
        fleet = FleetCapacity(64_000, 64_000, 131_072, 0)
        self.assertIs(None, check_size([step(cpu=99_000, fills=True)], fleet))

    def test_without_a_list_of_machines_nothing_is_known(self):
        self.assertIs(None, check_size([step(cpu=10**6)], None))


class BacklogTest(TestCase):
    def test_the_work_left_of_jobs_that_end_is_counted(self):
        bench = TableBench()
        bench.apply(worker=worker())
        bench.accept(job(steps=[step(3), step(1, after=[0])]))
        bench.accept(job("b" * 16, steps=[step(9, long_running=True)]))
        self.assertEqual(4_000_000, backlog_cpu_ms(bench.table, "karachi"))
        bench.start(run())
        bench.end(run(), RunOutcome.DONE)
        self.assertEqual(3_000_000, backlog_cpu_ms(bench.table, "karachi"))
        self.assertEqual(0, backlog_cpu_ms(bench.table, "portal"))
