from testtools import TestCase

from arbutuscleat.jobs import RunOutcome
from arbutuscleat.scheduling import Planner, WorkerView
from tests.fakes.jobs import JOB, OTHER_JOB, JobTableHarness, job, run, step, worker

NOW_MS = 1_000
ENDED_AT_MS = 2_000
BUSY_JOB = "00000000000000c3"


class PlannerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = JobTableHarness()
        self.workers = {}
        self.grades = {}
        self.planner = Planner()
        self.now = 0.0

    def add_worker(self, worker_id="w1", grade=0, **fields):
        record = worker(worker_id, **fields)
        self.harness.apply(worker=record)
        self.workers[worker_id] = record
        self.grades[worker_id] = grade

    def plan(self, now_ms=NOW_MS):
        views = {
            name: WorkerView(record, True, self.grades[name])
            for name, record in self.workers.items()
        }
        for view in views.values():
            for key in self.harness.table.runs.get(view.incarnation, ()):
                steps = self.harness.table.jobs[key.job_id].steps
                view.reserve(steps[key.step], key[:3])
        return self.planner.plan(self.harness.table, views, now_ms, self.now)

    def placed(self, now_ms=NOW_MS):
        return [(r.job_id, r.step, r.worker_id) for r in self.plan(now_ms).runs]

    def test_a_step_waits_for_the_steps_it_depends_on(self):
        self.add_worker()
        self.harness.accept(job(steps=[step(1), step(1, after=[0])]))
        self.assertEqual([(JOB, 0, "w1")], self.placed())
        self.harness.start(run())
        self.assertEqual([], self.placed())
        self.harness.end(run(), RunOutcome.DONE)
        self.assertEqual([(JOB, 1, "w1")], self.placed())

    def test_each_run_of_a_task_has_a_higher_number(self):
        self.add_worker()
        self.harness.accept(job())
        self.harness.start(run())
        self.harness.end(run(), RunOutcome.LOST)
        self.assertEqual([2], [record.number for record in self.plan().runs])

    def test_a_task_that_does_not_fit_is_not_placed(self):
        limits = {"cpu": 999, "mem_mb": 99, "gpu": 0}
        for name, room in limits.items():
            self.workers = {}
            self.add_worker(f"w-{name}", **{name: room})
            needs = {"gpu": 1} if name == "gpu" else {}
            self.harness = JobTableHarness()
            self.harness.accept(job(steps=[step(1, **needs)]))
            self.assertEqual([], self.placed(), name)

    def test_capacity_is_reserved_within_one_plan(self):
        self.add_worker(cpu=2_500)
        self.harness.accept(job(steps=[step(5)]))
        self.assertEqual(2, len(self.placed()))

    def test_tasks_that_fill_reserve_no_cpu(self):
        self.add_worker(cpu=1_000)
        self.harness.accept(job(steps=[step(1), step(3, cpu=9_000, fills=True)]))
        self.assertEqual(4, len(self.placed()))

    def test_a_required_label_is_met(self):
        self.add_worker("w1", labels=["a", "r1"])
        self.add_worker("w2", labels=["b", "r1"])
        self.harness.accept(job(steps=[step(1, required_label="b")]))
        self.assertEqual([(JOB, 0, "w2")], self.placed())

    def test_a_spread_limit_is_met(self):
        self.add_worker("w1")
        self.add_worker("w2")
        self.harness.accept(job(steps=[step(5, spread_limit=2)]))
        where = sorted(worker_id for _, _, worker_id in self.placed())
        self.assertEqual(["w1", "w1", "w2", "w2"], where)

    def test_the_rack_of_the_data_is_preferred(self):
        self.add_worker("w1", labels=["a", "r1"])
        self.add_worker("w2", labels=["a", "r2"])
        self.harness.accept(job(steps=[step(1, data_rack="r2")]))
        self.assertEqual([(JOB, 0, "w2")], self.placed())

    def test_a_worker_with_failed_runs_is_chosen_last(self):
        self.add_worker("w1", grade=2)
        self.add_worker("w2")
        self.harness.accept(job())
        self.assertEqual([(JOB, 0, "w2")], self.placed())

    def test_a_failed_task_is_placed_on_another_worker(self):
        self.add_worker("w1")
        self.harness.accept(job())
        self.harness.start(run())
        self.harness.end(run(), RunOutcome.FAILED)
        self.add_worker("w2")
        self.assertEqual([(JOB, 0, "w2")], self.placed())

    def test_a_gang_starts_completely_or_not_at_all(self):
        self.add_worker(cpu=2_000)
        self.harness.accept(job(steps=[step(3, gang=True)]))
        self.assertEqual([], self.placed())
        self.add_worker("w2", cpu=1_000)
        runs = self.plan().runs
        self.assertEqual((3, {1}), (len(runs), {r.number for r in runs}))

    def starve_gang(self, **fields):
        """Let a gang of two wait beside tasks of its size that arrive later.

        Return the time at which it starts. Runs take a second; they end at different
        times, so that there is never room for both tasks of the gang by itself.
        """
        for worker_id in ("w1", "w2"):
            self.add_worker(worker_id, cpu=1_000)
        self.harness.accept(job(BUSY_JOB, steps=[step(400)]))
        self.harness.start(run(BUSY_JOB), run(BUSY_JOB, index=1, worker_id="w2"))
        ends = {0: 1.0, 1: 1.5}
        gang = job(steps=[step(2, gang=True, **fields)])
        gang.accepted_at_ms = 500
        self.harness.accept(gang)
        while self.now < 10.0:
            runs = self.plan().runs
            if JOB in {record.job_id for record in runs}:
                return self.now
            for record in runs:
                self.harness.start(record)
                ends[record.index] = self.now + 1.0
            self.now += 0.25
            for index in [index for index, at in ends.items() if at <= self.now]:
                del ends[index]
                self.harness.end(run(BUSY_JOB, index=index), RunOutcome.DONE)
        return None

    def test_single_tasks_do_not_starve_a_gang(self):
        """Guards against capacity that never becomes free for all tasks at once."""
        self.assertEqual(1.5, self.starve_gang())

    def test_single_tasks_do_not_starve_a_long_running_gang(self):
        """Guards against the same for tasks without an end."""
        self.assertEqual(1.5, self.starve_gang(long_running=True))

    def test_a_rack_local_gang_is_placed_on_one_rack_if_possible(self):
        self.add_worker("w1", cpu=1_000, labels=["a", "r1"])
        self.add_worker("w2", cpu=2_000, labels=["a", "r2"])
        self.harness.accept(job(steps=[step(2, gang=True, rack_local=True)]))
        self.assertEqual(["w2", "w2"], [r.worker_id for r in self.plan().runs])

    def test_an_occurrence_starts_when_it_is_due(self):
        self.add_worker()
        self.harness.accept(job(repeat_count=2, start_at_ms=5_000, interval_ms=700))
        self.assertEqual(
            ([], 5_020), (self.placed(4_999), self.plan(4_999).next_due_ms)
        )
        self.assertEqual([0], [r.occurrence for r in self.plan(5_020).runs])
        both = [r.occurrence for r in self.plan(5_720).runs]
        self.assertEqual([0, 1], both)

    def test_long_running_tasks_come_before_others(self):
        self.add_worker(cpu=1_000)
        self.harness.accept(job())
        self.harness.accept(job(OTHER_JOB, steps=[step(1, long_running=True)]))
        self.assertEqual([(OTHER_JOB, 0, "w1")], self.placed())

    def test_a_job_that_can_meet_its_objective_comes_before_a_late_one(self):
        self.add_worker(cpu=1_000)
        self.harness.accept(job())
        later = job(OTHER_JOB)
        later.accepted_at_ms = 9_000
        self.harness.accept(later)
        self.assertEqual([(JOB, 0, "w1")], self.placed(1_500))
        self.assertEqual([(OTHER_JOB, 0, "w1")], self.placed(9_000))

    def test_a_queue_whose_service_changes_goes_to_the_new_one(self):
        self.add_worker("w1", service_name="billing")
        self.harness.accept(job(queue="dropped"))
        self.assertEqual([], self.placed())
        self.add_worker("w2")
        self.assertEqual([(JOB, 0, "w2")], self.placed())

    def test_a_task_that_failed_waits_for_another_worker(self):
        """Guards against a worker that uses up all attempts of a task in a peak."""
        self.add_worker("w1", cpu=1_000)
        self.add_worker("w2", cpu=1_000, labels=["b", "r1"])
        self.harness.accept(job())
        self.harness.start(run(worker_id="w1"))
        self.harness.end(run(worker_id="w1"), RunOutcome.FAILED)
        steps = [step(1, long_running=True, required_label="b")]
        self.harness.accept(job(OTHER_JOB, steps=steps))
        self.assertEqual([(OTHER_JOB, 0, "w2")], self.placed())

    def test_a_task_that_failed_on_the_only_worker_is_placed_there_again(self):
        self.add_worker("w1")
        self.harness.accept(job())
        self.harness.start(run())
        self.harness.end(run(), RunOutcome.FAILED)
        self.assertEqual([(JOB, 0, "w1")], self.placed())

    def occupy(self, *worker_ids, **fields):
        """Start a task of 1 core on each of these workers."""
        self.harness.accept(job(BUSY_JOB, steps=[step(len(worker_ids), **fields)]))
        for index, worker_id in enumerate(worker_ids):
            self.harness.start(run(BUSY_JOB, index=index, worker_id=worker_id))

    def fail_on_w1(self, **fields):
        """Let the first task of a job fail on w1."""
        self.harness.accept(job(steps=[step(**fields)]))
        self.harness.start(run())
        self.harness.end(run(), RunOutcome.FAILED)

    def test_a_failed_task_is_not_lost_if_its_step_is_on_all_other_workers(self):
        """Guards against a wait for workers that a spread limit rules out for good."""
        self.add_worker("w1")
        self.add_worker("w2")
        self.fail_on_w1(count=2, long_running=True, spread_limit=1)
        self.harness.start(run(index=1, worker_id="w2"))
        self.assertEqual([(JOB, 0, "w1")], self.placed())

    def test_a_failed_task_is_not_lost_if_no_other_worker_ever_gets_free(self):
        """Guards against a wait for workers that are full of long-running tasks."""
        self.add_worker("w1", cpu=1_000)
        self.add_worker("w2", cpu=1_000)
        self.occupy("w2", long_running=True)
        self.fail_on_w1(long_running=True)
        self.assertEqual([(JOB, 0, "w1")], self.placed())

    def test_a_last_attempt_waits_no_longer_if_no_other_worker_ever_gets_free(self):
        """Guards against a wait of 8 s for capacity that never gets free."""
        self.add_worker("w1", cpu=1_000, grade=3)
        self.add_worker("w2", cpu=1_000)
        self.occupy("w2", long_running=True)
        self.fail_on_w1()
        self.harness.start(run(number=2))
        self.harness.end(run(number=2), RunOutcome.FAILED)
        self.assertEqual([], self.placed())
        self.now = 2.0
        self.assertEqual([(JOB, 0, "w1")], self.placed())

    def test_a_failed_task_does_not_wait_without_end_for_a_full_worker(self):
        """Guards against tasks that are lost while another worker stays full."""
        self.add_worker("w1", cpu=1_000)
        self.add_worker("w2", cpu=1_000)
        self.occupy("w2")
        self.fail_on_w1()
        self.assertEqual([], self.placed())
        self.now = 1.9
        self.assertEqual([], self.placed())
        self.now = 2.0
        self.assertEqual([(JOB, 0, "w1")], self.placed())

    def test_a_last_attempt_is_not_used_up_on_a_worker_that_still_fails(self):
        """Guards against jobs that fail because one of two workers does."""
        self.add_worker("w1", cpu=1_000, grade=3)
        self.add_worker("w2", cpu=1_000)
        self.occupy("w2")
        self.fail_on_w1()
        self.harness.start(run(number=2))
        self.harness.end(run(number=2), RunOutcome.FAILED)
        self.assertEqual([], self.placed())
        self.now = 7.9
        self.assertEqual([], self.placed())
        self.now = 8.0
        self.assertEqual([(JOB, 0, "w1")], self.placed())

    def test_a_last_attempt_waits_no_longer_for_a_worker_that_succeeds(self):
        """Guards against late jobs beside a worker that has recovered."""
        self.add_worker("w1", cpu=1_000, grade=3)
        self.add_worker("w2", cpu=1_000)
        self.occupy("w2")
        self.fail_on_w1()
        self.harness.start(run(number=2))
        self.harness.end(run(number=2), RunOutcome.FAILED)
        self.assertEqual([], self.placed())
        self.now = 3.0
        self.assertEqual([], self.placed())
        self.grades["w1"] = 0
        self.assertEqual([(JOB, 0, "w1")], self.placed())

    def test_the_wait_for_a_full_worker_ignores_steps_of_the_time_of_day(self):
        """Guards against waits of twice the bound, and against none, after a step."""
        self.add_worker("w1", cpu=1_000)
        self.add_worker("w2", cpu=1_000)
        self.occupy("w2")
        self.fail_on_w1()
        self.assertEqual([], self.placed(ENDED_AT_MS - 1_900))
        self.now = 1.0
        self.assertEqual([], self.placed(ENDED_AT_MS + 2_400))
        self.now = 2.0
        self.assertEqual([(JOB, 0, "w1")], self.placed(ENDED_AT_MS - 1_000))

    def starts_while_failing(self, seconds):
        """Return the times of the starts of long-running tasks that fail at once."""
        found = []
        until = self.now + seconds
        while self.now < until:
            runs = self.plan().runs
            if runs:
                found.append(self.now)
                self.harness.start(*runs)
                for record in runs:
                    self.harness.end(record, RunOutcome.FAILED)
            self.now += 0.01
        return found

    def test_a_long_running_task_that_always_fails_does_not_restart_in_each_plan(self):
        """Guards against a log entry in every few milliseconds for a single task."""
        self.check_restarts_while_failing("w1")

    def test_a_long_running_task_that_fails_everywhere_does_not_either(self):
        """Guards against restarts in each plan, on one worker after the other."""
        self.check_restarts_while_failing("w1", "w2")

    def check_restarts_while_failing(self, *worker_ids):
        for worker_id in worker_ids:
            self.add_worker(worker_id)
        self.harness.accept(job(steps=[step(long_running=True)]))
        starts = self.starts_while_failing(20.0)
        waits = [b - a for a, b in zip(starts, starts[1:], strict=False)]
        self.assertTrue(waits[0] < 0.02, starts)
        self.assertTrue(len(starts) < 20, starts)
        self.assertTrue(1.0 < max(waits) < 2.0, starts)

    def test_a_long_running_task_whose_run_lasted_restarts_at_once(self):
        """Guards against delays that stay after the fault has ended."""
        self.add_worker("w1")
        self.harness.accept(job(steps=[step(long_running=True)]))
        self.starts_while_failing(5.0)
        self.now += 2.0
        records = self.plan().runs
        self.harness.start(*records)
        self.now += 5.5
        self.harness.end(records[0], RunOutcome.FAILED)
        self.assertEqual([(JOB, 0, "w1")], self.placed())

    def test_a_run_that_was_stopped_does_not_wait_for_another_worker(self):
        """Guards against waits after a run that ended for no fault of its worker."""
        self.add_worker("w1", cpu=1_000)
        self.add_worker("w2", cpu=1_000)
        self.occupy("w2")
        self.fail_on_w1()
        self.harness.start(run(number=2))
        self.harness.end(run(number=2), RunOutcome.STOPPED)
        self.assertEqual([(JOB, 0, "w1")], self.placed())

    def test_small_tasks_do_not_starve_a_long_running_task(self):
        """Guards against capacity that is given away piece by piece."""
        self.add_worker("w1", cpu=2_000)
        self.add_worker("w2", cpu=2_000)
        self.occupy("w1", "w2")
        self.harness.accept(job(steps=[step(cpu=2_000, long_running=True)]))
        self.harness.accept(job(OTHER_JOB, steps=[step(4)]))
        self.assertEqual(1, len(self.placed()))
        self.harness.end(run(BUSY_JOB), RunOutcome.DONE)
        self.assertIn((JOB, 0, "w1"), self.placed())

    def wait_for_two_workers(self, estimated_ms=1000):
        """Let two tasks wait for whole workers, on each of which 1 of 4 cores is used.

        The runs on the workers are new and of the given estimated duration.
        """
        self.add_worker("w1", cpu=4_000)
        self.add_worker("w2", cpu=4_000)
        self.occupy("w1", "w2", estimated_ms=estimated_ms)
        large = step(2, cpu=4_000, long_running=True, spread_limit=1)
        self.harness.accept(job(steps=[large]))

    def test_a_long_running_task_that_fits_does_not_wait_for_a_larger_one(self):
        """Guards against reservations that keep out other long-running tasks."""
        self.wait_for_two_workers()
        self.harness.accept(job(OTHER_JOB, steps=[step(6, long_running=True)]))
        self.assertEqual(6, len(self.placed()))

    def test_capacity_is_reserved_on_one_worker_at_a_time(self):
        """Guards against a service that is kept free for one step with large tasks."""
        self.wait_for_two_workers()
        self.harness.accept(job(OTHER_JOB, steps=[step(6)]))
        self.assertEqual([(OTHER_JOB, 0, "w2")] * 3, self.placed())

    def test_only_what_is_missing_is_reserved(self):
        """Guards against finite tasks that wait beside capacity nobody needs."""
        self.add_worker("w1", cpu=4_000)
        self.occupy("w1", cpu=2_500)
        self.harness.accept(job(steps=[step(cpu=3_000, long_running=True)]))
        self.harness.accept(job(OTHER_JOB, steps=[step(3, cpu=500)]))
        self.assertEqual(2, len(self.placed()))

    def test_a_finite_task_that_ends_in_time_uses_reserved_capacity(self):
        """Guards against small tasks that wait although they would delay nothing."""
        self.wait_for_two_workers(estimated_ms=5_000)
        short = step(3, estimated_ms=4_000, required_label="a")
        self.harness.accept(job(OTHER_JOB, steps=[short]))
        self.workers["w2"].labels = ["b", "r1"]
        self.assertEqual(3, len(self.placed()))
        self.now = 2.0
        self.assertEqual([], self.placed())

    def test_capacity_is_reserved_where_it_is_free_first(self):
        """Guards against a wait for the runs that last longest."""
        self.add_worker("w1", cpu=2_000)
        self.add_worker("w2", cpu=2_000)
        steps = [step(estimated_ms=9_000), step(estimated_ms=3_000)]
        self.harness.accept(job(BUSY_JOB, steps=steps))
        self.harness.start(run(BUSY_JOB), run(BUSY_JOB, step=1, worker_id="w2"))
        self.harness.accept(job(steps=[step(cpu=2_000, long_running=True)]))
        self.harness.accept(job(OTHER_JOB, steps=[step(2, estimated_ms=6_000)]))
        self.assertEqual([(OTHER_JOB, 0, "w1")], self.placed())

    def test_no_capacity_is_reserved_where_it_never_comes(self):
        """Guards against capacity that is kept for nothing."""
        self.add_worker("w1", cpu=4_000)
        self.occupy("w1", long_running=True)
        self.harness.accept(job(steps=[step(cpu=4_000, long_running=True)]))
        self.harness.accept(job(OTHER_JOB, steps=[step(3)]))
        self.assertEqual(3, len(self.placed()))

    def test_runs_that_exceed_their_estimate_do_not_starve_a_long_running_task(self):
        """Guards against capacity that is given away for as long as estimates err."""
        self.add_worker("w1", cpu=2_000)
        self.occupy("w1", estimated_ms=3_000)
        self.harness.accept(job(steps=[step(cpu=2_000, long_running=True)]))
        small = step(1_000, estimated_ms=500)
        self.harness.accept(job(OTHER_JOB, steps=[small]))
        ends = {(BUSY_JOB, 0): 6.0}
        while (JOB, 0, "w1") not in self.placed():
            self.assertTrue(self.now < 6.2, "not placed")
            for record in self.plan().runs:
                self.harness.start(record)
                ends[record.job_id, record.index] = self.now + 2.0
            self.now += 0.05
            for (job_id, index), at in list(ends.items()):
                if at <= self.now:
                    del ends[job_id, index]
                    record = run(job_id, index=index)
                    self.harness.end(record, RunOutcome.DONE)
