"""Copies on emulated workers: a worker falls silent and comes back, random faults."""

import random

import pytest
from testtools import TestCase

from arbutuscleat.emulator.worker_model import WorkerModel
from arbutuscleat.execution import (
    ExecutionLimits,
    HoldAnswer,
    OrderAnswer,
    OrderOutcome,
)
from arbutuscleat.jobs import JobPhase, RunOutcome, TaskKey
from arbutuscleat.scheduling import Planner
from tests.execution.simulation import Simulation as LeaderSimulation
from tests.execution.test_random_runs import (
    CALM_STEPS,
    FAULTY_STEPS,
    MAX_ATTEMPTS,
    Simulation,
)
from tests.fakes import ManualClock
from tests.fakes.executor import make_executor, run_once
from tests.fakes.jobs import JOB, JobTableHarness, job, step, worker

KEY = TaskKey(JOB, 0, 0, 0)
STEP_SECONDS = 0.1
RANDOM_SEEDS = range(20)
LEADER_SEEDS = (0, 6, 9, 11)
"""Seeds in which some workers fall silent with speculative tasks on them."""


class SilentModel(WorkerModel):
    """A worker whose link can be cut."""

    is_cut = False

    def start(self, order, timeout):
        if self.is_cut:
            return OrderAnswer(OrderOutcome.NO_ANSWER)
        return super().start(order, timeout)

    def stop(self, order, timeout):
        if self.is_cut:
            return OrderAnswer(OrderOutcome.NO_ANSWER)
        return super().stop(order, timeout)

    def hold(self, order, timeout):
        if self.is_cut:
            return HoldAnswer(OrderOutcome.NO_ANSWER)
        return super().hold(order, timeout)


class SilentWorkerTest(TestCase):
    def begin(self, speculative):
        self.clock = ManualClock()
        self.harness = JobTableHarness()
        self.table = self.harness.table
        self.models = {}
        self.executor = make_executor(self.harness, self.clock, self.make_client)
        for number in range(4):
            record = worker(f"w{number}", labels=["a", f"r{number % 2}"])
            self.harness.apply(worker=record)
        self.harness.accept(job(steps=[step(speculative=speculative)]))
        self.run_for(0.5)
        self.first = self.place()

    def make_client(self, record):
        model = SilentModel(
            self.clock, record.born_ms, lambda order: (2.0, RunOutcome.DONE)
        )
        return self.models.setdefault(record.worker_id, model)

    def run_for(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            run_once(self.executor)
            self.clock.advance(STEP_SECONDS)

    def run_until_started_again(self):
        while len(self.started()) < 2:
            self.run_for(STEP_SECONDS)
        self.assertEqual([(KEY, 1), (KEY, 2)], sorted(self.started()))

    def place(self):
        (found,) = (name for name, model in self.models.items() if model.running())
        return found

    def started(self):
        return [run for model in self.models.values() for run in model.started]

    def test_a_copy_is_done_and_the_run_that_comes_back_is_stopped(self):
        """Guards against jobs that wait for the lease of a silent worker."""
        self.begin(speculative=True)
        self.models[self.first].is_cut = True
        with self.assertLogs("absl", "INFO") as logs:
            self.run_until_started_again()
        lines = [line for line in logs.output if "gets a copy" in line]
        self.assertEqual([True], [line.endswith("silent worker") for line in lines])
        second = next(n for n, m in self.models.items() if (KEY, 2) in m.started)
        racks = {int(name[1]) % 2 for name in (self.first, second)}
        self.assertEqual(2, len(racks))
        self.models[self.first]._runs[KEY].seconds = 60.0  # It is slow as well.
        while self.harness.phase() is not JobPhase.COMPLETED:
            self.run_for(STEP_SECONDS)
        self.assertIn((self.first, 5), self.table.runs)
        self.models[self.first].is_cut = False
        self.run_for(0.5)
        self.assertEqual({}, self.models[self.first].running())
        self.assertEqual({}, self.table.runs)
        self.assertEqual(0, self.table.jobs[JOB].task(KEY).failures)
        self.assertEqual(2, len(self.started()))
        copies = self.executor._planner.copies
        self.assertEqual((1, 0), (copies.won.total(), copies.lost.total()))

    def test_the_run_that_comes_back_first_ends_the_copy(self):
        self.begin(speculative=True)
        self.models[self.first].is_cut = True
        self.run_until_started_again()
        self.models[self.first].is_cut = False
        self.run_for(1.0)
        self.assertIs(JobPhase.COMPLETED, self.harness.phase())
        self.assertEqual({}, self.table.runs)
        self.assertFalse(any(model.running() for model in self.models.values()))
        self.assertEqual(1, self.executor._planner.copies.lost.total())

    def test_a_step_that_does_not_permit_it_waits_for_the_lease(self):
        self.begin(speculative=False)
        self.models[self.first].is_cut = True
        cut_at = self.clock.monotonic()
        self.run_until_started_again()
        waited = self.clock.monotonic() - cut_at
        self.assertTrue(waited >= ExecutionLimits.lease, waited)

    def test_a_copy_and_its_run_survive_a_change_of_leader(self):
        self.begin(speculative=True)
        self.models[self.first].is_cut = True
        self.run_until_started_again()
        self.table.restore(self.table.image())
        self.executor._session_manager.close()
        self.executor = make_executor(self.harness, self.clock, self.make_client)
        self.executor._replica.term = lambda: 2
        self.run_for(4.0)
        self.assertIs(JobPhase.COMPLETED, self.harness.phase())
        self.assertEqual(2, len(self.started()))


class CopySimulation(Simulation):
    """Random faults; the steps of odd jobs are speculative and get copies at random."""

    def __init__(self, seed):
        super().__init__(seed)
        self.choices = random.Random(seed)
        self.copy_count = 0
        for item in self.harness.table.jobs.values():
            for asked in item.steps:
                asked.speculative = self.is_speculative(item.job_id)

    def is_speculative(self, job_id):
        return int(job_id, 16) % 2 == 1

    def plan_runs(self, views):
        runs = Planner().plan(self.harness.table, views, 10**9, 0.0).runs
        for job_state in self.harness.table.active.values():
            for task in job_state.all_tasks():
                view = self.choices.choice(list(views.values()))
                if task.has_run() and view.usable and self.choices.random() < 0.3:
                    run = task.key.run_record(task.last_number + 1, view.incarnation)
                    run.beside = True  # The table has to reject what is not permitted.
                    runs.append(run)
        return runs

    def check_start(self, key, number):
        places = [
            link.model for link in self.links.values() if key in link.model.running()
        ]
        if not self.is_speculative(key.job_id):
            super().check_start(key, number)
            return
        assert len(places) <= 2, f"{key} run {number} runs {len(places)} times"
        self.copy_count += len(places) == 2
        assert key not in self.done, f"{key} run {number} started after it was done"
        assert len(self.failed.get(key, ())) < MAX_ATTEMPTS, key
        assert self.harness.table.jobs[key.job_id].is_ready(0, key.step), key


@pytest.mark.parametrize("seed", RANDOM_SEEDS)
def test_random_copies_under_faults(seed):
    simulation = CopySimulation(seed)
    for _ in range(FAULTY_STEPS):
        simulation.step_once()
    simulation.faults = False
    for link in simulation.links.values():
        link.unreachable_until = link.answers_lost_until = 0.0
    for _ in range(CALM_STEPS):
        simulation.step_once()
    assert simulation.copy_count
    over = {JobPhase.COMPLETED, JobPhase.CANCELLED, JobPhase.FAILED}
    table = simulation.harness.table
    assert {job_state.phase() for job_state in table.jobs.values()} <= over
    assert table.runs == {}
    assert not any(link.model.running() for link in simulation.links.values())


class SpeculativeSimulation(LeaderSimulation):
    """Leaders, sessions and faults; half of the small jobs are speculative."""

    copy_count = 0

    def accept(self, job_id, steps):
        for asked in steps:
            asked.speculative = not asked.long_running and int(job_id, 16) % 2 == 1
        super().accept(job_id, steps)

    def check_single_run(self, model, key):
        if not self.step_of(key).speculative:
            super().check_single_run(model, key)
            return
        models = [link.model for link in self.links.values() if link.model is not None]
        self.copy_count += (
            self.harness.table.jobs[key.job_id].task(key).copy is not None
        )
        if sum(key in other.running() for other in models) > 2:
            self.violations.append(f"{key} runs more than twice")


@pytest.mark.parametrize("seed", LEADER_SEEDS)
def test_leaders_make_copies_of_speculative_tasks_only(seed):
    simulation = SpeculativeSimulation(seed)
    simulation.run()
    assert simulation.copy_count
    assert not simulation.violations, "\n".join(
        simulation.violations + simulation.events
    )
