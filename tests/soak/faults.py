"""The faults that the soak injects, each from outside the processes.

A fault is a function that undoes what it does before it returns; faults overlap.
"""

import random
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from . import bounds
from .back_ends import BackEnds, SoakWorker
from .disturbances import CORE, PROVIDER, UNPLANNED, worker
from .fleet import Fleet, Node
from .network import BACKWARD, FORWARD, Link
from .operator import Operator
from .world import World

CUTS = [(FORWARD,), (BACKWARD,), (FORWARD, BACKWARD)]
DELAY_SECONDS = (0.05, 0.6)
MAX_SECONDS = 7.0


@dataclass
class Scene:
    """What faults act on; `disk` is held while a lost disk is not restored yet."""

    world: World
    fleet: Fleet
    back_ends: BackEnds
    operator: Operator
    over: threading.Event = field(default_factory=threading.Event)
    disk: threading.Lock = field(default_factory=threading.Lock)

    def sleep(self, seconds: float) -> None:
        """Sleep, at most until faults have to end."""
        self.over.wait(seconds)

    def is_core_calm(self) -> bool:
        now = time.monotonic()
        return self.world.disturbances.calm(now - bounds.CATCH_UP, now, CORE)

    def event(self, text: str) -> None:
        self.world.report.event(text)

    def node(self, rng: random.Random, control_share: float) -> Node:
        controls = rng.random() < control_share
        return rng.choice(self.fleet.controls() if controls else self.fleet.entries())

    def worker(self, rng: random.Random) -> SoakWorker | None:
        """Choose a worker, by its machine; None if the machine is down."""
        machine = rng.choice(sorted(self.back_ends.labels))
        return self.back_ends.workers.get(machine)


# ---- processes ----


def stop_node(scene, rng):
    scene.fleet.terminate(scene.node(rng, 0.4))


def roll_nodes(scene, rng):
    """Stop several nodes as planned, each a moment after the one before."""
    fleet, pause = scene.fleet, rng.uniform(0.5, 2.5)
    nodes = fleet.controls() if rng.random() < 0.4 else fleet.entries()

    def stop(number, node):
        scene.sleep(number * pause)
        fleet.terminate(node)

    chosen = rng.sample(nodes, max(2, len(nodes) // 3))
    _together(lambda pair=pair: stop(*pair) for pair in enumerate(chosen))


def kill_node(scene, rng):
    node, seconds = scene.node(rng, 0.6), rng.uniform(0.1, 4.0)
    scene.fleet.kill_node(node, False, seconds, scene.sleep)


def lose_disk(scene, rng):
    """Kill a control node and empty its data folder, some right after a change."""
    node, seconds = scene.node(rng, 1.0), rng.uniform(0.1, 3.0)
    after_change = rng.random() < 0.5
    if not scene.disk.acquire(blocking=False):
        return
    try:
        with node.lock:
            if after_change:
                scene.operator.change()
            scene.fleet.kill_node(node, True, seconds, scene.sleep)
        while not scene.is_core_calm() and not scene.over.wait(0.1):
            pass
    finally:
        scene.disk.release()


def refuse_writes(scene, rng):
    """Let the disks of one or two control nodes refuse writes, one after another."""
    for node in rng.sample(scene.fleet.controls(), rng.choice([1, 1, 2])):
        scene.fleet.refuse_writes(node, rng.uniform(0.3, MAX_SECONDS), scene.sleep)


def kill_controls(scene, rng):
    seconds = rng.uniform(0.1, 2.0)
    kill, sleep = scene.fleet.kill_node, scene.sleep
    nodes = scene.fleet.controls()
    _together(lambda node=node: kill(node, False, seconds, sleep) for node in nodes)


def pause_node(scene, rng):
    node = scene.node(rng, 0.6)
    scene.fleet.pause(node, rng.uniform(0.3, MAX_SECONDS), scene.sleep)


def change_settings(scene, rng):
    nodes = list(scene.fleet.nodes.values())
    for node in rng.sample(nodes, rng.randint(1, len(nodes))):
        scene.fleet.change_settings(node, rng, rng.random() < 0.7)


def _together(functions: Iterable[Callable[[], None]]) -> None:
    threads = [threading.Thread(target=function) for function in functions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


# ---- connections ----


def node_links(scene, rng):
    """Disturb some or all links of one node."""
    node = scene.node(rng, 0.6)
    party = rng.choice(["", "control", "control", "provider", "callers", "workers"])
    links = scene.fleet.links_of(node, party) or scene.fleet.links_of(node)
    scope = PROVIDER if party == "provider" else node.scope
    with scene.world.disturbances.during(scope + UNPLANNED):
        _disturb(scene, rng, f"{node.name} {party}", links)


def split_controls(scene, rng):
    """Cut the control nodes in two parts, which others still reach."""
    nodes = scene.fleet.controls()
    part = {node.name for node in rng.sample(nodes, len(nodes) // 2)}
    links = [
        link
        for name, link in scene.world.network.links.items()
        if all(end.startswith("control-") for end in name.split(">"))
        and len(part.intersection(name.split(">"))) == 1
    ]
    with scene.world.disturbances.during(CORE + UNPLANNED):
        _cut(scene, rng, f"{sorted(part)} off", links, (FORWARD, BACKWARD))


def worker_link(scene, rng):
    found = scene.worker(rng)
    if found is not None:
        with scene.world.disturbances.during(worker(found.worker_id)):
            _disturb(scene, rng, found.worker_id, [found.link])


def _disturb(scene: Scene, rng: random.Random, name: str, links: list[Link]) -> None:
    kind = rng.choice(["cut", "cut", "delay", "reset", "silence"])
    if kind == "cut":
        _cut(scene, rng, name, links, rng.choice(CUTS))
    elif kind == "delay":
        delay, seconds = rng.uniform(*DELAY_SECONDS), rng.uniform(0.5, MAX_SECONDS)
        scene.event(f"delay {name} by {delay:.3f} s for {seconds:.2f} s")
        for link in links:
            link.delay = delay
        scene.sleep(seconds)
        for link in links:
            link.delay = 0.0
    else:
        scene.event(f"{kind} {name}")
        for link in links:
            (link.reset if kind == "reset" else link.silence)()


def _cut(scene, rng, name, links, directions) -> None:
    seconds = rng.uniform(0.3, MAX_SECONDS)
    scene.event(f"cut {name} {'+'.join(directions)} for {seconds:.2f} s")
    for link in links:
        link.cut(*directions)
    scene.sleep(seconds)
    for link in links:
        link.heal(*directions)
    scene.event(f"healed {name}")


# ---- workers ----


def crash_worker(scene, rng):
    """Crash a worker, which starts again under its id or is replaced."""
    found = scene.worker(rng)
    seconds, same_id = rng.uniform(0.1, 4.0), rng.random() < 0.6
    if found is None:
        return
    scene.event(f"crash {found.worker_id}, same id {same_id}")
    with scene.world.disturbances.during(worker(found.worker_id)):
        found = scene.back_ends.end(found.machine) or found
        scene.sleep(seconds)
        scene.back_ends.succeed(found, found.worker_id if same_id else "")


def restart_worker_in_place(scene, rng):
    """Restart a worker under its id and address, and cut it off soon after.

    Calls that are sent while it is dark reach its next incarnation.
    """
    found = scene.worker(rng)
    dark, announce_after = rng.uniform(0.2, 1.0), rng.uniform(0.0, 1.5)
    present, absent = rng.uniform(0.3, 2.5), rng.uniform(0.5, bounds.HOLD)
    if found is None:
        return
    link, both = found.link, (FORWARD, BACKWARD)
    scene.event(f"restart {found.worker_id} in place, then cut for {absent:.2f} s")
    with scene.world.disturbances.during(worker(found.worker_id)):
        link.cut(*both)
        # A machine that was moved in the meantime has another worker by now.
        old = scene.back_ends.end(found.machine, keeps_link=True)
        if old is not None:
            scene.sleep(dark)
            scene.back_ends.restart(old, announce_after)
        link.heal(*both)
        scene.sleep(present)
        link.cut(*both)
        scene.sleep(absent)
        link.heal(*both)


def fail_runs(scene, rng):
    """Let a worker fail all runs that it starts."""
    found = scene.worker(rng)
    seconds = rng.uniform(0.5, MAX_SECONDS)
    if found is None:
        return
    scene.event(f"{found.worker_id} fails runs for {seconds:.2f} s")
    with scene.world.disturbances.during(worker(found.worker_id)):
        found.model.failing = True
        scene.sleep(seconds)
        found.model.failing = False


def drain_worker(scene, rng):
    """Let a worker drain and leave as planned, and replace it."""
    found = scene.worker(rng)
    seconds = rng.uniform(bounds.DRAIN, 2 * bounds.DRAIN)
    if found is None:
        return
    scene.event(f"drain {found.worker_id}")
    found.draining = True
    scene.sleep(seconds)
    # A machine that was moved in the meantime has another worker by now.
    if scene.back_ends.workers.get(found.machine) is found:
        scene.back_ends.end(found.machine)
        scene.back_ends.succeed(found, "")


# ---- operators ----


def change_config(scene, rng):
    """Send changes in quick succession, or of two operators at once."""
    changes = rng.randint(1, 8)

    def send(seed):
        rng = random.Random(seed)
        for _ in range(changes):
            if scene.over.is_set():
                return
            scene.operator.change()
            if rng.random() < 0.3:
                scene.operator.send_invalid()
            if rng.random() < 0.3:
                scene.operator.send_old()
            scene.sleep(rng.uniform(0.0, 0.5))

    seeds = [rng.random() for _ in range(rng.choice([1, 2]))]
    _together(lambda seed=seed: send(seed) for seed in seeds)


def start_wave(scene, rng):
    """Have machines maintained, also beyond the end of the faults."""
    machines = rng.sample(sorted(scene.back_ends.labels), rng.randint(1, 3))
    scene.operator.run_wave(machines, rng.randint(1, 2))


FAULTS = {
    stop_node: 2.0,
    roll_nodes: 1.0,
    kill_node: 2.0,
    lose_disk: 1.0,
    kill_controls: 0.4,
    pause_node: 2.0,
    change_settings: 1.0,
    node_links: 4.0,
    split_controls: 1.0,
    worker_link: 3.0,
    crash_worker: 2.0,
    fail_runs: 1.0,
    drain_worker: 1.0,
    change_config: 2.0,
    start_wave: 1.0,
}
"""The kinds of faults, and how often each is chosen relative to the others."""


DISK_FAULTS = {refuse_writes: 1.0}
"""Injected beside the others, as another series: seeds keep their other faults."""

RESTART_FAULTS = {restart_worker_in_place: 1.0}
"""The same, as a series of its own."""


class Injector:
    """Injects a series of faults in rounds; the n-th fault of a seed never changes."""

    def __init__(self, scene: Scene, mean_pause: float, faults=FAULTS, series="fault"):
        self._scene = scene
        self._mean_pause = mean_pause
        self._faults = faults
        self._series = series
        self._number = 0
        self._threads: list[threading.Thread] = []

    def run(self) -> None:
        """Inject overlapping faults until they have to end, and undo all of them."""
        scene = self._scene
        while not scene.over.is_set():
            self._number += 1
            rng = random.Random(f"{scene.world.seed} {self._series} {self._number}")
            pause = rng.expovariate(1.0 / self._mean_pause)
            fault = rng.choices(list(self._faults), list(self._faults.values()))[0]
            thread = threading.Thread(target=self._inject, args=(fault, rng))
            thread.start()
            self._threads.append(thread)
            scene.sleep(pause)
        self.stop()

    def stop(self) -> None:
        """End the faults of all series, and wait until those of this one are undone."""
        self._scene.over.set()
        for thread in self._threads:
            thread.join()
        self._threads.clear()

    def _inject(self, fault, rng: random.Random) -> None:
        self._scene.world.report.count("faults")
        self._scene.event(f"fault {fault.__name__}")
        try:
            fault(self._scene, rng)
        except Exception as exc:  # A failing fault must not end unnoticed.
            self._scene.world.report.violation("SOAK", fault.__name__, repr(exc))
            raise


def inject(scene: Scene, injectors: Iterable[Injector], seconds: float) -> None:
    """Inject the faults of several series for some time."""
    scene.over.clear()
    timer = threading.Timer(seconds, scene.over.set)
    timer.daemon = True
    timer.start()
    _together(injector.run for injector in injectors)
