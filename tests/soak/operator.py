"""Operators: they change and read the configuration, and have machines maintained."""

import random
import threading
import time
from typing import Any

from .back_ends import GUARDS
from .callers import HOST, call
from .checks.config import ConfigCheck
from .checks.machines import MachineCheck
from .fleet import Fleet, Node
from .workload import LASTING, MAX_ATTEMPTS, ROUTES
from .world import Loop, Part, World

CONFIGURATION = "/v1/configuration"
MAX_ROUTES = 4
"""Routes beside those of the queues at which one is removed."""

READ_INTERVAL = 0.3
GIVE_UP = 60.0
BACKOFF = 0.2
SERVICES = [
    {"name": name, "admission-check": guards, "standby": name == "portal"}
    for name, guards in GUARDS.items()
]
ROUTE = {
    "host": HOST,
    "kind": "non_idempotent",
    "timeout-ms": 3_000,
    "target-latency-ms": 600,
    "max-attempts": MAX_ATTEMPTS,
    "stretch": 1.6,
}
WRONG = [
    lambda tree: {**tree, "version": "x"},
    lambda tree: {**tree, "routes": [*tree["routes"], tree["routes"][0]]},
    lambda tree: {**tree, "routes": [{**tree["routes"][0], "timeout-ms": 0}]},
    lambda tree: {**tree, "routes": [{**tree["routes"][0], "service": "nobody"}]},
    lambda tree: "no object",
]
"""Changes that make a configuration invalid."""


class Operator(Part):
    """Sends changes until they are acknowledged, and reads all the while."""

    def __init__(
        self, world: World, fleet: Fleet, check: ConfigCheck, machines: MachineCheck
    ):
        super().__init__(world)
        self._fleet = fleet
        self._check = check
        self._machine_check = machines
        self._rng = random.Random(f"{world.seed} operator")
        self._lock = threading.Lock()
        self._wave = 0
        self._extra: list[str] = []
        self._removed: list[str] = ["/never/"]
        self._newest: dict[str, Any] = {"version": 0}
        self.loop = Loop(world, lambda: READ_INTERVAL, self._read_any)

    def known_paths(self) -> list[str]:
        """Return path prefixes that are or were routes, or never were."""
        with self._lock:
            return [*ROUTES, *self._extra, *self._removed[-3:]]

    def change(self) -> None:
        """Add or remove a route, and send that until it is acknowledged."""
        with self._lock:
            content = self._newest = self._next()
            self._check.sent(content)
        until = time.monotonic() + GIVE_UP
        while time.monotonic() < until and not self.loop.stopping.is_set():
            status = self._call("PUT", CONFIGURATION, content)[0]
            self._check.answered(content["version"], status)
            if status == 200:
                return
            self.loop.stopping.wait(BACKOFF)

    def send_invalid(self) -> None:
        """Send an invalid configuration, which has to be refused."""
        with self._lock:
            content = {**self._newest, "version": self._newest["version"] + 1}
            wrong = self._rng.choice(WRONG)(content)
        if self._call("PUT", CONFIGURATION, wrong)[0] == 200:
            self.fail("CONFIG", "invalid", f"acknowledged: {wrong!r}")

    def send_old(self) -> None:
        """Send other content under the version held, which must change nothing."""
        with self._lock:
            content = {**self._newest, "routes": []}
        if content["version"] == self._check.newest():
            self._call("PUT", CONFIGURATION, content)

    def run_wave(self, machines: list[str], cap: int) -> None:
        """Have machines maintained, and wait until that is said to be completed."""
        with self._lock:
            self._wave += 1
            wave = self._wave
        self._machine_check.wave_sent(wave, machines, cap)
        tree = {"wave": wave, "machines": machines, "duration-s": 20, "cap": cap}
        until, sent, state = time.monotonic() + GIVE_UP, False, ""
        while time.monotonic() < until and not self.loop.stopping.wait(BACKOFF):
            if not sent:
                sent = self._call("POST", "/v1/wave-start", tree)[0] == 200
            else:
                state = self._call("GET", f"/v1/wave-get/{wave}")[1].get("state")
            if state == "completed":
                self.report.event(f"wave {wave} is completed")
                self._machine_check.shown_completed(wave)
                return

    def read_back(self) -> bool:
        """Read from every control node; return whether all know the newest version."""
        versions = [self._read(node) for node in self._fleet.controls()]
        return min(versions) >= self._check.newest()

    def _next(self) -> dict[str, Any]:
        rng, extra = self._rng, self._extra
        version = self._newest["version"] + rng.randint(1, 3)
        if len(extra) >= MAX_ROUTES or (extra and rng.random() < 0.4):
            self._removed.append(extra.pop(rng.randrange(len(extra))))
        else:
            extra.append(f"/extra-{version}/")
        paths = {**ROUTES, **dict.fromkeys(extra, ROUTES[LASTING])}
        routes = [
            {**ROUTE, "name": path, "path-prefix": path, "service": service}
            for path, service in paths.items()
        ]
        for number, route in enumerate(routes):
            route["priority"] = number % 2
        content = {"version": version, "routes": routes, "services": SERVICES}
        return {**content, "limits": {}}

    def _call(self, method: str, path: str, content=None, node: Node | None = None):
        node = node or random.choice(self._fleet.controls())
        address = self._fleet.link("operators", node.name).address
        return call(address, method, path, content)

    def _read(self, node: Node) -> int:
        """Read the configuration from a node; return its version, 0 for none."""
        process, sent_at = (node.name, node.lives), time.monotonic()
        status, content = self._call("GET", CONFIGURATION, node=node)
        if status != 200:
            return 0
        self._check.was_read(process, sent_at, content)
        return content["version"]

    def _read_any(self) -> None:
        self._read(random.choice(self._fleet.controls()))
