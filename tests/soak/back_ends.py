"""The emulated workers and their provider, which report what they see."""

import itertools
import random
import threading
import time
from dataclasses import replace

from berthline.stand_in import StandInProvider, StandInWorker

from arbutuscleat.core import SystemClock
from arbutuscleat.emulator.provider_model import ProviderModel
from arbutuscleat.emulator.worker_model import WorkerModel
from arbutuscleat.execution import MachineOrderOutcome, MachineState
from arbutuscleat.jobs import RunOutcome
from arbutuscleat.wire.gen_jobs.ttypes import WorkerRecord

from . import bounds
from .checks.machines import MachineCheck
from .checks.runs import RunCheck
from .disturbances import worker
from .network import Link
from .workload import WORKER_CPU, WORKER_MEM_MB
from .world import Part, World

POOLS = {"karachi": 5, "qasim": 4, "portal": 3}
GUARDS = {"karachi": True, "qasim": False, "portal": True}
"""Whether the workers of a service reject what does not fit."""


class SoakWorkerModel(WorkerModel):
    """A worker with a capacity, which reports its runs to the checks."""

    def __init__(self, host: "SoakWorker", runs: RunCheck):
        super().__init__(SystemClock(), int(time.time() * 1000), self._decide)
        self._host = host
        self._workload = runs.world.workload
        self._runs_check = runs
        self.failing = False
        self.dead = False
        self.lapses = 0
        self._lapsed = False

    def free(self) -> tuple[int, int]:
        with self._lock:
            return self._free()

    def leave(self, by_order: bool) -> None:
        """End all runs, as when the machine loses power."""
        with self._lock:
            self.dead = True
            self._runs_check.worker_gone(self._host, by_order)

    def _free(self) -> tuple[int, int]:
        steps = [self._workload.step(key) for key in self._runs]
        cpu = sum(step.cpu for step in steps if step is not None)
        mem_mb = sum(step.mem_mb for step in steps if step is not None)
        return WORKER_CPU - cpu, WORKER_MEM_MB - mem_mb

    def _decide(self, order):
        return (0.2, RunOutcome.FAILED) if self.failing else self._workload.run(order)

    def _end_expired_runs(self) -> None:
        lapsed = self._now_ms() >= self._expires_ms
        self.lapses += lapsed and not self._lapsed
        self._lapsed = lapsed
        super()._end_expired_runs()

    def _has_room(self, order) -> bool:
        step, (cpu, mem_mb) = self._workload.step(order.key), self._free()
        if step is None or not GUARDS[self._host.service]:
            return not self.dead
        return not self.dead and step.cpu <= cpu and step.mem_mb <= mem_mb

    def _note_start(self, order) -> None:
        self._runs_check.started(self._host, order, self._free())

    def _note_end(self, end) -> None:
        if not self.dead:
            self._runs_check.ended(self._host, end)

    def _note_acknowledged(self, ends) -> None:
        for end in [] if self.dead else ends:
            self._runs_check.acknowledged(self._host, end)


class SoakWorker(StandInWorker):
    """One incarnation of a worker behind a link of the proxy."""

    def __init__(
        self,
        fleet: "BackEnds",
        worker_id: str,
        machine: str,
        service: str,
        link: Link | None = None,
        announce_after: float = 0.0,
    ):
        self._announce_after = announce_after
        self.service = service
        self.machine = machine
        self.labels = fleet.labels[machine]
        self.draining_since: float | None = None
        record = WorkerRecord(cpu=WORKER_CPU, mem_mb=WORKER_MEM_MB, labels=self.labels)
        control = [link.address for link in fleet.control_links]
        model = SoakWorkerModel(self, fleet.runs)
        super().__init__(worker_id, service, machine, None, control, model, record)
        if link is None:
            name = f"control>{worker_id}"
            link = fleet.world.network.link(name, lambda: self.address)
        link.retarget(lambda: self.address)
        self.link = link
        self.announced_address = self.link.address

    def note_announced(self, draining: bool) -> None:
        if draining and self.draining_since is None:
            self.draining_since = time.monotonic()

    def _announce(self) -> None:
        if not self._stopping.wait(self._announce_after):
            super()._announce()

    def crash(self, by_order: bool = False, keeps_link: bool = False) -> None:
        """End at once, without an announcement; some connections end silently."""
        self.model.leave(by_order)
        (self.link.silence if keeps_link else self.link.close)()
        threading.Thread(target=self.stop, daemon=True).start()


class SoakProvider(ProviderModel):
    """A provider whose moves and upkeeps take time."""

    def __init__(self, machines, fleet: "BackEnds"):
        super().__init__(machines, fleet.replace)
        self._fleet = fleet

    def note_order(self, machine: str, holder: str, fence: int) -> None:
        self._fleet.machine_check.ordered(machine, holder, fence)

    def upkeep(self, machine, wave, fence, may_send=lambda: True):
        with self._lock:
            state = self._machines[machine]
            if (machine, wave) in self.upkeeps:
                return MachineOrderOutcome.DONE
            if not state.is_up:
                return MachineOrderOutcome.BUSY
            self.upkeeps.append((machine, wave))
            self._fleet.machine_check.upkeep_began(machine, wave)
            self._take_down(replace(state, in_upkeep=True), bounds.MAINTENANCE)
            return MachineOrderOutcome.DONE

    def move(self, machine, service_name, fence, may_send=lambda: True):
        with self._lock:
            state = self._machines[machine]
            if state.service_name == service_name:
                return MachineOrderOutcome.DONE
            if not state.is_up:
                return MachineOrderOutcome.BUSY
            self._take_down(replace(state, service_name=service_name), bounds.MOVE)
            return MachineOrderOutcome.DONE

    def _take_down(self, state: MachineState, seconds: float) -> None:
        self._machines[state.machine] = replace(state, is_up=False, worker_id="")
        self._fleet.end(state.machine, by_order=True)
        timer = threading.Timer(seconds, self._bring_up, [state.machine])
        timer.daemon = True
        timer.start()

    def _bring_up(self, machine: str) -> None:
        with self._lock:
            state = replace(self._machines[machine], is_up=True, in_upkeep=False)
            worker_id = self._replace_worker(machine, state.service_name)
            self._machines[machine] = replace(state, worker_id=worker_id)

    def worker_changed(self, machine: str, worker_id: str) -> None:
        """Note that another worker runs on a machine."""
        with self._lock:
            state = self._machines[machine]
            if state.is_up:
                self._machines[machine] = replace(state, worker_id=worker_id)


class BackEnds(Part):
    """All workers and the provider."""

    def __init__(self, world: World, runs: RunCheck, machine_check: MachineCheck):
        super().__init__(world)
        self.runs = runs
        self.machine_check = machine_check
        self.control_links: list[Link] = []
        self.workers: dict[str, SoakWorker] = {}
        self._lock = threading.RLock()
        self._ids = itertools.count(1)
        self._stopped = False
        rng = random.Random(f"{world.seed} machines")
        services = [s for s, n in POOLS.items() for _ in range(world.size.machines * n)]
        self._services = {f"m-{n}": service for n, service in enumerate(services)}
        self.labels = {m: ["a", f"r{rng.randint(1, 3)}"] for m in self._services}
        size = {"cpu": WORKER_CPU, "mem_mb": WORKER_MEM_MB}
        states = [
            MachineState(
                machine, service, True, "", tuple(self.labels[machine]), **size
            )
            for machine, service in self._services.items()
        ]
        self.provider = SoakProvider(states, self)
        self.provider_front = StandInProvider(self.provider)

    def start(self) -> None:
        self.provider_front.start()
        for machine, service in self._services.items():
            self.provider.worker_changed(machine, self.replace(machine, service))

    def stop(self) -> None:
        self._stopped = True
        self.provider_front.stop()
        for machine in self._services:
            self.end(machine)

    def all_workers(self) -> list[SoakWorker]:
        """Return the workers that are up."""
        with self._lock:
            return list(self.workers.values())

    def end(
        self, machine: str, by_order: bool = False, keeps_link: bool = False
    ) -> SoakWorker | None:
        """End the worker of a machine, by an order of the system or by itself."""
        with self._lock:
            old = self.workers.pop(machine, None)
        if old is not None:
            if not by_order:
                self.world.disturbances.note(worker(old.worker_id))
            old.crash(by_order, keeps_link)
        return old

    def succeed(self, old: SoakWorker, worker_id: str) -> None:
        """Start the successor of a worker, with its id if one is given."""
        worker_id = self.replace(old.machine, old.service, worker_id)
        self.provider.worker_changed(old.machine, worker_id)

    def restart(self, old: SoakWorker, announce_after: float) -> None:
        """Start the next incarnation of a worker at its address."""
        self.replace(old.machine, old.service, old.worker_id, old.link, announce_after)
        self.provider.worker_changed(old.machine, old.worker_id)

    def replace(
        self,
        machine: str,
        service: str,
        worker_id: str = "",
        link: Link | None = None,
        announce_after: float = 0.0,
    ) -> str:
        """Start a worker on a machine that has none."""
        with self._lock:
            worker_id = worker_id or f"i-{next(self._ids)}"
            if self._stopped or machine in self.workers:
                return worker_id
            started = SoakWorker(
                self, worker_id, machine, service, link, announce_after
            )
            started.start()
            self.workers[machine] = started
        return worker_id
