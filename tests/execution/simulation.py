"""A simulation of leaders, workers and jobs with faults, on a simulated clock.

The room for a task is computed from what the emulated workers run, independently of the
planner and of the job table.
"""

import random

from arbutuscleat.emulator.worker_model import WorkerModel
from arbutuscleat.execution import (
    Executor,
    HoldAnswer,
    OrderAnswer,
    OrderOutcome,
    WorkerClient,
)
from arbutuscleat.jobs import RunOutcome
from arbutuscleat.wire.gen_jobs.ttypes import WorkerRecord
from tests.fakes.executor import executor_parts
from tests.fakes.jobs import JobTableHarness, job, step, worker
from tests.fakes.replica import HarnessReplica
from tests.fakes.simulated_clock import (
    SimulatedClock,
    SimulatedCondition,
    SimulatedQueue,
)

FAULTY_SECONDS = 22.0
CALM_SECONDS = 20.0

MAX_WAIT_SECONDS = 3.0
"""How long a long-running task may wait although there is room for it."""

RESTART_SECONDS = 6.0
"""Time after the end of its last run during which a task may wait."""

SETTLING_SECONDS = 4.0
"""Calm time before the waiting of a task counts."""

CHECK_SECONDS = 0.1
FAULT_SECONDS = 0.25
PING_SECONDS = 1.5
CALL_SECONDS = 0.004
POLL_SECONDS = 0.05

MAX_ACTIVE_JOBS = 30
"""Number of jobs above which no more small ones are submitted."""


class SimulatedWorker(WorkerModel):
    """A worker that rejects runs that do not fit; its capacity is that of a record."""

    def __init__(self, simulation, record):
        super().__init__(
            simulation.clock, record.born_ms, lambda order: simulation.work(self, order)
        )
        self.simulation = simulation
        self.record = record
        self.failing_until = 0.0
        self.clock_rate = 1.0

    def start(self, order, timeout):
        asked = self.simulation.step_of(order.key)
        if order.key not in self.running() and not self.fits(asked):
            return OrderAnswer(OrderOutcome.NO_ROOM, self._now_ms())
        before = len(self.started)
        answer = super().start(order, timeout)
        if len(self.started) > before:
            self.simulation.check_single_run(self, order.key)
        return answer

    def _now_ms(self):
        return int(super()._now_ms() * self.clock_rate)

    def fits(self, asked):
        cpu, mem_mb = self.free()
        return (asked.fills or asked.cpu <= cpu) and asked.mem_mb <= mem_mb

    def free(self, long_running_only=False):
        """Return the free CPU and memory, beside all runs or the long-running ones."""
        cpu, mem_mb = self.record.cpu, self.record.mem_mb
        for key in self.running():
            used = self.simulation.step_of(key)
            if long_running_only and not used.long_running:
                continue
            cpu -= 0 if used.fills else used.cpu
            mem_mb -= used.mem_mb
        return cpu, mem_mb


class SimulatedLink(WorkerClient):
    """A faulty link to a worker; unanswered orders may still arrive later."""

    def __init__(self, simulation, worker_id):
        self.simulation = simulation
        self.clock = simulation.clock
        self.worker_id = worker_id
        self.model = None
        self.unreachable_until = 0.0
        self.answers_lost_until = 0.0
        self.call_count = 0

    def is_cut(self):
        return self.model is None or self.clock.monotonic() < self.unreachable_until

    def client(self, record):
        return SimulatedClient(self, record)

    def chance(self):
        """Return a random number that depends only on the number of earlier calls."""
        self.call_count += 1
        seed = f"{self.simulation.seed} {self.worker_id} {self.call_count}"
        return random.Random(seed).random()

    def start(self, order, timeout):
        return self.call("start", order, timeout, OrderAnswer)

    def stop(self, order, timeout):
        return self.call("stop", order, timeout, OrderAnswer)

    def hold(self, order, timeout):
        return self.call("hold", order, timeout, HoldAnswer)

    def close(self):
        pass

    def call(self, name, order, timeout, kind):
        chance = self.chance() if self.simulation.faults else 1.0
        if self.is_cut():
            self.clock.pause(timeout)
            return kind(OrderOutcome.NO_ANSWER)
        if name == "start" and chance < 0.03:
            self.clock.spawn(lambda: self.deliver_late(order, 0.5 + 200 * chance))
            self.clock.pause(timeout)
            return kind(OrderOutcome.NO_ANSWER)
        self.clock.pause(CALL_SECONDS)
        model = self.model
        if model is None:
            return kind(OrderOutcome.NO_ANSWER)
        answer = getattr(model, name)(order, timeout)
        if name == "hold" and answer.outcome is OrderOutcome.DONE:
            answer = self.wait_for_end(order, answer)
        lost = self.simulation.faults and 0.03 <= chance < 0.05
        if lost or self.is_cut() or self.clock.monotonic() < self.answers_lost_until:
            self.clock.pause(timeout)
            return kind(OrderOutcome.NO_ANSWER)
        return answer

    def wait_for_end(self, order, answer):
        until = self.clock.monotonic() + order.wait_ms / 1000.0
        while not answer.finished and self.clock.monotonic() < until:
            self.clock.pause(POLL_SECONDS)
            if self.model is None:
                return HoldAnswer(OrderOutcome.NO_ANSWER)
            answer = self.model.hold(order, 0.0)
            if answer.outcome is not OrderOutcome.DONE:
                break
        return answer

    def deliver_late(self, order, delay):
        """Deliver a start to the incarnation that the worker has by then."""
        worker_id = self.model.record.worker_id
        self.clock.pause(delay)
        if self.model is not None and self.model.record.worker_id == worker_id:
            self.model.start(order, 0.0)


class SimulatedClient(WorkerClient):
    """Calls one worker, in any incarnation; another worker rejects the calls."""

    def __init__(self, link, record):
        self.link = link
        self.worker_id = record.worker_id

    def start(self, order, timeout):
        return self.call("start", order, timeout, OrderAnswer)

    def stop(self, order, timeout):
        return self.call("stop", order, timeout, OrderAnswer)

    def hold(self, order, timeout):
        return self.call("hold", order, timeout, HoldAnswer)

    def close(self):
        pass

    def call(self, name, order, timeout, kind):
        model = self.link.model
        if not self.link.is_cut() and model.record.worker_id != self.worker_id:
            self.link.clock.pause(CALL_SECONDS)
            return kind(OrderOutcome.OTHER_WORKER)
        return getattr(self.link, name)(order, timeout)


class SimulatedReplica(HarnessReplica):
    """A replica that leads during one term."""

    def __init__(self, simulation, term):
        super().__init__(simulation.harness)
        self.simulation = simulation
        self.number = term
        self.since = simulation.clock.monotonic()

    def leads(self):
        return self.is_latest() and self.simulation.has_quorum()

    def is_latest(self):
        return self.simulation.term == self.number

    def term(self):
        return self.number

    def led_since(self):
        return self.since

    def propose(self, payload, timeout):
        self.simulation.clock.pause(CALL_SECONDS)
        if not self.leads():
            return None
        return super().propose(payload, timeout)


class SimulatedExecutor(Executor):
    """An executor whose sessions run as processes of the simulation."""

    def __init__(self, simulation, replica):
        parts = executor_parts(
            replica,
            simulation.harness.table,
            simulation.clock,
            lambda record: simulation.link_of(record).client(record),
            self.propose,
        )
        super().__init__(*parts)
        self.replica = replica
        manager = self._session_manager
        self._make_session = manager.open_session
        manager.open_session = self._open_session

    def run(self):
        while self.replica.is_latest():
            self.run_once()
        self.run_once()

    def _open_session(self, record, permit):
        session = self._make_session(record, permit)
        sender = session._sender
        session._wake = SimulatedCondition(self._clock)
        sender._orders = SimulatedQueue(self._clock)
        sender._retries = SimulatedQueue(self._clock)
        for target in (session._run, sender._run_orders, sender._run_retries):
            self._clock.spawn(target)
        return session


class Simulation:
    """Workers, jobs, leaders and faults of one seed."""

    calm_seconds = CALM_SECONDS

    def __init__(self, seed):
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock = SimulatedClock()
        self.harness = JobTableHarness()
        table = self.harness.table
        table.changed = SimulatedCondition(self.clock, table.lock)
        self.faults = True
        self.calm_since = None
        self.steps = {}
        self.small_count = 0
        self.term = 0
        self.executor = None
        self.last_born_ms = 100
        self.links = {}
        self.links_by_port = {}
        self.gone = set()
        self.records = {}
        self.last_run_at = {}
        self.waiting_since = {}
        self.violations = []
        self.events = []
        self.worker_count = self.rng.randint(3, 9)
        cpu = self.rng.choice([4_000, 6_000, 8_000])
        mem_mb = self.rng.choice([8_000, 16_000])
        for number in range(self.worker_count):
            worker_id = f"w{number}"
            self.links[worker_id] = SimulatedLink(self, worker_id)
            self.records[worker_id] = worker(
                worker_id,
                cpu=cpu,
                mem_mb=mem_mb,
                labels=["ab"[number % 2], f"r{number % 3}"],
            )
            self.links_by_port[self.records[worker_id].port] = self.links[worker_id]
            self.start_worker(worker_id)
            self.register(worker_id)
        self.cpu, self.mem_mb = cpu, mem_mb
        self.small_interval = self.rng.uniform(0.05, 0.3)
        self.failure_share = self.rng.choice([0.0, 0.1, 0.3])
        for number in range(self.rng.randint(2, 4)):
            self.accept(f"f{number:015x}", [self.long_running_step(number)])

    # ---- jobs ----

    def long_running_step(self, number):
        """Return a step; all steps together need at most two thirds of the service."""
        rng = self.rng
        labelled = number > 0 and rng.random() < 0.3
        places = (self.worker_count + 1) // 2 if labelled else self.worker_count
        kind = (
            "spread" if number == 0 else rng.choice(["spread", "mem", "cpu", "fills"])
        )
        sizes = {
            "spread": (rng.choice([500, 1_000]), 500, places),
            "mem": (250, int(0.4 * self.mem_mb), rng.randint(1, max(1, places // 2))),
            "cpu": (int(0.4 * self.cpu), 200, rng.randint(1, max(1, places // 3))),
            "fills": (1_000, 300, rng.randint(1, places)),
        }
        cpu, mem_mb, count = sizes[kind]
        limit = 1 if kind == "spread" else rng.choice([0, 0, 1, 2])
        return step(
            count,
            cpu=cpu,
            mem_mb=mem_mb,
            spread_limit=limit,
            required_label="a" if labelled else "",
            may_miss=1,
            long_running=True,
            fills=kind == "fills",
        )

    def accept(self, job_id, steps):
        record = job(job_id, steps=steps)
        record.accepted_at_ms = self.clock.now_ms()
        self.steps[job_id] = steps
        self.harness.accept(record)

    def step_of(self, key):
        return self.steps[key.job_id][key.step]

    def submit_small_jobs(self):
        rng = random.Random(self.seed + 1_000_000)
        while True:
            self.clock.pause(rng.expovariate(1.0 / self.small_interval))
            if len(self.harness.table.active) > MAX_ACTIVE_JOBS:
                continue
            self.small_count += 1
            count = rng.choice([1, 1, 2, 4])
            size = rng.choice([500, 1_000, 1_000])
            asked = step(count, cpu=size, mem_mb=rng.choice([100, 400]))
            self.accept(f"{self.small_count:016x}", [asked])

    def work(self, model, order):
        """Return the duration and outcome of a run."""
        rng = random.Random(f"{self.seed} {order.key} {order.number}")
        if self.clock.monotonic() < model.failing_until:
            return rng.uniform(0.05, 0.5), RunOutcome.FAILED
        if not self.step_of(order.key).long_running:
            return rng.uniform(0.2, 2.0), RunOutcome.DONE
        if rng.random() < self.failure_share:
            return rng.uniform(0.5, 15.0), RunOutcome.FAILED
        return None, RunOutcome.DONE

    # ---- workers ----

    def start_worker(self, worker_id):
        """Start a worker, or a new incarnation of it; its former runs have ended."""
        self.last_born_ms += 1
        record = self.records[worker_id]
        record = WorkerRecord(
            **{**fields_of(record), "born_ms": self.last_born_ms, "draining": False}
        )
        self.records[worker_id] = record
        self.links[worker_id].model = SimulatedWorker(self, record)

    def set_draining(self, worker_id, draining):
        old = self.records[worker_id]
        self.records[worker_id] = WorkerRecord(
            **{
                **fields_of(old),
                "draining": draining,
                "sequence": old.sequence + 1,
            }
        )
        self.register(worker_id)

    def register(self, worker_id):
        record = self.records[worker_id]
        if self.harness.table.workers.get(worker_id) != record:
            now_ms = self.clock.now_ms()
            self.harness.apply(worker=record, at_ms=now_ms, keeps_runs=True)

    def ping(self):
        while True:
            for worker_id, link in list(self.links.items()):
                if not link.is_cut():
                    self.register(worker_id)
            self.clock.pause(PING_SECONDS)

    def link_of(self, record):
        """Return the link to the address of a worker, which another one may use."""
        return self.links_by_port[record.port]

    # ---- leaders ----

    def has_quorum(self):
        return True

    def change_leader(self, with_snapshot=False):
        self.log(f"leader changes, snapshot {with_snapshot}")
        self.term += 1
        self.clock.pause(self.rng.uniform(0.2, 1.5) if self.executor else 0.0)
        if with_snapshot:
            self.harness.table.restore(self.harness.table.image())
        self.executor = SimulatedExecutor(self, SimulatedReplica(self, self.term))
        self.clock.spawn(self.executor.run)

    # ---- faults ----

    def log(self, text):
        self.events.append(f"{self.clock.monotonic() - 1000.0:.2f} {text}")

    def inject_faults(self):
        while self.faults:
            self.inject_fault()
            self.clock.pause(FAULT_SECONDS)
        for link in self.links.values():
            link.unreachable_until = link.answers_lost_until = 0.0
            if link.model is not None:
                link.model.failing_until = 0.0
        for worker_id, link in self.links.items():
            if worker_id in self.gone:
                continue
            if link.model is None:
                self.start_worker(worker_id)
            self.set_draining(worker_id, False)
        self.executor.set_draining(set())
        self.calm_since = self.clock.monotonic()

    def inject_fault(self):
        rng, now = self.rng, self.clock.monotonic()
        worker_id = rng.choice(list(self.links))
        link = self.links[worker_id]
        chance, length = rng.random(), rng.uniform(0.5, 8.0)
        if link.model is None:
            return
        if chance < 0.10:
            self.log(f"{worker_id} fails runs for {length:.2f} s")
            link.model.failing_until = now + length
        elif chance < 0.15:
            self.log(f"{worker_id} is unreachable for {length:.2f} s")
            link.unreachable_until = now + length
        elif chance < 0.18:
            self.log(f"{worker_id} loses answers for {length:.2f} s")
            link.answers_lost_until = now + length
        elif chance < 0.22:
            self.log(f"{worker_id} restarts")
            link.model = None
            self.clock.spawn(lambda: self.restart_later(worker_id, length / 3))
        elif chance < 0.26:
            self.log(f"{worker_id} drains for {length:.2f} s")
            self.clock.spawn(lambda: self.drain(worker_id, length))
        elif chance < 0.30:
            self.log(f"{worker_id} is emptied for {length:.2f} s")
            self.clock.spawn(lambda: self.empty(worker_id, length))
        elif chance < 0.32:
            self.change_leader(rng.random() < 0.5)

    def restart_later(self, worker_id, seconds):
        self.clock.pause(seconds)
        link = self.links.get(worker_id)
        if link is not None and link.model is None and worker_id not in self.gone:
            self.start_worker(worker_id)

    def drain(self, worker_id, seconds):
        self.set_draining(worker_id, True)
        self.clock.pause(seconds)
        if worker_id in self.links and worker_id not in self.gone:
            self.set_draining(worker_id, False)

    def empty(self, worker_id, seconds):
        """Drain a worker as the machine controller does before it moves a machine."""
        until = self.clock.monotonic() + seconds
        executor = self.executor
        while self.clock.monotonic() < until and self.faults:
            executor.set_draining({worker_id})
            for key, number in executor.movable_tasks(worker_id):
                executor.order_stop(worker_id, key, number)
            self.clock.pause(0.5)
        executor.set_draining(set())

    # ---- checks ----

    def check_single_run(self, model, key):
        """Check that no other worker runs a task that has just started."""
        for link in list(self.links.values()):
            other = link.model
            if other is not None and other is not model and key in other.running():
                self.violations.append(
                    f"{key} runs twice at {self.clock.monotonic() - 1000.0:.2f}"
                )

    def check(self):
        while True:
            self.check_once()
            self.clock.pause(CHECK_SECONDS)

    def check_once(self):
        now = self.clock.monotonic()
        running = {
            key
            for link in self.links.values()
            if link.model is not None
            for key in link.model.running()
        }
        settled = (
            self.calm_since is not None and now >= self.calm_since + SETTLING_SECONDS
        )
        for state in list(self.harness.table.active.values()):
            if not state.steps[0].long_running:
                continue
            for task in state.tasks(0, 0):
                key = task.key
                self.last_run_at.setdefault(key, now)
                if key in running:
                    self.last_run_at[key] = now
                if key in running or not settled or not self.has_room(key):
                    self.waiting_since.pop(key, None)
                    continue
                since = self.waiting_since.setdefault(key, now)
                if (
                    now - since > MAX_WAIT_SECONDS
                    and now - self.last_run_at[key] > RESTART_SECONDS
                ):
                    self.report(task)

    def has_room(self, key):
        """Return whether the workers that a task may run on have room for two of it."""
        asked = self.step_of(key)
        permitted = [
            link.model
            for link in self.links.values()
            if link.model is not None
            and not link.is_cut()
            and not self.records[link.worker_id].draining
            and link.model.record.service_name == "karachi"
            and (
                not asked.required_label
                or asked.required_label in link.model.record.labels
            )
            and (
                not asked.spread_limit
                or sum(k[:3] == key[:3] for k in link.model.running())
                < asked.spread_limit
            )
        ]
        return self.fitting(asked, permitted) >= 2

    def fitting(self, asked, models):
        """Return how many tasks of a step the workers have room for."""
        count = 0
        for model in models:
            cpu, mem_mb = model.free()
            fits = mem_mb // asked.mem_mb
            if not asked.fills:
                fits = min(fits, cpu // asked.cpu)
            count += max(0, fits)
        return count

    def report(self, task):
        if any(item.startswith(str(task.key)) for item in self.violations):
            return
        now = self.clock.monotonic()
        asked = self.step_of(task.key)
        lines = [
            f"{task.key} waits at {now - 1000.0:.2f} (calm since"
            f" {self.calm_since - 1000.0:.2f}), last run at"
            f" {self.last_run_at[task.key] - 1000.0:.2f}; table: {task.status.name}"
            f" run {task.number} failures {task.failures} on {task.incarnation};"
            f" asks cpu {asked.cpu} mem {asked.mem_mb} fills {asked.fills} label"
            f" {asked.required_label!r} spread {asked.spread_limit} count {asked.count}"
        ]
        views = self.executor._views()
        for worker_id, link in self.links.items():
            session = self.executor.sessions.get(worker_id)
            view = views.get(worker_id)
            if link.model is None or session is None or view is None:
                lines.append(f"  {worker_id}: model {link.model} session {session}")
                continue
            same = sum(k[:3] == task.key[:3] for k in link.model.running())
            lines.append(
                f"  {worker_id}: free {link.model.free()}, same step {same}; table:"
                f" usable {view.usable} free ({view.cpu}, {view.mem_mb}) same"
                f" {view.counts.get(task.key[:3], 0)} max_new_runs"
                f" {view.max_new_runs} grade {view.grade} responsive"
                f" {session.is_responsive()}"
                f" pending {sorted(map(str, session._sender.pending()))}"
            )
        self.violations.append("\n".join(lines))

    # ---- the whole ----

    def run(self):
        try:
            self.clock.spawn(self.change_leader)
            self.clock.run(0.001)
            for target in (self.ping, self.submit_small_jobs, self.check):
                self.clock.spawn(target)
            self.clock.spawn(self.inject_faults)
            self.clock.run(FAULTY_SECONDS)
            self.faults = False
            self.clock.run(self.calm_seconds)
        finally:
            self.clock.stop()


def fields_of(record):
    names = [spec[2] for spec in WorkerRecord.thrift_spec if spec is not None]
    return {name: getattr(record, name) for name in names}
