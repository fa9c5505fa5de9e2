"""Reasons and durations of waiting tasks."""

from collections import Counter

from testtools import TestCase

from arbutuscleat.execution import ExecutionLimits
from arbutuscleat.execution.session import HOLD_TIMEOUT_MARGIN_SECONDS as MARGIN
from arbutuscleat.jobs import RunOutcome, TaskKey
from arbutuscleat.scheduling import Planner, StepWaits, WaitReason, WorkerView
from tests.fakes.jobs import JOB, OTHER_JOB, JobTableHarness, job, run, step, worker

THIRD_JOB = "00000000000000c3"
GROUP = (JOB, 0, 0)


class StepWaitsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = JobTableHarness()
        self.harness.apply(worker=worker())
        self.step_waits = StepWaits()
        self.views = {}
        self.now = 0.0

    def add_worker(self, worker_id="w1", usable=True, **fields):
        view = WorkerView(worker(worker_id, **fields), usable, 0)
        self.views[worker_id] = view
        return view

    def check(self, seconds=1.0, unlisted=()):
        self.now += seconds
        self.step_waits.check(
            self.harness.table, self.views, unlisted, self.now, now_ms=1_000
        )
        return self.step_waits.waits()

    def reasons_of(self, **fields):
        self.harness.accept(job(steps=[step(**fields)]))
        return self.check()[0].reasons

    def test_each_worker_is_counted_under_its_first_limit(self):
        self.add_worker("w1", mem_mb=50)
        self.add_worker("w2", cpu=500)
        self.add_worker("w3", labels=["b", "r1"])
        self.add_worker("w4", usable=False).unusable_because = WaitReason.DRAINING
        self.add_worker("w5").counts[GROUP] = 1
        self.add_worker("w6").max_new_runs = 0
        self.add_worker("w7")
        expected = [
            WaitReason.MEMORY,
            WaitReason.CPU,
            WaitReason.LABEL,
            WaitReason.DRAINING,
            WaitReason.SPREAD_LIMIT,
            WaitReason.CIRCUIT_BREAKER,
            WaitReason.NOT_PLANNED,
        ]
        found = self.reasons_of(required_label="a", spread_limit=1)
        self.assertEqual(Counter(expected), found)

    def test_a_service_without_workers_is_a_reason(self):
        self.assertEqual(Counter([WaitReason.NO_WORKER]), self.reasons_of())

    def test_a_worker_on_which_the_task_failed_is_nearest_to_a_start(self):
        self.add_worker("w1")
        self.add_worker("w2", cpu=500)
        self.harness.accept(job(steps=[step(long_running=True)]))
        self.harness.start(run())
        self.harness.end(run(), RunOutcome.FAILED)
        self.assertIs(WaitReason.FAILED_RUN, self.check()[0].reason)

    def test_a_run_that_its_worker_does_not_list_is_a_reason(self):
        self.harness.accept(job(steps=[step(long_running=True)]))
        self.harness.start(run())
        unlisted = [TaskKey(JOB, 0, 0, 0)]
        checks = [self.check(unlisted=unlisted) for _ in range(4)]
        self.assertEqual([0, 0, 0, 1], [len(waits) for waits in checks])
        wait = checks[-1][0]
        self.assertEqual((WaitReason.NOT_LISTED, 1.0), (wait.reason, wait.since))

    def test_a_run_that_is_newer_than_the_list_is_no_wait(self):
        """Guards against false alarms for runs that start while a hold is open."""
        self.harness.accept(job(steps=[step(long_running=True)]))
        unlisted = [TaskKey(JOB, 0, 0, 0)]
        for number in range(1, 4):
            self.harness.start(run(number=number))
            for seconds in (0.1, ExecutionLimits().hold_wait, MARGIN):
                self.assertEqual([], self.check(seconds, unlisted))
            self.harness.end(run(number=number), RunOutcome.LOST)

    def test_a_reservation_is_no_reason_for_the_task_that_it_is_made_for(self):
        """Guards against tasks that seem to wait for themselves."""
        view = self.add_worker(cpu=2_000)
        self.harness.accept(job(OTHER_JOB))
        self.harness.start(run(OTHER_JOB))
        view.reserve(step(), (OTHER_JOB, 0, 0))
        view.max_new_runs = 1
        large = step(cpu=2_000, long_running=True, spread_limit=1)
        self.harness.accept(job(steps=[large]))
        self.harness.accept(job(THIRD_JOB))
        self.assertEqual(
            [], Planner().plan(self.harness.table, self.views, 1_000, 0.0).runs
        )
        reasons = {wait.group[0]: wait.reasons for wait in self.check()}
        self.assertEqual(Counter([WaitReason.CPU]), reasons[JOB])
        self.assertEqual(Counter([WaitReason.RESERVED]), reasons[THIRD_JOB])

    def test_a_wait_lasts_until_no_task_of_the_step_waits(self):
        self.harness.accept(job(steps=[step(2)]))
        self.harness.accept(job(OTHER_JOB, steps=[step(long_running=True)]))
        self.check()
        waits = self.check()
        self.assertEqual([OTHER_JOB, JOB], [wait.group[0] for wait in waits])
        self.assertEqual([1.0, 1.0], [wait.since for wait in waits])
        self.harness.start(run(), run(index=1))
        self.assertEqual([OTHER_JOB], [wait.group[0] for wait in self.check()])

    def test_a_wait_is_logged_each_time_its_duration_doubles(self):
        self.harness.accept(job())
        with self.assertLogs("absl", "INFO") as logs:
            for _ in range(10):
                self.check()
        text = "finite tasks waiting for %s s: 1 (no worker: 1)"
        self.assertEqual(3, len(logs.output), logs.output)
        for seconds, line in zip(("2.0", "4.0", "8.0"), logs.output, strict=True):
            self.assertIn(text % seconds, line)
