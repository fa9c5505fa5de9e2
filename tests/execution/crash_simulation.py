"""The simulation with tasks that crash each worker that starts them.

A crashed worker is back after some seconds, at times after its lease has expired, with
the same id or with another one at the same address. Workers also crash for no reason of
their tasks, or are cut off, and leaders change.
"""

import random
from collections import Counter

from arbutuscleat.jobs import JobPhase, RunOutcome
from arbutuscleat.wire.gen_jobs.ttypes import WorkerRecord
from tests.execution.simulation import Simulation, fields_of
from tests.fakes.jobs import step

MAX_CRASHES = 3
MAX_FURTHER_STARTS = 2
"""Starts of a task after the crashes, by the platform's rule."""


class CrashSimulation(Simulation):
    """The simulation with tasks that crash their workers."""

    calm_seconds = 40.0

    def __init__(self, seed):
        self.crashes = Counter()
        self.further_starts = Counter()
        self.random_crashes = set()
        super().__init__(seed)
        self.failure_share = 0.0
        self.crashing_tasks = set()
        self.hit_by_chance = set()
        """Jobs on workers that have crashed for no reason of their tasks."""

        self.crash_delay = self.rng.choice([0.01, 0.01, 0.5])
        self.long_outages = self.rng.random() < 0.3

    def start_worker(self, worker_id):
        for incarnation in self.random_crashes:
            runs = self.harness.table.runs.get(incarnation, {})
            self.hit_by_chance |= {key.job_id for key in runs}
        super().start_worker(worker_id)

    def submit_small_jobs(self):
        self.clock.spawn(self.submit_crashing_jobs)
        super().submit_small_jobs()

    def submit_crashing_jobs(self):
        rng = random.Random(self.seed + 3_000_000)
        for number in range(rng.randint(1, 4)):
            self.clock.pause(rng.uniform(0.5, 4.0))
            job_id = f"c{number:015x}"
            kind = rng.choice(["one", "one", "all", "gang", "long-running"])
            count = rng.choice([1, 2, 5])
            asked = step(
                count,
                cpu=500,
                mem_mb=100,
                gang=kind == "gang",
                long_running=kind == "long-running",
            )
            indexes = range(count) if kind == "all" else [0]
            self.crashing_tasks |= {(job_id, 0, 0, index) for index in indexes}
            self.log(f"{job_id} has {count} tasks, {kind}")
            self.accept(job_id, [asked])

    def work(self, model, order):
        key = tuple(order.key)
        if self.crashes[key] >= MAX_CRASHES and key in self.crashing_tasks:
            self.further_starts[key] += 1
        if key in self.crashing_tasks:
            self.clock.spawn(lambda: self.crash_later(model))
            return None, RunOutcome.DONE
        if self.step_of(order.key).gang:
            return 1.0, RunOutcome.ALONE  # One member has crashed its worker.
        return super().work(model, order)

    def crash_later(self, model):
        self.clock.pause(self.crash_delay)
        for worker_id, link in list(self.links.items()):
            if link.model is model:
                self.crash(worker_id)

    def crash(self, worker_id):
        link = self.links[worker_id]
        running = link.model.running()
        self.crashes.update(tuple(key) for key in running)
        self.log(f"{worker_id} crashes: {[str(key) for key in running]}")
        link.model = None
        if self.calm_since is not None:
            self.calm_since = self.clock.monotonic()
        self.break_gangs({key[:3] for key in running if self.step_of(key).gang})
        seconds = self.rng.uniform(2.0, 4.0)
        if self.long_outages and self.rng.random() < 0.5:
            seconds = self.rng.uniform(7.0, 10.0)
        if self.rng.random() < 0.5:
            self.clock.spawn(lambda: self.restart_later(worker_id, seconds))
        else:
            self.clock.spawn(lambda: self.replace_later(worker_id, seconds))

    def break_gangs(self, groups):
        for model in [link.model for link in self.links.values() if link.model]:
            for key in model.running():
                if key[:3] in groups:
                    model._end(model._runs[key], RunOutcome.BROKEN)

    def replace_later(self, worker_id, seconds):
        """Let the worker start under another id at its address."""
        self.clock.pause(seconds)
        link, old = self.links.get(worker_id), self.records.get(worker_id)
        if link is None or link.model is not None:
            return
        new_id = f"w{1 + max(int(name[1:]) for name in self.links)}"
        del self.links[worker_id], self.records[worker_id]
        link.worker_id = new_id
        self.links[new_id] = link
        self.records[new_id] = WorkerRecord(
            **{**fields_of(old), "worker_id": new_id, "draining": False}
        )
        self.start_worker(new_id)
        self.register(new_id)

    def inject_fault(self):
        rng, now = self.rng, self.clock.monotonic()
        worker_id = rng.choice(sorted(self.links))
        link = self.links[worker_id]
        chance, length = rng.random(), rng.uniform(0.5, 9.0)
        if chance < 0.02 and link.model is not None:
            self.hit_by_chance |= {key.job_id for key in link.model.running()}
            self.random_crashes.add((worker_id, link.model.born_ms))
            self.crash(worker_id)
        elif chance < 0.04:
            self.log(f"{worker_id} is unreachable for {length:.2f} s")
            link.unreachable_until = now + length
        elif chance < 0.06:
            self.change_leader(rng.random() < 0.5)

    def report(self, task):
        if task.key.job_id not in {key[0] for key in self.crashing_tasks}:
            super().report(task)

    def run(self):
        super().run()
        for key, count in self.further_starts.items():
            if count > MAX_FURTHER_STARTS:
                self.violations.append(f"{key} was started {count} times more")
        crashing = {key[0] for key in self.crashing_tasks}
        for job_id, state in self.harness.table.jobs.items():
            failed = state.phase() is JobPhase.FAILED
            if failed and job_id not in crashing | self.hit_by_chance:
                self.violations.append(f"{job_id} crashes no worker and is given up")
            elif job_id in crashing and not failed and not self.long_outages:
                self.violations.append(f"{job_id} is not given up")
