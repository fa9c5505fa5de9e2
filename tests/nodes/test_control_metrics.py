"""Gauges of a control node."""

from types import SimpleNamespace

from testtools import TestCase

from arbutuscleat.consensus import Role
from arbutuscleat.nodes.control_metrics import ControlMetrics
from arbutuscleat.scheduling import Copies, CopyReason, StepWaits
from arbutuscleat.wire.gen_jobs.ttypes import BeginJobs
from tests.fakes import ManualClock
from tests.fakes.jobs import JOB, OTHER_JOB, JobTableHarness, job, run, step, worker


class ControlMetricsTest(TestCase):
    def test_waiting_jobs_and_running_tasks_are_counted(self):
        harness = JobTableHarness()
        harness.apply(worker=worker())
        harness.accept(job(steps=[step(2)]))
        harness.accept(job(OTHER_JOB))
        harness.start(run(), run(index=1))
        harness.apply(worker=worker(born_ms=6), at_ms=3000)
        harness.start(run(number=2, born_ms=6))
        harness.apply(worker=worker(born_ms=7), at_ms=3000)
        harness.start(run(number=3, born_ms=7))
        harness.apply(begin_jobs=BeginJobs(job_ids=[JOB]))
        clock = ManualClock()
        status = SimpleNamespace(role=Role.LEADER, term=4, commit_index=9)
        replica = SimpleNamespace(status=lambda: status)
        step_waits = StepWaits()
        step_waits.check(harness.table, {}, [], clock.monotonic(), clock.now_ms())
        clock.advance(1.5)
        copies = Copies()
        copies.started[CopyReason.SLOW] = 3
        copies.won[CopyReason.SLOW] = 2
        copies.lost[CopyReason.SILENT] = 1
        executor = SimpleNamespace(
            sessions={"w1": SimpleNamespace(is_responsive=lambda: False)},
            step_waits=step_waits,
            copies=copies,
        )
        machine_waits = SimpleNamespace(gauges={"machines_moving": 2})
        gauges = ControlMetrics(
            replica, harness.table, executor, clock, machine_waits
        ).read()
        wait_ms = clock.now_ms() - 1_000
        expected = {
            "leads": 1,
            "term": 4,
            "commit_index": 9,
            "replica_failed": False,
            "configuration_version": 1,
            "jobs_held": 2,
            "jobs_active": 2,
            "cancelled_ids": 0,
            "checkpoint_bytes": 0,
            "workers": 1,
            "tasks_crashed": 2,
            "tasks_suspected": 1,
            'jobs_waiting{queue="approvals"}': 1,
            'oldest_wait_seconds{queue="approvals"}': wait_ms / 1000,
            'tasks_running{service="karachi"}': 1,
            "machines_moving": 2,
            "worker_sessions": 1,
            "worker_sessions_silent": 1,
            'steps_waiting{kind="finite",reason="no worker"}': 2,
            'steps_waiting_oldest_seconds{kind="finite",reason="no worker"}': 1.5,
        }
        copied = {
            ("started", "slow run"): 3,
            ("won", "slow run"): 2,
            ("lost", "silent worker"): 1,
        }
        for name in ("started", "won", "lost"):
            for reason in ("silent worker", "slow worker", "slow run"):
                gauge = f'copies_{name}{{reason="{reason}"}}'
                expected[gauge] = copied.get((name, reason), 0)
        self.assertEqual(expected, gauges)
