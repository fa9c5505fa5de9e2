"""Copies in the job table: cases, and random commands against a small model."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from arbutuscleat.jobs import JobPhase, RunOutcome, TaskKey, TaskStatus
from arbutuscleat.wire import decode, encode
from arbutuscleat.wire.gen_jobs.ttypes import EndRecord, JobTableImage, RunEnds
from tests.fakes.jobs import JOB, OTHER_JOB, JobTableHarness, job, run, step, worker

KEY = TaskKey(JOB, 0, 0, 0)
WORKERS = ("w1", "w2", "w3")
MAX_ATTEMPTS = 3


def copy(**fields):
    """Return the start of a copy."""
    record = run(**{"number": 2, "worker_id": "w2", **fields})
    record.beside = True
    return record


class CopyTest(TestCase):
    def setUp(self):
        super().setUp()
        self.begin()

    def begin(self):
        self.harness = JobTableHarness()
        self.table = self.harness.table
        for name in WORKERS:
            self.harness.apply(worker=worker(name))
        self.harness.accept(job(steps=[step(speculative=True)]))
        self.harness.start(run())

    def start_copy(self):
        self.assertEqual([True], self.harness.start(copy()))

    def places(self):
        return {
            (w, r.number)
            for (w, _), runs in self.table.runs.items()
            for r in runs.values()
        }

    def test_both_runs_are_in_the_table_and_in_snapshots(self):
        self.start_copy()
        for _ in range(2):
            self.assertEqual({("w1", 1), ("w2", 2)}, self.places())
            self.assertTrue(self.table.is_current_run(KEY, 1))
            self.assertTrue(self.table.is_current_run(KEY, 2))
            self.table.restore(self.table.image())

    def test_a_start_without_the_mark_never_makes_a_copy(self):
        """Guards against starts of a former leader or version that come late."""
        self.assertEqual([False], self.harness.start(run(number=2, worker_id="w2")))

    def test_a_start_with_the_mark_needs_a_run_to_be_beside(self):
        self.harness.end(run(), RunOutcome.LOST)
        self.assertEqual([False], self.harness.start(copy()))

    def test_only_single_finite_tasks_of_speculative_steps_have_copies(self):
        cases = (
            {"speculative": False},
            {"speculative": True, "gang": True},
            {"speculative": True, "long_running": True},
        )
        for number, fields in enumerate(cases):
            job_id = f"{number:016x}"
            self.harness.accept(job(job_id, steps=[step(**fields)]))
            self.harness.start(run(job_id))
            self.assertEqual([False], self.harness.start(copy(job_id=job_id)))

    def test_whichever_is_done_first_ends_the_task_and_the_other_is_stopped(self):
        for first, other in ((run(), copy()), (copy(), run())):
            self.begin()
            self.start_copy()
            self.harness.end(first, RunOutcome.DONE)
            self.assertIs(JobPhase.COMPLETED, self.harness.phase())
            for _ in range(2):
                self.assertEqual({(other.worker_id, other.number)}, self.places())
                self.assertEqual({(KEY, other.number)}, self.table.stops_due)
                self.assertFalse(self.table.is_current_run(KEY, other.number))
                self.table.restore(self.table.image())
            self.harness.end(other, RunOutcome.FAILED)
            self.assertEqual((0, set()), (self.task().failures, self.places()))
            self.assertEqual(set(), self.table.stops_due)
            self.assertIs(JobPhase.COMPLETED, self.harness.phase())

    def task(self):
        return self.table.jobs[JOB].task(KEY)

    def test_a_lost_run_leaves_the_other_one(self):
        for lost, left in ((run(), copy()), (copy(), run())):
            self.begin()
            self.start_copy()
            self.harness.end(lost, RunOutcome.LOST)
            self.table.restore(self.table.image())
            self.assertEqual({(left.worker_id, left.number)}, self.places())
            again = run(number=3, worker_id="w3")
            self.assertEqual([False], self.harness.start(again))
            again.beside = True
            self.assertEqual([True], self.harness.start(again))

    def test_a_failed_run_counts_and_leaves_the_other_one(self):
        self.start_copy()
        self.harness.end(copy(), RunOutcome.FAILED)
        self.assertEqual((1, {("w1", 1)}), (self.task().failures, self.places()))
        self.harness.end(run(), RunOutcome.FAILED)
        task = self.task()
        self.assertEqual(
            (2, 2, TaskStatus.WAITING), (task.failures, task.number, task.status)
        )
        self.assertTrue(task.has_failed_latest_run())
        self.assertEqual([False], self.harness.start(run(number=2)))

    def test_a_cancelled_job_has_both_runs_stopped(self):
        self.start_copy()
        self.harness.cancel()
        self.assertEqual({(KEY, 1), (KEY, 2)}, self.table.stops_due)

    def test_an_expired_lease_counts_for_the_worker_of_its_run(self):
        self.start_copy()
        lost = EndRecord(run=run(), outcome=int(RunOutcome.LOST), checkpoint="")
        lost.unresponsive = True
        self.harness.apply(ends=RunEnds(ends=[lost], at_ms=4000))
        unresolved = self.table.crash_counts.unresolved_runs()
        self.assertEqual([("w1", 1)], [(r.worker_id, r.number) for r in unresolved])
        self.harness.end(copy(), RunOutcome.DONE)
        self.assertEqual([], self.table.crash_counts.unresolved_runs())

    def test_a_snapshot_of_a_former_version_has_no_copies(self):
        image = decode(JobTableImage, self.table.image())
        found = image.jobs[0].occurrences[0].steps[0][0]
        self.assertEqual(
            (None, None, None), (found.copy, found.last_number, found.ending)
        )
        self.table.restore(encode(image))
        self.start_copy()


class Model:
    """What the table should hold of one task."""

    def __init__(self, speculative):
        self.speculative = speculative
        self.open = {}
        self.last = 0
        self.failures = 0
        self.done = False
        self.over = False

    def admits(self, number, worker_id, beside):
        if self.done or self.over or number <= self.last:
            return False
        if not beside:
            return not self.open
        others = set(self.open.values())
        return self.speculative and len(self.open) == 1 and worker_id not in others


TASKS = ((JOB, 0), (JOB, 1), (OTHER_JOB, 0))
START = st.tuples(
    st.just("start"),
    st.sampled_from(TASKS),
    st.sampled_from(WORKERS),
    st.booleans(),
    st.sampled_from([0, 0, 0, -1, 1]),
)
END = st.tuples(
    st.just("end"),
    st.sampled_from(TASKS),
    st.integers(0, 2),
    st.sampled_from(list(RunOutcome)),
)
OTHER = st.one_of(
    st.tuples(st.just("restart"), st.sampled_from(WORKERS)),
    st.tuples(st.just("lapse"), st.sampled_from(TASKS), st.integers(0, 1)),
    st.tuples(st.just("snapshot")),
    st.tuples(st.just("cancel"), st.sampled_from([JOB, OTHER_JOB])),
)
STEPS = st.lists(
    st.sampled_from([START, START, START, END, OTHER]).flatmap(lambda kind: kind),
    min_size=20,
    max_size=60,
)


class Comparison:
    """A table and a model to which the same commands are applied."""

    def __init__(self):
        self.harness = JobTableHarness()
        self.table = self.harness.table
        self.born = dict.fromkeys(WORKERS, 5)
        for name in WORKERS:
            self.harness.apply(worker=worker(name))
        self.harness.accept(job(steps=[step(2, speculative=True)]))
        self.harness.accept(job(OTHER_JOB, steps=[step()]))
        self.models = {task: Model(task[0] == JOB) for task in TASKS}

    def record(self, task, number, worker_id):
        born_ms = self.born[worker_id]
        return run(task[0], 0, task[1], number, worker_id, born_ms)

    def start(self, task, worker_id, beside, ahead):
        model = self.models[task]
        number = max(1, model.last + 1 + ahead)
        record = self.record(task, number, worker_id)
        record.beside = beside or None
        expected = model.admits(number, worker_id, beside)
        assert self.harness.start(record) == [expected], (record, vars(model))
        if expected:
            model.last = number
            model.open[number] = worker_id

    def end(self, task, back, outcome, unresponsive=None):
        model = self.models[task]
        number = model.last - back
        worker_id = model.open.get(number, "w1")
        record = EndRecord(
            run=self.record(task, number, worker_id),
            outcome=int(outcome),
            checkpoint="",
            unresponsive=unresponsive,
        )
        self.harness.apply(ends=RunEnds(ends=[record], at_ms=2000))
        if model.open.pop(number, None) is not None and not model.done:
            model.done = outcome is RunOutcome.DONE
            model.failures += outcome is RunOutcome.FAILED
        self.read_ended_jobs()

    def lapse(self, task, back):
        self.end(task, back, RunOutcome.LOST, True)

    def restart(self, worker_id):
        self.born[worker_id] += 1
        record = worker(worker_id, born_ms=self.born[worker_id])
        self.harness.apply(worker=record, at_ms=2000, keeps_runs=True)
        self.read_ended_jobs()

    def snapshot(self):
        self.table.restore(self.table.image())

    def cancel(self, job_id):
        self.harness.cancel(job_id)
        self.read_ended_jobs()

    def read_ended_jobs(self):
        """Take from the table which jobs are over: crashes can end one as well."""
        for (job_id, _), model in self.models.items():
            is_over = self.table.jobs[job_id].is_over()
            assert is_over or not model.over
            assert is_over or model.failures < MAX_ATTEMPTS
            model.over = is_over

    def check(self):
        found = {}
        for (worker_id, born_ms), runs in self.table.runs.items():
            assert runs and born_ms == self.born[worker_id]
            for key, item in runs.items():
                assert item.incarnation == (worker_id, born_ms)
                assert item is self.table.jobs[key.job_id].task(key).run(item.number)
                places = found.setdefault((key.job_id, key.task_index), {})
                assert worker_id not in places.values()
                places[item.number] = worker_id
        for (job_id, index), model in self.models.items():
            key = TaskKey(job_id, 0, 0, index)
            task = self.table.jobs[job_id].task(key)
            assert found.get((job_id, index), {}) == model.open
            assert len(model.open) <= (2 if model.speculative else 1)
            assert task.last_number == model.last
            assert task.failures == model.failures
            assert (task.status is TaskStatus.DONE) == model.done
            for number in model.open:
                is_wanted = not model.done and not model.over
                assert self.table.is_current_run(key, number) == is_wanted
                assert is_wanted or (key, number) in self.table.stops_due


@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_random_commands_leave_what_the_model_has(steps):
    comparison = Comparison()
    for name, *arguments in steps:
        getattr(comparison, name)(*arguments)
        comparison.check()
