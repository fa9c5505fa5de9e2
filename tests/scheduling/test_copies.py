"""When the planner makes copies, and where; the tests name the load they answer."""

from testtools import TestCase

from arbutuscleat.jobs import Capacity, RunOutcome, Team
from arbutuscleat.scheduling import Planner, WorkerView
from arbutuscleat.scheduling.copies import MAX_CREDIT
from arbutuscleat.scheduling.copy_cases import SILENT_SECONDS, SLOW_FACTOR
from arbutuscleat.scheduling.copy_room import MAX_SILENT_SHARE
from arbutuscleat.scheduling.run_ratios import HISTORY, MIN_RUNS, RunRatios
from tests.fakes.jobs import JOB, JobTableHarness, job, run, step, worker

FULL_JOB = "00000000000000f0"


class CopiesTest(TestCase):
    """Eight workers of four cores on four racks; tasks of one core and one second."""

    def setUp(self):
        super().setUp()
        self.begin()

    def begin(self, **fields):
        self.harness = JobTableHarness()
        self.table = self.harness.table
        self.planner = Planner()
        self.now = 0.0
        self.silent = set()
        self.numbers = 0
        for number in range(8):
            labels = ["a", f"r{number % 4}"]
            self.harness.apply(worker=worker(f"w{number}", cpu=4_000, labels=labels))
        self.accept(JOB, **fields)

    def accept(self, job_id, count=1, **fields):
        steps = [step(count, **{"speculative": True, **fields})]
        self.harness.accept(job(job_id, steps=steps))
        return self.plan()

    def plan(self):
        views = {}
        for name, record in self.table.workers.items():
            view = views[name] = WorkerView(record, name not in self.silent, 0)
            view.is_silent = name in self.silent
            for key in self.table.runs.get(view.incarnation, ()):
                step_of_run = self.table.jobs[key.job_id].steps[key.step]
                view.reserve(step_of_run, key[:3])
        runs = self.planner.plan(self.table, views, 10**6, self.now).runs
        if runs:
            self.harness.start(*runs)
        return runs

    def plan_after(self, seconds):
        self.now += seconds
        return self.plan()

    def place(self, job_id=JOB):
        (found,) = [
            name
            for (name, _), runs in self.table.runs.items()
            for key in runs
            if key.job_id == job_id
        ]
        return found

    def fall_silent(self):
        self.silent.add(self.place())
        self.plan()
        return self.plan_after(SILENT_SECONDS + 0.01)

    def finish(self, count, seconds=1.0):
        """Let jobs of one task each run to their end, one after the other."""
        for _ in range(count):
            self.numbers += 1
            (record,) = [r for r in self.accept(f"{self.numbers:016x}") if not r.beside]
            self.now += seconds
            self.harness.end(record, RunOutcome.DONE)
        self.plan()

    def test_a_run_on_a_silent_worker_gets_one_copy_on_another_rack(self):
        (record,) = self.fall_silent()
        self.assertEqual((2, True), (record.number, record.beside))
        labels = {w: item.labels[1] for w, item in self.table.workers.items()}
        (first,) = self.silent
        self.assertNotEqual(labels[first], labels[record.worker_id])
        self.assertEqual([], self.plan_after(1.0))

    def test_a_single_lost_answer_makes_no_copy(self):
        self.silent.add(self.place())
        self.plan()
        self.assertEqual([], self.plan_after(SILENT_SECONDS / 2))
        self.silent.clear()
        self.plan()
        self.silent.add(self.place())
        self.assertEqual([], self.plan_after(SILENT_SECONDS / 2 + 0.01))

    def test_only_steps_that_permit_it_get_copies(self):
        cases = (
            {"speculative": False},
            {"speculative": None},
            {"gang": True},
            {"long_running": True},
            {"fills": True},
        )
        for fields in cases:
            self.begin(**fields)
            self.assertEqual([], self.fall_silent(), fields)

    def test_nothing_is_copied_while_a_task_of_the_service_waits(self):
        """32 cores, one of them used, and 33 tasks that ask for one each."""
        self.silent.add(self.place())
        self.plan()
        self.now += SILENT_SECONDS + 0.01
        started = self.accept(FULL_JOB, count=33, speculative=False)
        self.assertFalse(any(record.beside for record in started))
        self.assertEqual([], self.plan_after(1.0))

    def test_a_task_that_no_worker_can_hold_does_not_prevent_copies(self):
        self.accept(FULL_JOB, cpu=5_000)
        self.assertEqual(1, len(self.fall_silent()))

    def test_copies_leave_room_idle(self):
        """26 of the 28 cores that answer are in use; one copy would leave one idle."""
        self.silent.add(self.place())
        self.accept(FULL_JOB, count=26, speculative=False)
        self.assertEqual([], self.plan_after(SILENT_SECONDS + 0.01))

    def test_copies_take_a_share_of_the_room(self):
        """Four tasks on each of two workers fall silent; six workers answer."""
        self.begin(count=8)
        self.silent = {name for name, _ in self.table.runs}
        self.plan()
        copied = self.plan_after(SILENT_SECONDS + 0.01) + self.plan_after(1.0)
        room = sum(4 for name in self.table.workers if name not in self.silent)
        self.assertEqual(int(MAX_SILENT_SHARE * room), len(copied))

    def test_suspects_and_last_attempts_get_no_copies(self):
        task = self.table.jobs[JOB].tasks(0, 0)[0]
        for name, value in (("crashes", 1), ("uncertain_crashes", 1), ("failures", 2)):
            setattr(task, name, value)
            self.assertEqual([], self.fall_silent(), name)
            setattr(task, name, 0)
        self.assertEqual(1, len(self.plan_after(1.0)))

    def test_teams_with_a_cap_get_no_copies(self):
        self.table.jobs[JOB].record.team = "payroll"
        for cap, expected in ((Capacity(cpu=9_000), 0), (Capacity(), 1)):
            team = Team("payroll", frozenset(), cap=cap)
            self.table.config.teams = {"payroll": team}
            found = self.fall_silent() + self.plan_after(1.0)
            self.assertEqual(expected, len(found), cap)
            self.silent.clear()
            self.plan()

    def test_a_run_far_over_what_is_usual_gets_a_copy(self):
        self.finish(MIN_RUNS)
        self.accept(FULL_JOB)
        self.assertEqual([], self.plan_after(SLOW_FACTOR - 0.1))
        copied = self.plan_after(0.5)
        self.assertEqual([FULL_JOB], [record.job_id for record in copied])

    def test_a_run_whose_worker_did_not_answer_for_a_time_is_not_slow(self):
        """Guards against copies of all runs after a holder of sessions was cut off."""
        self.finish(MIN_RUNS)
        self.accept(FULL_JOB)
        self.silent.add(self.place(FULL_JOB))
        self.plan_after(SILENT_SECONDS / 2)
        self.silent.clear()
        self.assertEqual([], self.plan_after(SLOW_FACTOR + 1.0))

    def test_a_run_is_not_slow_if_most_of_its_step_takes_as_long(self):
        self.finish(MIN_RUNS)
        started = self.accept(FULL_JOB, count=3)
        self.assertEqual([], self.plan_after(SLOW_FACTOR + 0.5))
        self.harness.end(started[0], RunOutcome.DONE)
        copied = self.plan_after(0.5)
        self.assertEqual([1, 2], sorted(record.index for record in copied))

    def test_a_run_on_a_slow_worker_gets_a_copy_if_that_saves_time(self):
        """Tasks of one and of four seconds on a worker that takes three times that."""
        for seconds, expected in ((1.0, 0), (4.0, 1)):
            self.begin(estimated_ms=round(1000 * seconds))
            ratios = self.planner.copies._cases.ratios
            for number in range(20):
                ratios.record(("approvals", 0, False), f"x{number}", 1.0, 1.0)
            for _ in range(5):
                ratios.record(("approvals", 0, False), self.place(), 3.0, 1.0)
            copied = self.plan_after(seconds + 0.31)
            self.assertEqual(expected, len(copied), seconds)

    def test_estimates_alone_make_no_run_slow(self):
        """The first runs of a kind, and a kind whose estimates are three times low."""
        self.assertEqual([], self.plan_after(9.0))
        self.harness.end(run(worker_id=self.place()), RunOutcome.DONE)
        self.finish(HISTORY, seconds=3.0)
        self.accept(FULL_JOB)
        self.assertEqual([], self.plan_after(4.0))

    def test_copies_of_slow_runs_become_few_while_they_are_not_done_first(self):
        """Tasks that take long wherever they run, 20 in a row."""
        self.finish(MIN_RUNS)
        copied = 0
        for number in range(20):
            job_id = f"{number:015x}f"
            (record,) = self.accept(job_id)
            copied += len(self.plan_after(SLOW_FACTOR + 0.5))
            self.harness.end(record, RunOutcome.DONE)
            for left in [r for runs in self.table.runs.values() for r in runs.values()]:
                if left.key.job_id == job_id:
                    end = left.key.run_record(left.number, left.incarnation)
                    self.harness.end(end, RunOutcome.STOPPED)
            self.now += 0.1
        self.assertTrue(MAX_CREDIT <= copied <= 2 * MAX_CREDIT + 2, copied)
        self.plan()
        self.assertEqual(copied, self.planner.copies.lost.total())


class RunRatiosTest(TestCase):
    def test_a_long_tail_does_not_change_what_is_usual(self):
        ratios = RunRatios()
        for number in range(HISTORY):
            ratios.record("kind", f"w{number}", 7.0 if number % 20 == 3 else 1.0, 1.0)
        self.assertEqual(1.0, ratios.usual("kind"))

    def test_a_slow_worker_is_told_from_one_with_a_long_task(self):
        ratios = RunRatios()
        for _ in range(MIN_RUNS):
            ratios.record("kind", "w1", 1.0, 1.0)
        ratios.record("kind", "w2", 7.0, 1.0)
        self.assertFalse(ratios.is_slow("w2"))
        for _ in range(2):
            ratios.record("kind", "w3", 4.0, 1.0)
        self.assertTrue(ratios.is_slow("w3"))
