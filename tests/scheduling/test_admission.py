"""Tests of admission control under a load that exceeds the total capacity."""

from testtools import TestCase

from arbutuscleat.jobs import RunOutcome
from arbutuscleat.scheduling import (
    FleetCapacity,
    backlog_cpu_ms,
    check_memory,
    check_size,
    check_wait,
)
from tests.fakes.jobs import QUEUE, JobTableHarness, job, run, step, worker

FLEET = 64_000
CHAIN_MS = 1_000
EXPIRY_MS = 3 * (QUEUE.stretch * CHAIN_MS + QUEUE.target_latency_ms)
LIMIT = int((EXPIRY_MS - CHAIN_MS) * FLEET)
"""Largest backlog behind which a job of one second still has a value."""


class MemoryTest(TestCase):
    MOST = 8_000_000
    LARGE = 1_000_000

    def check(self, size, held, jitter=0.0):
        return check_memory(size, held, self.MOST, jitter)

    def test_large_jobs_leave_memory_to_ordinary_ones(self):
        self.assertIs(None, self.check(self.LARGE, 6_000_000))
        found = self.check(self.LARGE, 6_000_001)
        self.assertFalse(found.is_final)
        self.assertTrue(found.retry_after_ms >= 1_000)
        self.assertIs(None, self.check(1_000, 7_999_000))
        self.assertIsNot(None, self.check(1_000, 7_999_001))

    def test_a_job_that_never_fits_is_rejected_for_good(self):
        self.assertIs(None, self.check(7_000_000, 0))
        self.assertTrue(self.check(7_000_001, 0).is_final)

    def test_retry_delays_are_spread_by_jitter(self):
        found = {
            self.check(self.LARGE, self.MOST, number / 10).retry_after_ms
            for number in range(10)
        }
        self.assertEqual(10, len(found))


class WaitTest(TestCase):
    def check(self, backlog, cpu=FLEET, jitter=0.0, **fields):
        fleet = FleetCapacity(cpu, cpu, 131_072, 0)
        return check_wait([step(**fields)], QUEUE, backlog, fleet, jitter)

    def test_a_job_that_still_has_a_value_is_accepted(self):
        self.assertIs(None, self.check(LIMIT))

    def test_a_job_that_would_lose_its_value_is_rejected(self):
        self.assertIsNot(None, self.check(LIMIT + FLEET))

    def test_the_retry_delay_is_the_excess_wait(self):
        for seconds in (2, 5, 30):
            found = self.check(LIMIT + seconds * 1_000 * FLEET)
            self.assertEqual(seconds * 1_000, found.retry_after_ms)

    def test_retry_delays_are_spread_by_jitter(self):
        found = {
            self.check(2 * LIMIT, jitter=number / 10).retry_after_ms
            for number in range(10)
        }
        self.assertEqual(10, len(found))

    def test_no_job_is_rejected_for_its_wait_if_the_capacity_is_unknown(self):
        self.assertIs(None, check_wait([step()], QUEUE, 100 * LIMIT, None, 0.0))

    def test_long_running_tasks_are_not_rejected_for_their_wait(self):
        self.assertIs(None, self.check(100 * LIMIT, long_running=True))

    def test_a_burst_is_accepted_up_to_what_can_be_served(self):
        """Simulates 40 jobs per second, each needing 8 cores for a second, on two
        machines with 64 cores.
        """
        backlog = served = accepted = rejected = 0
        for tick in range(600):  # ten seconds of 1/60 s
            backlog = max(0, backlog - 2 * FLEET * 1_000 // 60)
            if tick * 40 // 60 == (tick - 1) * 40 // 60:
                continue
            if self.check(backlog, cpu=2 * FLEET) is None:
                accepted += 1
                backlog += 8_000 * 1_000
                served += backlog / (2 * FLEET) <= EXPIRY_MS
            else:
                rejected += 1
        self.assertEqual(accepted, served)
        self.assertTrue(rejected > 0)
        # The work that the machines can do during the burst and in the time after it.
        possible = (10_000 + EXPIRY_MS - CHAIN_MS) * 2 * FLEET / 8_000_000
        self.assertTrue(accepted >= 0.95 * possible, (accepted, possible))


class SizeTest(TestCase):
    def test_a_task_larger_than_every_machine_is_rejected(self):
        fleet = FleetCapacity(128_000, 64_000, 131_072, 0)
        self.assertIs(None, check_size([step(cpu=64_000)], fleet))
        found = check_size([step(), step(cpu=64_001)], fleet)
        self.assertIn("64001 thousandths of a core", found.reason)
        self.assertIn("MB", check_size([step(mem_mb=200_000)], fleet).reason)
        self.assertIn("accelerators", check_size([step(gpu=1)], fleet).reason)

    def test_the_cpu_of_a_task_that_fills_is_not_checked(self):
        fleet = FleetCapacity(64_000, 64_000, 131_072, 0)
        self.assertIs(None, check_size([step(cpu=99_000, fills=True)], fleet))

    def test_no_job_is_rejected_for_its_size_if_the_capacity_is_unknown(self):
        self.assertIs(None, check_size([step(cpu=10**6)], None))


class BacklogTest(TestCase):
    def test_the_remaining_work_of_batch_jobs_is_counted(self):
        harness = JobTableHarness()
        harness.apply(worker=worker())
        harness.accept(job(steps=[step(3), step(1, after=[0])]))
        harness.accept(job("b" * 16, steps=[step(9, long_running=True)]))
        self.assertEqual(4_000_000, backlog_cpu_ms(harness.table, "karachi"))
        harness.start(run())
        harness.end(run(), RunOutcome.DONE)
        self.assertEqual(3_000_000, backlog_cpu_ms(harness.table, "karachi"))
        self.assertEqual(0, backlog_cpu_ms(harness.table, "portal"))
