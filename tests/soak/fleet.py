"""The real processes, their links, and the signals that they receive."""

import contextlib
import os
import random
import resource
import shutil
import signal
import subprocess
import threading
import time
from pathlib import Path

from berthline.local_node import LocalNode

from arbutuscleat.wire import Address

from . import bounds
from .checks.jobs import CutCheck
from .disturbances import CORE, PLANNED, UNPLANNED, entry
from .network import Link, hold_port
from .world import Loop, Part, World

STOP_SLACK = 1.0
"""Time after the grace that a stopping process still gets before it is aborted."""

WATCH_INTERVAL = 0.1


class Node:
    """One node with its process; faults hold `lock` while they stop or start it."""

    process: subprocess.Popen

    def __init__(self, settings: LocalNode, name: str):
        self.settings = settings
        self.name = name
        self.is_control = settings.role == "control"
        self.scope = CORE if self.is_control else entry(name)
        self.lock = threading.RLock()
        self.lives = 0
        self.stopping = False
        self.paused = 0

    def has_ended(self) -> bool:
        """Return whether its process has ended by itself."""
        return not self.stopping and self.process.poll() is not None

    def waits(self) -> dict[str, float]:
        """Return how long each thread has been ready but did not run, in seconds."""
        found = {}
        for path in Path(f"/proc/{self.process.pid}/task").glob("*/schedstat"):
            with contextlib.suppress(OSError, IndexError):  # The thread has ended.
                found[path.parent.name] = int(path.read_text().split()[1]) / 1e9
        return found

    def send(self, number: int) -> None:
        """Send a signal, to a process that handles it unless it is suspended."""
        with contextlib.suppress(ProcessLookupError):
            if not self.paused:
                _await_handlers(self.process)
            self.process.send_signal(number)


class Fleet(Part):
    """All nodes and the links to, from and between them."""

    def __init__(self, world: World, provider, cuts: CutCheck):
        super().__init__(world)
        self._cuts = cuts
        self._running = True
        # The number of this process keeps fleets of several soaks apart.
        number = os.getpid() + random.SystemRandom().randrange(1 << 16)
        prefix = f"127.{1 + number // 250 % 250}.{1 + number % 250}"
        count = world.size.controls + world.size.entries
        hosts = [f"{prefix}.{1 + n}" for n in range(count)]
        controls = hosts[: world.size.controls]
        fronts, readiness = hold_port(hosts), hold_port(hosts)
        self._held = [*fronts.values(), *readiness.values()]
        front_port, self._readiness_port = (
            next(iter(held.values())).getsockname()[1] for held in (fronts, readiness)
        )
        self._seeds = [f"{host}:{front_port}" for host in controls]
        self.nodes: dict[str, Node] = {}
        for number, host in enumerate(hosts):
            node = self._make_node(number, host, controls, Address(host, front_port))
            self.nodes[node.name] = node
            link = world.network.link(f"{node.name}>provider", provider)
            node.settings.provider = str(link.address)
        self._watcher = Loop(world, lambda: WATCH_INTERVAL, self._watch)

    def _make_node(
        self, number: int, host: str, controls: list, front: Address
    ) -> Node:
        """Create a node, which calls all others at its own port of the proxy."""
        link, is_control = self.world.network.link, host in controls
        name = f"{'control' if is_control else 'entry'}-{number}"
        calls = hold_port([*controls, *({host} - {*controls})])
        self._held.append(calls[host])
        for other, target in enumerate(controls):
            if target != host:
                peer = f"control-{other}"
                address = lambda peer=peer: self._peer_address(peer)
                link(f"{name}>{peer}", address, calls[target])
        for party in ("operators", "workers") if is_control else ("callers",):
            link(f"{party}>{name}", lambda: front)
        ready = f"{host}:{self._readiness_port}"
        settings = LocalNode(
            role=name.partition("-")[0],
            host=host,
            folder=self.world.folder / name,
            peer_port=calls[host].getsockname()[1],
            listens={"control-plane": str(front)}
            if is_control
            else {"frontend": str(front), "readiness": ready},
            seeds=self._seeds[:3],
            provider="",
            bounds=bounds.IN_SETTINGS,
            variables={"PYTHONFAULTHANDLER": "1"},
        )
        return Node(settings, name)

    # ---- inspection ----

    def controls(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.is_control]

    def entries(self) -> list[Node]:
        return [node for node in self.nodes.values() if not node.is_control]

    def readiness(self, node: Node) -> Address:
        return Address(node.settings.host, self._readiness_port)

    def link(self, source: str, target: str) -> Link:
        return self.world.network.links[f"{source}>{target}"]

    def links_of(self, node: Node, party: str = "") -> list[Link]:
        """Return the links from and to a node, with one kind of party if given."""
        found = []
        for name, link in list(self.world.network.links.items()):
            ends = name.split(">")
            if node.name in ends:
                ends.remove(node.name)
                found += [link] if ends[0].startswith(party) else []
        return found

    # ---- the whole fleet ----

    def start(self) -> None:
        for node in self.nodes.values():
            self._start(node, first=True)
        self._watcher.start()

    def stop(self) -> None:
        """Stop all processes as planned, and check how they end."""
        self._running = False
        for nodes in (self.entries(), self.controls()):
            self._stop(nodes)

    def kill(self) -> None:
        """Kill all processes that still run."""
        self._running = False
        self._watcher.stopping.set()
        for node in self.nodes.values():
            with node.lock:
                if node.lives and node.process.poll() is None:
                    node.process.kill()
                    node.process.wait()
        for sock in self._held:
            sock.close()

    # ---- one node ----

    def terminate(self, node: Node) -> None:
        """Stop a node as planned, and start it again."""
        with node.lock, self.world.disturbances.during(node.scope + PLANNED):
            self._stop([node])
            self._start(node)

    def kill_node(self, node: Node, wipe: bool, seconds: float, sleep) -> None:
        """Kill a node, and start it again later, perhaps with an empty data folder."""
        with node.lock, self.world.disturbances.during(node.scope + UNPLANNED):
            self.report.event(f"kill {node.name}{', wipe' if wipe else ''}")
            node.stopping = True
            node.process.kill()
            node.process.wait()
            if wipe:
                shutil.rmtree(node.settings.data_folder, ignore_errors=True)
            sleep(seconds)
            self._start(node)

    def pause(self, node: Node, seconds: float, sleep) -> None:
        """Suspend a node; takes no lock, so that other faults may overlap."""
        process = node.process
        with self.world.disturbances.during(node.scope + UNPLANNED):
            self.report.event(f"pause {node.name} for {seconds:.2f} s")
            node.paused += 1
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGSTOP)
                sleep(seconds)
            node.paused -= 1
            with contextlib.suppress(ProcessLookupError):
                if not node.paused:
                    process.send_signal(signal.SIGCONT)

    def refuse_writes(self, node: Node, seconds: float, sleep) -> None:
        """Let all writes of a node to files fail for some time."""
        with node.lock:
            if node.stopping or node.process.poll() is not None:
                return
            process = node.process
            _await_handlers(process)
        with self.world.disturbances.during(node.scope + UNPLANNED):
            self.report.event(f"{node.name}: no writes for {seconds:.2f} s")
            with contextlib.suppress(ProcessLookupError):
                _, largest = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
                resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, largest))
                sleep(seconds)
                resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (largest, largest))

    def change_settings(self, node: Node, rng: random.Random, signals: bool) -> None:
        """Write other seeds into the settings of a node."""
        with node.lock:
            count = rng.randint(1, min(3, len(self._seeds)))
            node.settings.seeds = rng.sample(self._seeds, count)
            node.settings.write_settings(first_start=False)
            self.report.event(f"settings of {node.name}, signal {signals}")
            if signals and not node.stopping:
                node.send(signal.SIGHUP)

    # ---- details ----

    def _peer_address(self, name: str) -> Address:
        settings = self.nodes[name].settings
        return Address(settings.host, settings.peer_port)

    def _start(self, node: Node, first: bool = False) -> None:
        if not self._running:
            return
        node.settings.write_settings(first)
        # Through a pipe, as a process whose disk refuses writes goes on logging.
        node.process = node.settings.start(subprocess.PIPE)
        copy = threading.Thread(target=_copy_output, args=(node,), daemon=True)
        copy.start()
        node.lives += 1
        node.stopping = False
        self.world.disturbances.note(node.scope + PLANNED)
        self.report.event(f"start {node.name}, process {node.process.pid}")

    def _stop(self, nodes: list[Node]) -> None:
        for node in nodes:
            self.report.event(f"terminate {node.name}")
            node.send(0)
            self._cuts.stopping(node.name)
            node.stopping = True
            node.process.terminate()
        began_at = time.monotonic()
        for node in nodes:
            code, limit = None, bounds.GRACE + STOP_SLACK + began_at
            try:
                code = node.process.wait(max(0.1, limit - time.monotonic()))
            except subprocess.TimeoutExpired:
                node.process.send_signal(signal.SIGCONT)
                # The process writes the stacks of its threads to its log.
                node.process.send_signal(signal.SIGABRT)
                node.process.wait()
                time.sleep(1.0)  # The watch for slow nodes reports twice a second.
            now = time.monotonic()
            text = f"exit code {code} {now - began_at:.2f} s after SIGTERM"
            self.report.event(f"{node.name}: {text}")
            calm = self.calm(began_at, now, node.scope + UNPLANNED)
            if code or (code is None and calm):
                self.fail("EXIT", node.name, text)

    def _watch(self) -> None:
        """Report processes that have ended by themselves, and start them again."""
        for node in self.nodes.values():
            if node.has_ended():
                with node.lock:
                    if self._running and node.has_ended():
                        code = node.process.returncode
                        self.fail("EXIT", node.name, f"ended itself: {code}")
                        self._start(node)


def _copy_output(node: Node) -> None:
    with node.settings.log_path.open("ab", buffering=0) as log:
        for line in node.process.stdout:
            log.write(line)


def _await_handlers(process: subprocess.Popen) -> None:
    """Wait until a process handles SIGTERM, which the interpreter's start precludes."""
    while process.poll() is None:
        with contextlib.suppress(OSError, IndexError):
            status = Path(f"/proc/{process.pid}/status").read_text()
            caught = int(status.partition("SigCgt:")[2].split()[0], 16)
            if caught >> (signal.SIGTERM - 1) & 1:
                return
        time.sleep(0.01)
