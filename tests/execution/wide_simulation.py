"""The simulation with further faults: of leaders, addresses, clocks and orders.

The leader loses its quorum and leads again in the same term, leaders follow one
another quickly, workers end for good, their addresses are used again, orders are
executed late and repeatedly, clocks are stepped or run slow, and workers fail every
run while few other tasks are there to show that they have recovered.
"""

import random

from arbutuscleat.execution import OrderOutcome
from arbutuscleat.wire.gen_jobs.ttypes import WorkerRecord
from tests.execution.simulation import SimulatedLink, Simulation, fields_of
from tests.fakes.jobs import step

CLOCK_STEP_MS = 2_400

CONTACT_SECONDS = 3.0
"""How long the control plane counts as disturbed after its leader has changed."""

MAX_SLOWNESS = 0.02
"""Largest fraction by which a worker's clock runs slow."""


class WideLink(SimulatedLink):
    """A link on which orders of any kind are executed late or repeatedly."""

    def call(self, name, order, timeout, kind):
        chance = self.chance() if self.simulation.faults else 1.0
        if self.clock.monotonic() < self.simulation.unhealthy_until.get(self, 0.0):
            if name != "hold" and not self.is_cut():
                self.clock.pause(0.004)
                return kind(OrderOutcome.UNHEALTHY)
        if chance < 0.04 and not self.is_cut():
            self.clock.spawn(lambda: self.deliver(name, order, 0.5 + 100 * chance))
            if chance < 0.02:
                self.clock.pause(timeout)
                return kind(OrderOutcome.NO_ANSWER)
        return super().call(name, order, timeout, kind)

    def deliver(self, name, order, delay):
        model = self.model
        self.clock.pause(delay)
        if model is self.model and model is not None:
            getattr(model, name)(order, 0.0)


class WideSimulation(Simulation):
    """The simulation with further faults."""

    def __init__(self, seed):
        self.quorum_lost_until = 0.0
        self.leader_event_at = 0.0
        self.unhealthy_until = {}
        super().__init__(seed)
        for link in self.links.values():
            link.__class__ = WideLink
        self.is_quiet = self.rng.random() < 0.4
        if self.is_quiet:
            self.small_interval = self.rng.uniform(2.0, 10.0)

    def start_worker(self, worker_id):
        super().start_worker(worker_id)
        model = self.links[worker_id].model
        model.clock_rate = 1.0 - self.rng.choice([0.0, MAX_SLOWNESS])

    def submit_small_jobs(self):
        self.clock.spawn(self.submit_gangs)
        super().submit_small_jobs()

    def submit_gangs(self):
        rng = random.Random(self.seed + 2_000_000)
        for number in range(20):
            self.clock.pause(rng.uniform(1.0, 3.0))
            asked = step(rng.choice([2, 4]), cpu=500, mem_mb=100, gang=True)
            self.accept(f"9{number:015x}", [asked])

    # ---- leaders ----

    def has_quorum(self):
        return self.clock.monotonic() >= self.quorum_lost_until

    def change_leader(self, with_snapshot=False):
        super().change_leader(with_snapshot)
        self.leader_event_at = self.clock.monotonic()
        self.clock.offset_ms = self.rng.choice([0, 0, CLOCK_STEP_MS, -CLOCK_STEP_MS])

    # ---- faults ----

    def inject_faults(self):
        super().inject_faults()
        for link in self.links.values():
            self.unhealthy_until.pop(link, None)
        quorum_at = max(self.leader_event_at, self.quorum_lost_until)
        self.calm_since = max(self.calm_since, quorum_at + CONTACT_SECONDS)

    def inject_fault(self):
        rng, now = self.rng, self.clock.monotonic()
        chance, length = rng.random(), rng.uniform(0.5, 8.0)
        worker_id = rng.choice(sorted(set(self.links) - self.gone))
        link = self.links[worker_id]
        if chance < 0.04:
            self.log(f"the quorum is lost for {length / 8:.2f} s")
            self.quorum_lost_until = now + length / 8
        elif chance < 0.055:
            self.log("leaders follow one another")
            for _ in range(rng.randint(2, 4)):
                self.change_leader(rng.random() < 0.5)
                self.clock.pause(rng.uniform(0.1, 2.0))
        elif chance < 0.08 and link.model is not None:
            self.reuse_address(worker_id)
        elif chance < 0.10 and len(self.gone) < self.worker_count // 4:
            self.log(f"{worker_id} ends for good")
            link.model = None
            self.gone.add(worker_id)
        elif chance < 0.12:
            self.log("the leader's clock is stepped")
            self.clock.offset_ms = rng.choice([0, CLOCK_STEP_MS, -CLOCK_STEP_MS])
        elif chance < 0.16:
            self.log(f"{worker_id} is unhealthy for {length:.2f} s")
            self.unhealthy_until[link] = now + length
        elif chance < 0.26 and self.is_quiet and link.model is not None:
            self.log(f"{worker_id} fails runs for {length:.2f} s")
            link.model.failing_until = now + length
        else:
            super().inject_fault()

    def reuse_address(self, worker_id):
        """Let a new worker use the address of one that ends without notice."""
        link, old = self.links[worker_id], self.records[worker_id]
        number = 1 + max(int(name[1:]) for name in self.links)
        new_id = f"w{number}"
        elsewhere = self.rng.random() < 0.2
        self.log(f"{new_id} uses the address of {worker_id}, elsewhere {elsewhere}")
        del self.links[worker_id], self.records[worker_id]
        link.worker_id = new_id
        self.links[new_id] = link
        fields = {**fields_of(old), "worker_id": new_id, "draining": False}
        if elsewhere:
            fields["service_name"] = "portal"
        self.records[new_id] = WorkerRecord(**fields)
        self.start_worker(new_id)
        late_ping = self.rng.uniform(0.1, 4.0)
        self.clock.spawn(lambda: self.ping_late(old, late_ping))

    def ping_late(self, record, seconds):
        self.clock.pause(seconds)
        self.harness.apply(worker=record)
