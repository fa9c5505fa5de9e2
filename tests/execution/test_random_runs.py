"""Randomised tests of sessions and workers under faults, checking invariants.

Each seed simulates 100 seconds of jobs on four workers. Links are cut, responses
are lost, orders arrive late, workers restart, leaders change and jobs are cancelled.
"""

import random

import pytest

from arbutuscleat.emulator.worker_model import WorkerModel
from arbutuscleat.execution import (
    ExecutionLimits,
    HoldAnswer,
    OrderAnswer,
    OrderOutcome,
    WorkerClient,
)
from arbutuscleat.execution.session import WorkerSession
from arbutuscleat.jobs import JobPhase, RunOutcome, TaskKey
from arbutuscleat.scheduling import Planner, WorkerView
from arbutuscleat.wire.gen_jobs.ttypes import RunStarts
from tests.fakes import ManualClock
from tests.fakes.jobs import JobTableHarness, job, step, worker

SEEDS = range(40)
LIMITS = ExecutionLimits()
FAULTY_STEPS = 240
STEP_SECONDS = 0.25
CALM_STEPS = 160
MAX_ATTEMPTS = 3


class FaultyLink(WorkerClient):
    """A faulty link to one worker; unanswered orders may still arrive later."""

    def __init__(self, simulation, model):
        self.simulation = simulation
        self.model = model
        self.unreachable_until = 0.0
        self.answers_lost_until = 0.0
        self.late = []

    def start(self, order, timeout):
        return self.call("start", order, OrderAnswer)

    def stop(self, order, timeout):
        return self.call("stop", order, OrderAnswer)

    def hold(self, order, timeout):
        return self.call("hold", order, HoldAnswer)

    def close(self):
        pass

    def call(self, name, order, kind):
        now = self.simulation.clock.monotonic()
        rng = self.simulation.rng
        if now < self.unreachable_until:
            return kind(OrderOutcome.NO_ANSWER)
        if self.simulation.faults and name == "start" and rng.random() < 0.05:
            self.late.append((now + rng.uniform(0.5, 12.0), order))
            return kind(OrderOutcome.NO_ANSWER)
        answer = self.simulation.execute(self.model, name, order)
        if now < self.answers_lost_until or (
            self.simulation.faults and rng.random() < 0.02
        ):
            return kind(OrderOutcome.NO_ANSWER)
        return answer

    def deliver_late(self):
        now = self.simulation.clock.monotonic()
        for due, order in list(self.late):
            if now >= due:
                self.late.remove((due, order))
                self.simulation.execute(self.model, "start", order)


class Simulation:
    """Simulated workers, the job table and the sessions of the current leader."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.harness = JobTableHarness()
        self.faults = True
        self.links = {}
        self.sessions = {}
        self.fence = 0
        self.former_lease_until = 0.0
        self.done = set()
        self.failed = {}
        self.last_born_ms = 100
        for number in range(4):
            self.start_worker(f"w{number}")
        for number in range(6):
            steps = [step(3), step(2, after=[0])]
            self.harness.accept(job(f"{number:016x}", steps=steps))

    def work(self, order):
        outcome = RunOutcome.FAILED if self.rng.random() < 0.1 else RunOutcome.DONE
        return self.rng.uniform(0.2, 4.0), outcome

    def start_worker(self, worker_id):
        """Start a worker or a new incarnation of it; its runs have ended."""
        self.last_born_ms += 1
        model = WorkerModel(self.clock, self.last_born_ms, self.work, room=6)
        link = self.links.get(worker_id)
        if link is None:
            self.links[worker_id] = FaultyLink(self, model)
            self.harness.apply(worker=worker(worker_id, born_ms=self.last_born_ms))
        else:
            link.model = model
            link.late = []

    def execute(self, model, name, order):
        """Let a worker execute an order, and check the run that it starts."""
        before = len(model.started)
        answer = getattr(model, name)(order, 1.0)
        if len(model.started) > before:
            self.check_start(order.key, order.number)
        if name == "hold" and answer.outcome is OrderOutcome.DONE:
            for end in answer.finished:
                self.record_end(end)
        return answer

    def record_end(self, end):
        if end.outcome is RunOutcome.FAILED:
            self.failed.setdefault(end.key, set()).add(end.number)

    def check_start(self, key, number):
        running = [
            link.model for link in self.links.values() if key in link.model.running()
        ]
        assert len(running) == 1, f"{key} run {number} runs {len(running)} times"
        job_state = self.harness.table.jobs[key.job_id]
        assert key not in self.done, (
            f"{key} run {number} started after the task was done"
        )
        assert len(self.failed.get(key, ())) < MAX_ATTEMPTS, (
            f"{key} started after its last attempt had failed"
        )
        assert job_state.is_ready(0, key.step), (
            f"{key} started before its step was ready"
        )

    def record_done(self):
        for job_state in self.harness.table.jobs.values():
            for task in job_state.all_tasks():
                if task.status.name == "DONE":
                    self.done.add(task.key)

    def change_leader(self):
        """Change the leader; the former one no longer sends orders."""
        for session in self.sessions.values():
            session.close()
        self.sessions = {}
        self.fence += 1000
        self.former_lease_until = self.clock.monotonic() + LIMITS.longest_expiry()

    def reconcile_sessions(self):
        for worker_id, link in self.links.items():
            record = self.harness.table.workers.get(worker_id)
            if record is None or record.born_ms != link.model.born_ms:
                if self.clock.monotonic() >= link.unreachable_until:
                    record = worker(worker_id, born_ms=link.model.born_ms)
                    self.harness.apply(worker=record)
            session = self.sessions.get(worker_id)
            if record is None:
                continue
            if session is None or session.incarnation[1] != record.born_ms:
                if session is not None:
                    session.close()
                self.fence += 1
                self.sessions[worker_id] = WorkerSession(
                    record,
                    link,
                    self.fence,
                    self.harness.table,
                    self.harness.propose,
                    lambda: True,
                    self.clock,
                    LIMITS,
                    self.former_lease_until,
                )

    def step_once(self):
        if self.faults:
            self.inject_fault()
        for link in self.links.values():
            link.deliver_late()
        self.reconcile_sessions()
        views = {
            worker_id: WorkerView(
                self.harness.table.workers[worker_id], session.is_usable(), 0
            )
            for worker_id, session in self.sessions.items()
            if worker_id in self.harness.table.workers
        }
        runs = self.plan_runs(views)
        accepted_runs = self.harness.apply(starts=RunStarts(runs=runs)) if runs else []
        for run, accepted in zip(runs, accepted_runs, strict=True):
            # Sometimes a leader is lost between the log entry and the order.
            if accepted and self.rng.random() > 0.03 * self.faults:
                self.sessions[run.worker_id].order_start(run)
        for session in self.sessions.values():
            session.send_queued_orders()
            session.hold_once()
            self.record_done()
        self.clock.advance(STEP_SECONDS)

    def plan_runs(self, views):
        return Planner().plan(self.harness.table, views, 10**9, 0.0).runs

    def inject_fault(self):
        rng, now = self.rng, self.clock.monotonic()
        link = rng.choice(list(self.links.values()))
        chance = rng.random()
        if chance < 0.02:
            link.unreachable_until = now + rng.uniform(0.5, 12.0)
        elif chance < 0.04:
            link.answers_lost_until = now + rng.uniform(0.5, 12.0)
        elif chance < 0.05:
            self.start_worker(rng.choice(list(self.links)))
        elif chance < 0.06:
            self.change_leader()
        elif chance < 0.063:
            self.harness.cancel(rng.choice(list(self.harness.table.jobs)))


@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_runs_twice_and_every_job_ends(seed):
    simulation = Simulation(seed)
    for _ in range(FAULTY_STEPS):
        simulation.step_once()
    simulation.faults = False
    for link in simulation.links.values():
        link.unreachable_until = link.answers_lost_until = 0.0
    for _ in range(CALM_STEPS):
        simulation.step_once()
    over = {JobPhase.COMPLETED, JobPhase.CANCELLED, JobPhase.FAILED}
    phases = [job_state.phase() for job_state in simulation.harness.table.jobs.values()]
    assert set(phases) <= over, phases
    assert simulation.harness.table.runs == {}
    assert not any(link.model.running() for link in simulation.links.values())
    assert all(isinstance(key, TaskKey) for key in simulation.done)
