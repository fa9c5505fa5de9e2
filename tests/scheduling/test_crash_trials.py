"""Placement of tasks under which workers have crashed."""

from testtools import TestCase

from arbutuscleat.jobs import RunOutcome, TaskKey
from arbutuscleat.scheduling import Planner, WaitReason, WorkerView
from arbutuscleat.scheduling.crash_trials import (
    LAST_WAIT_SECONDS,
    MAX_WAIT_SECONDS,
    TRIAL_SECONDS,
)
from arbutuscleat.scheduling.step_waits import wait_reasons
from arbutuscleat.wire.gen_jobs.ttypes import RemoveWorker, RunStarts, SettleRuns
from tests.fakes.jobs import JOB, OTHER_JOB, JobTableHarness, job, run, step, worker

BUSY_JOB = "00000000000000c3"


class CrashTrialTest(TestCase):
    def setUp(self):
        super().setUp()
        self.begin()

    def begin(self):
        self.harness = JobTableHarness()
        self.table = self.harness.table
        self.planner = Planner()
        self.now = 0.0
        for name in ("w1", "w2", "w3"):
            self.harness.apply(worker=worker(name, cpu=4_000))

    def accept(self, job_id=JOB, count=1, crashes=0, **fields):
        """Accept a job; `crashes` is the number of crashes of each of its tasks."""
        self.harness.accept(job(job_id, steps=[step(count, **fields)]))
        for index in range(count):
            task = self.table.jobs[job_id].task(TaskKey(job_id, 0, 0, index))
            if crashes:
                task.crashes = crashes
                self.table.crash_counts.tasks[task.key] = task

    def views(self):
        views = {
            name: WorkerView(record, True, 0)
            for name, record in self.table.workers.items()
        }
        for view in views.values():
            for key in self.table.runs.get(view.incarnation, ()):
                view.reserve(self.table.jobs[key.job_id].steps[key.step], key[:3])
        return views

    def plan(self):
        """Start what the planner places, and return it as pairs of job and worker."""
        plan = self.planner.plan(self.table, self.views(), 1_000, self.now)
        self.harness.apply(starts=RunStarts(runs=plan.runs))
        return [(record.job_id, record.worker_id) for record in plan.runs]

    def run_elsewhere(self, *names, job_id=BUSY_JOB, **fields):
        """Let a job have one running task on each of some workers."""
        self.accept(job_id, len(names), **fields)
        for index, name in enumerate(names):
            self.harness.start(run(job_id, index=index, worker_id=name))

    def test_a_task_with_one_crash_is_placed_as_any_other(self):
        """Guards against ordinary crashes of workers that delay tasks."""
        self.run_elsewhere("w1", "w2", "w3")
        self.accept(count=9, crashes=1)
        self.assertEqual(9, len(self.plan()))
        self.accept(OTHER_JOB)
        self.harness.end(run(JOB), RunOutcome.DONE)
        self.assertEqual(1, len(self.plan()))

    def test_tasks_of_a_crashed_worker_are_spread_by_job(self):
        """Guards against the same tasks meeting the next crash together."""
        for job_id in (JOB, OTHER_JOB, BUSY_JOB):
            self.accept(job_id, crashes=1)
        self.assertEqual(3, len({name for _, name in self.plan()}))

    def test_a_suspect_starts_alone_and_nothing_starts_beside_it(self):
        self.run_elsewhere("w1", "w2")
        self.accept(crashes=2)
        self.assertEqual([(JOB, "w3")], self.plan())
        self.accept(OTHER_JOB, 4)
        places = self.plan()
        self.assertEqual(4, len(places))
        self.assertNotIn("w3", {name for _, name in places})

    def test_a_trial_keeps_others_out_for_a_limited_time(self):
        """Guards against a long task that keeps a worker for itself."""
        self.run_elsewhere("w1", "w2", cpu=4_000)
        self.accept(crashes=2)
        self.assertEqual([(JOB, "w3")], self.plan())
        self.accept(OTHER_JOB)
        self.assertEqual([], self.plan())
        self.now += TRIAL_SECONDS
        self.assertEqual([(OTHER_JOB, "w3")], self.plan())

    def test_a_job_has_one_trial_at_a_time(self):
        """Guards against a job that crashes several workers at once as a suspect."""
        self.accept(count=6, crashes=2)
        first = self.plan()
        self.assertEqual((4, 1), (len(first), len(set(first))))
        self.assertEqual([], self.plan())

    def test_settled_long_running_tasks_may_be_beside_a_suspect(self):
        """Guards against a fleet on which no trial is ever possible."""
        self.run_elsewhere("w1", "w2", "w3", long_running=True)
        self.accept(crashes=2)
        self.assertEqual([], self.plan())
        settled = [run(BUSY_JOB, index=1, worker_id="w2")]
        self.harness.apply(settle=SettleRuns(runs=settled))
        self.assertEqual([(JOB, "w2")], self.plan())

    def test_a_worker_is_kept_free_for_a_suspect(self):
        """Guards against a suspect that starves beside a stream of small tasks."""
        self.run_elsewhere("w1", "w2", "w3", estimated_ms=2_000)
        self.accept(crashes=2)
        self.assertEqual([], self.plan())
        self.accept(OTHER_JOB, 9)
        (kept,) = {"w1", "w2", "w3"} - {name for _, name in self.plan()}
        index = ["w1", "w2", "w3"].index(kept)
        self.harness.end(run(BUSY_JOB, index=index, worker_id=kept), RunOutcome.DONE)
        self.assertEqual([(JOB, kept)], self.plan())

    def test_a_suspect_accepts_company_after_a_limited_time(self):
        """Guards against a wait that nothing ends."""
        for crashes, limit in ((2, MAX_WAIT_SECONDS), (3, LAST_WAIT_SECONDS)):
            for gang in (False, True):
                self.begin()
                self.run_elsewhere("w1", "w2", "w3")
                self.accept(crashes=crashes, gang=gang)
                self.assertEqual([], self.plan(), crashes)
                self.now += limit - 0.1
                self.assertEqual([], self.plan(), crashes)
                self.now += 0.1
                self.assertEqual(1, len(self.plan()), crashes)

    def test_capacity_is_reserved_for_a_long_running_suspect(self):
        """Guards against small tasks that take all capacity a suspect waits for."""
        for name in ("w2", "w3"):
            self.harness.apply(worker=worker(name, cpu=1_000, sequence=2))
        self.run_elsewhere("w1", cpu=2_000, estimated_ms=2_000)
        self.accept(OTHER_JOB, crashes=2, long_running=True)
        ((_, trial),) = self.plan()  # No other worker may be isolated.
        self.accept(crashes=3, cpu=4_000, long_running=True)
        self.accept("1" * 16, 2, estimated_ms=9_000)
        (left,) = {"w2", "w3"} - {trial}
        self.assertEqual([("1" * 16, left)], self.plan())

    def test_at_most_half_of_the_workers_are_isolated(self):
        """Guards against suspects that stop all other work of a service."""
        for number in range(3):
            self.accept(f"{number:016x}", crashes=2)
        self.assertEqual(1, len(self.plan()))
        self.accept(OTHER_JOB, 6)
        self.assertEqual(6, len(self.plan()))
        self.now += MAX_WAIT_SECONDS
        self.assertEqual(2, len(self.plan()))

    def test_the_only_worker_of_a_service_is_not_isolated(self):
        """Guards against ordinary tasks that wait for one trial after another."""
        for name in ("w2", "w3"):
            remove = RemoveWorker(worker_id=name, born_ms=5)
            self.harness.apply(remove_worker=remove)
        for number in range(4):
            self.accept(f"{number:016x}", crashes=2, cpu=100)
        self.accept(OTHER_JOB, cpu=100)
        self.assertEqual([OTHER_JOB], [name for name, _ in self.plan()])
        self.now += MAX_WAIT_SECONDS
        self.assertEqual(4, len(self.plan()))

    def test_a_trial_on_another_worker_than_the_kept_one_is_isolated(self):
        """Guards against other jobs' tasks that start beside a trial in small pools."""
        self.run_elsewhere("w1", "w2", "w3", estimated_ms=60_000)
        self.accept(crashes=2)
        self.assertEqual([], self.plan())
        (kept,) = self.isolated()
        other = next(name for name in ("w1", "w2", "w3") if name != kept)
        ended = run(BUSY_JOB, index=int(other[1]) - 1, worker_id=other)
        self.harness.end(ended, RunOutcome.DONE)
        self.accept(OTHER_JOB, 9, estimated_ms=90_000)
        places = self.plan()
        self.assertIn((JOB, other), places)
        self.assertNotIn((OTHER_JOB, other), places)

    def test_a_kept_worker_that_cannot_hold_the_task_any_more_is_released(self):
        """Guards against a worker that is kept free for good, for a task too large."""
        self.run_elsewhere("w1", "w2", "w3", cpu=100, estimated_ms=60_000)
        self.accept(crashes=2, cpu=4_000)
        self.plan()
        (kept,) = self.isolated()
        self.harness.apply(worker=worker(kept, cpu=3_000, sequence=9))
        (now_kept,) = self.isolated()
        self.assertNotEqual(kept, now_kept)

    def test_a_trial_avoids_the_worker_of_the_last_crash_and_failing_ones(self):
        """Guards against a job that is given up for the faults of one worker."""
        self.accept(crashes=2)
        task = self.table.jobs[JOB].task(TaskKey(JOB, 0, 0, 0))
        task.incarnation, task.number = ("w1", 5), 2
        self.harness.apply(worker=worker("w1", born_ms=9, cpu=4_000, sequence=1))
        self.assertNotIn((JOB, "w1"), self.plan())

    def isolated(self):
        """Return the workers that are isolated after the next plan."""
        views = self.views()
        self.planner.plan(self.table, views, 1_000, self.now)
        return [name for name, view in views.items() if view.isolated_for]

    def test_the_reasons_of_waiting_name_suspects_and_isolated_workers(self):
        self.run_elsewhere("w1", "w2")
        self.accept(crashes=2)
        self.plan()
        views = self.views()
        self.planner.plan(self.table, views, 1_000, self.now)
        other = self.table.jobs[BUSY_JOB].task(TaskKey(BUSY_JOB, 0, 0, 0))
        limit = views["w3"].limit(step(), other.key[:3])
        self.assertIs(WaitReason.ISOLATED, limit)
        suspect = self.table.jobs[JOB].task(TaskKey(JOB, 0, 0, 0))
        self.harness.end(run(JOB, worker_id="w3"), RunOutcome.STOPPED)
        reasons = wait_reasons(step(), suspect, [views["w1"]])
        self.assertEqual({WaitReason.CRASHES: 1}, dict(reasons))
