"""Random faults between sessions and workers, against what must always hold.

Each seed plays some minutes of jobs on four workers: links are cut, answers are
lost, orders come late, workers start again, leaders change, jobs are cancelled.
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
from tests.fakes.jobs import TableBench, job, step, worker

SEEDS = range(40)
LIMITS = ExecutionLimits()
TURNS = 240
TURN_SECONDS = 0.25
CALM_TURNS = 160
MAX_ATTEMPTS = 3


class FaultyLink(WorkerClient):
    """The way to one worker; orders that got no answer may arrive late."""

    def __init__(self, world, model):
        self.world = world
        self.model = model
        self.cut_until = 0.0
        self.deaf_until = 0.0
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
        now = self.world.clock.monotonic()
        rng = self.world.rng
        if now < self.cut_until:
            return kind(OrderOutcome.NO_ANSWER)
        if self.world.faults and name == "start" and rng.random() < 0.05:
            self.late.append((now + rng.uniform(0.5, 12.0), order))
            return kind(OrderOutcome.NO_ANSWER)
        answer = self.world.act(self.model, name, order)
        if now < self.deaf_until or (self.world.faults and rng.random() < 0.02):
            return kind(OrderOutcome.NO_ANSWER)
        return answer

    def deliver_late(self):
        now = self.world.clock.monotonic()
        for due, order in list(self.late):
            if now >= due:
                self.late.remove((due, order))
                self.world.act(self.model, "start", order)


class World:
    """Workers, a table and the sessions of the present leader."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.bench = TableBench()
        self.faults = True
        self.links = {}
        self.sessions = {}
        self.fence = 0
        self.former_lease_until = 0.0
        self.done = set()
        self.failed = {}
        self.born = 100
        for number in range(4):
            self.bear(f"w{number}")
        for number in range(6):
            steps = [step(3), step(2, after=[0])]
            self.bench.accept(job(f"{number:016x}", steps=steps))

    def work(self, order):
        outcome = RunOutcome.FAILED if self.rng.random() < 0.1 else RunOutcome.DONE
        return self.rng.uniform(0.2, 4.0), outcome

    def bear(self, worker_id):
        """Start a worker, or a new incarnation of it; what ran there has ended."""
        self.born += 1
        model = WorkerModel(self.clock, self.born, self.work, room=6)
        link = self.links.get(worker_id)
        if link is None:
            self.links[worker_id] = FaultyLink(self, model)
            self.bench.apply(worker=worker(worker_id, born_ms=self.born))
        else:
            link.model = model
            link.late = []

    def act(self, model, name, order):
        """Let a worker carry out an order, and check what it starts."""
        before = len(model.started)
        answer = getattr(model, name)(order, 1.0)
        if len(model.started) > before:
            self.check_start(order.key, order.number)
        if name == "hold" and answer.outcome is OrderOutcome.DONE:
            for end in answer.finished:
                self.note_end(end)
        return answer

    def note_end(self, end):
        if end.outcome is RunOutcome.FAILED:
            self.failed.setdefault(end.key, set()).add(end.number)

    def check_start(self, key, number):
        running = [
            link.model for link in self.links.values() if key in link.model.running()
        ]
        assert len(running) == 1, f"{key} run {number} runs {len(running)} times"
        held = self.bench.table.jobs[key.job_id]
        assert key not in self.done, f"{key} run {number} starts after it was done"
        assert len(self.failed.get(key, ())) < MAX_ATTEMPTS, f"{key} has failed"
        assert held.is_ready(0, key.step), f"{key} starts before its turn"

    def note_done(self):
        for held in self.bench.table.jobs.values():
            for task in held.all_tasks():
                if task.status.name == "DONE":
                    self.done.add(task.key)

    def lead(self):
        """Change the leader: the former one has stopped to order."""
        for session in self.sessions.values():
            session.close()
        self.sessions = {}
        self.fence += 1000
        self.former_lease_until = self.clock.monotonic() + LIMITS.surely_over(
            LIMITS.max_lease
        )

    def match_sessions(self):
        for worker_id, link in self.links.items():
            record = self.bench.table.workers.get(worker_id)
            if record is None or record.born_ms != link.model.born_ms:
                if self.clock.monotonic() >= link.cut_until:
                    record = worker(worker_id, born_ms=link.model.born_ms)
                    self.bench.apply(worker=record)
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
                    self.bench.table,
                    self.bench.propose,
                    lambda: True,
                    self.clock,
                    LIMITS,
                    self.former_lease_until,
                )

    def turn(self):
        if self.faults:
            self.disturb()
        for link in self.links.values():
            link.deliver_late()
        self.match_sessions()
        views = {
            worker_id: WorkerView(
                self.bench.table.workers[worker_id], session.is_usable(), 0
            )
            for worker_id, session in self.sessions.items()
            if worker_id in self.bench.table.workers
        }
        runs = Planner().plan(self.bench.table, views, 10**9).runs
        taken = self.bench.apply(starts=RunStarts(runs=runs)) if runs else []
        for run, accepted in zip(runs, taken, strict=True):
            # Now and then a leader is lost between the log and the order.
            if accepted and self.rng.random() > 0.03 * self.faults:
                self.sessions[run.worker_id].order_start(run)
        for session in self.sessions.values():
            session.send_waiting_orders()
            session.hold_once()
            self.note_done()
        self.clock.advance(TURN_SECONDS)

    def disturb(self):
        rng, now = self.rng, self.clock.monotonic()
        link = rng.choice(list(self.links.values()))
        chance = rng.random()
        if chance < 0.02:
            link.cut_until = now + rng.uniform(0.5, 12.0)
        elif chance < 0.04:
            link.deaf_until = now + rng.uniform(0.5, 12.0)
        elif chance < 0.05:
            self.bear(rng.choice(list(self.links)))
        elif chance < 0.06:
            self.lead()
        elif chance < 0.063:
            self.bench.cancel(rng.choice(list(self.bench.table.jobs)))


@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_runs_twice_and_every_job_ends(seed):
    world = World(seed)
    for _ in range(TURNS):
        world.turn()
    world.faults = False
    for link in world.links.values():
        link.cut_until = link.deaf_until = 0.0
    for _ in range(CALM_TURNS):
        world.turn()
    over = {JobPhase.COMPLETED, JobPhase.CANCELLED, JobPhase.FAILED}
    phases = [held.phase() for held in world.bench.table.jobs.values()]
    assert set(phases) <= over, phases
    assert world.bench.table.runs == {}
    assert not any(link.model.running() for link in world.links.values())
    assert all(isinstance(key, TaskKey) for key in world.done)
