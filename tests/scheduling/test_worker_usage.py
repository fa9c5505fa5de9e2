"""What the runs in the job table take of the capacity of workers."""

import random

from testtools import TestCase

from arbutuscleat.jobs import RunOutcome
from arbutuscleat.scheduling import UsageCache, WorkerView
from tests.fakes.jobs import JobTableHarness, job, run, step, worker

FIELDS = (
    "cpu",
    "mem_mb",
    "gpu",
    "long_running_cpu",
    "long_running_mem_mb",
    "long_running_gpu",
    "counts",
)


class UsageTest(TestCase):
    def view_of(self, table, record):
        """Return the view of a worker, from each of its runs."""
        view = WorkerView(record, True, 0)
        for key in table.runs.get(view.incarnation, ()):
            view.reserve(table.jobs[key.job_id].steps[key.step], key[:3])
        return view

    def test_kept_sums_are_those_of_the_runs_after_any_changes(self):
        """Guards against capacity that is counted as free, or as used, for good."""
        rng = random.Random(5)
        harness = JobTableHarness()
        table, cache = harness.table, UsageCache()
        workers = [f"w{number}" for number in range(4)]
        for worker_id in workers:
            harness.apply(worker=worker(worker_id))
        active = []
        for number in range(300):
            chance = rng.random()
            if chance < 0.5:
                job_id = f"{number:016x}"
                steps = [
                    step(3, cpu=500, fills=rng.random() < 0.3),
                    step(2, cpu=700, long_running=True, gpu=1),
                ]
                harness.accept(job(job_id, steps=steps))
                for number_of_step in range(2):
                    record = run(job_id, number_of_step, worker_id=rng.choice(workers))
                    harness.start(record)
                    active.append(record)
            elif chance < 0.9 and active:
                record = active.pop(rng.randrange(len(active)))
                harness.end(record, rng.choice([RunOutcome.DONE, RunOutcome.LOST]))
            elif chance < 0.95:
                table.restore(table.image())
            for worker_id in workers:
                record = table.workers[worker_id]
                expected = self.view_of(table, record)
                view = WorkerView(record, True, 0)
                cache.usage(table, view.incarnation).take_from(view)
                for name in FIELDS:
                    self.assertEqual(getattr(expected, name), getattr(view, name))
