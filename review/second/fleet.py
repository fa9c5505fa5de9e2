"""A small deployment on loopback: the project's programs, workers and the provider.

The programs are started with the commands of the deploy file, as the platform starts
them; each node has a loopback address of its own.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from http_server import JsonServer
from record import Record

ROOT = Path(__file__).resolve().parent.parent.parent
WORKER = Path(__file__).resolve().parent / "worker.py"
HOST = "berth.example"
ZONE = "west"
START_SECONDS = 25.0
"""Longest wait for the first configuration and for the workers to be known."""

BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "contact-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 6,
    "config-apply-ms": 2000,
    "recovery-s": 12,
    "max-hold-ms": 10000,
    "stop-ms": 200,
    "gang-timeout-ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "notice-ms": 4500,
    "migrate-s": 1.5,
    "maintenance-s": 2,
    "lease-ms": 3000,
}
"""The bounds of the installations in SYSTEM.md."""


class NotRunError(Exception):
    """The trial could not be carried out."""


@dataclass
class Node:
    """A node of the system, or a worker, and its process."""

    name: str
    ip: str
    command: list[str]
    env: dict[str, str]
    cwd: Path
    log: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, env=self.env, cwd=self.cwd, stdout=log, stderr=log
            )

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Fleet:
    """The processes of one trial.

    Parameters
    ----------
    record : Record
        What is sent, answered and run.
    services : dict of str to int
        Number of workers of each service.
    control_count, entry_count : int
        Number of nodes of each role.
    entry_control : callable, optional
        Given the addresses of the control nodes and their internal port, returns the
        port that the entry nodes call instead, for a proxy in between.
    """

    def __init__(
        self,
        record: Record,
        services: dict[str, int],
        control_count: int = 4,
        entry_count: int = 2,
        entry_control: Any = None,
    ):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="trial-"))
        net = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        self.control_ips = [f"{net}.{10 + i}" for i in range(control_count)]
        self.entry_ips = [f"{net}.{30 + i}" for i in range(entry_count)]
        self.worker_ips = [f"{net}.{60 + i}" for i in range(sum(services.values()))]
        self.provider_ip = f"{net}.200"
        everything = [*self.control_ips, *self.entry_ips, *self.worker_ips]
        ports = free_ports([*everything, self.provider_ip], 5)
        self.peer_port, self.http_port, self.ready_port, self.worker_port = ports[:4]
        self._provider_port = ports[4]
        self.entry_peer_port = self.peer_port
        if entry_control is not None:
            self.entry_peer_port = entry_control(self.control_ips, self.peer_port)
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._roles = tomllib.load(file)["roles"]
        self.controls = [self._node("control", ip) for ip in self.control_ips]
        self.entries = [self._node("entry", ip) for ip in self.entry_ips]
        self.workers: list[Node] = []
        self.machines: list[dict[str, Any]] = []
        names = [name for name, count in services.items() for _ in range(count)]
        for number, (name, ip) in enumerate(zip(names, self.worker_ips, strict=True)):
            self.workers.append(self._worker(number, name, ip))
        self._provider = JsonServer(
            (self.provider_ip, self._provider_port), self._provide
        )

    # ---- start and end ----

    def start(self, config: dict[str, Any]) -> None:
        """Start everything, and wait until it is in operation."""
        threading.Thread(target=self._provider.serve_forever, daemon=True).start()
        for node in [*self.controls, *self.entries]:
            node.start()
        deadline = time.monotonic() + START_SECONDS
        while self.put_config(config) != 200:
            if time.monotonic() > deadline:
                raise NotRunError("the first configuration was not accepted")
            time.sleep(0.2)
        for node in self.workers:
            node.start()
        known = 0
        while known < len(self.workers):
            events = self.record.events("ping")
            known = len({e["worker"] for e in events if e["status"] == 200})
            if time.monotonic() > deadline:
                raise NotRunError(f"only {known} workers are known")
            time.sleep(0.2)
        time.sleep(1.0)

    def end(self) -> None:
        """End all processes and remove the folder."""
        for node in [*self.workers, *self.entries, *self.controls]:
            node.kill()
        self._provider.shutdown()
        if os.environ.get("KEEP") == "1":
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # ---- calls ----

    def put_config(self, config: dict[str, Any], ip: str = "") -> int:
        """Send a configuration to a control node and return the status."""
        address = (ip or self.control_ips[0], self.http_port)
        status, _ = call(address, "PUT", "/v1/configuration", config)
        self.record.note("config", sent=config, status=status)
        return status

    def client(
        self, method: str, path: str, content: Any = None, entry: int = 0
    ) -> tuple[int, Any]:
        """Send a client's request to an entry node and return status and body."""
        address = (self.entry_ips[entry % len(self.entry_ips)], self.http_port)
        status, tree = call(address, method, path, content, 3.0)
        self.record.note(
            "client", method=method, path=path, sent=content, status=status, body=tree
        )
        return status, tree

    def submit(self, path: str, content: Any, seconds: float = 10.0) -> None:
        """Hand a job in, again until it is accepted."""
        deadline = time.monotonic() + seconds
        attempt = 0
        while self.client("POST", path, content, attempt)[0] != 200:
            attempt += 1
            if time.monotonic() > deadline:
                raise NotRunError(f"{path} was not accepted")
            time.sleep(0.3)

    # ---- parts ----

    def _node(self, role: str, ip: str) -> Node:
        folder = self.folder / f"{role}-{ip}"
        folder.mkdir()
        peer_port = self.peer_port if role == "control" else self.entry_peer_port
        listens = {"control-plane": f"{ip}:{self.http_port}"}
        if role == "entry":
            listens = {
                "frontend": f"{ip}:{self.http_port}",
                "readiness": f"{ip}:{self.ready_port}",
            }
        seeds = [f"{item}:{self.http_port}" for item in self.control_ips[:3]]
        lines = [
            f'node-name = "{role}-{ip}"',
            f'role = "{role}"',
            f'machine-class = "{"core" if role == "control" else "edge"}"',
            f'ip = "{ip}"',
            f'zone = "{ZONE}"',
            'region = "coast"',
            f"internal-ports = [{peer_port},{peer_port}]",
            f"seeds = {json.dumps(seeds)}",
            "bootstrap = true",
            f"loss-counts = {json.dumps(role == 'control')}",
            "heartbeat-ms = 1500",
            'config_mode = "highest"',
            'orders = "invoke"',
            f'data-dir = "{folder / "data"}"' if role == "control" else "",
            "[listen-addrs]",
            *[f'{name} = "{address}"' for name, address in listens.items()],
            "[fault-tolerance]",
            "machines = 1",
            "zones = 1",
            "regions = 0",
            "[cloud]",
            f'address = "{self.provider_ip}:{self._provider_port}"',
            "rate-per-s = 64.0",
            "duty-per-s = 64.0",
            "[bounds]",
            *[f"{name} = {value}" for name, value in BOUNDS.items()],
        ]
        settings = folder / "node.toml"
        settings.write_text("\n".join(lines) + "\n")
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "ARBUTUSCLEAT_BOOT": str(settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        command = self._roles[role]["run"].split()
        return Node(f"{role}-{ip}", ip, command, env, ROOT, folder / "log")

    def _worker(self, number: int, service: str, ip: str) -> Node:
        cfg = {
            "id": f"i-{number}",
            "machine": f"m-{number}",
            "service": service,
            "address": [ip, self.worker_port],
            "cpu": 16_000,
            "mem_mb": 32_768,
            "control": [[item, self.http_port] for item in self.control_ips],
            "record": str(self.record.path.resolve()),
        }
        self.machines.append(
            {
                "machine": cfg["machine"],
                "pool": service,
                "state": "up",
                "zone": ZONE,
                "labels": ["a", "r1"],
                "capacity": {"cpu": cfg["cpu"], "mem-mb": cfg["mem_mb"], "gpu": 0},
                "id": cfg["id"],
            }
        )
        command = [sys.executable, str(WORKER), json.dumps(cfg)]
        env = {"PATH": os.environ["PATH"], "LANG": "C.UTF-8"}
        return Node(f"i-{number}", ip, command, env, WORKER.parent, self.folder / ip)

    def _provide(
        self, method: str, path: str, _: dict[str, str], tree: dict[str, Any]
    ) -> tuple[int, Any]:
        if method == "GET":
            return 200, {"machines": self.machines, "next-page-token": ""}
        self.record.note("order to the provider", path=path, body=tree)
        return 409, {"reason": "busy"}


def call(
    address: tuple[str, int],
    method: str,
    path: str,
    content: Any = None,
    timeout: float = 2.0,
) -> tuple[int, Any]:
    """Send a request on a new connection; the status is 0 without an answer."""
    conn = http.client.HTTPConnection(*address, timeout=timeout)
    body = None if content is None else json.dumps(content)
    headers = {"Host": HOST, "Content-Type": "application/json"}
    if timeout >= 3.0:
        headers["X-Arbutuscleat-Deadline-Ms"] = str(int(1000 * timeout))
    try:
        conn.request(method, path, body, headers)
        answer = conn.getresponse()
        data = answer.read()
        return answer.status, json.loads(data) if data else {}
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}
    finally:
        conn.close()


def free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free on all these addresses."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(20_000, 32_000)
        if port in found:
            continue
        try:
            for ip in ips:
                with socket.socket() as sock:
                    sock.bind((ip, port))
        except OSError:
            continue
        found.append(port)
    return found


def route(name: str, prefix: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "kind": "non_idempotent",
        "timeout-ms": 3000,
        "target-latency-ms": 600,
        "priority": 0,
        "service": service,
        "max-attempts": 3,
        "stretch": 1.6,
        **fields,
    }


def config(version: int, routes: list[dict[str, Any]], services: list[str]) -> dict:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-connections": 64,
                "protocol": "h1",
                "tls": False,
                "admission-check": True,
                "standby": False,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


def run_trial(folder: Path, trial: Any) -> None:
    """Run a trial and exit: 1 if the rule was broken, 0 if it held, 2 if not run.

    `trial` is called with the record and whether there is trouble, and returns a text
    that says how the rule was broken; an empty one if it held.
    """
    path = folder / "record.txt"
    path.write_text("")
    record = Record(path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ends the processes also if the script itself is ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = trial(record, trouble)
    except NotRunError as exc:
        record.note("not run", why=str(exc))
        print(f"not run: {exc}")
        sys.exit(2)
    record.note("verdict", broken=broken)
    print(f"broken: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
