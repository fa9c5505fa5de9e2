"""A small installation on loopback, started with the commands of the deploy file."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from .provider import Provider
from .record import Record
from .worker import GangBoard, Worker, call

ROOT = Path(__file__).resolve().parent.parent.parent
METRICS_PORT = 9464
WAIT_SECONDS = 40.0
LIMIT_SECONDS = 105
"""A case that isn't done by then ends with status 2."""
CALLER_HOST = "berth.example"
SERVICE = "karachi"
PREFIX = "/approvals/"

BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000,
    "catch-up-s": 4, "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200,
    "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000,
    "recovery-s": 12, "max-hold-ms": 10000, "stop-ms": 200, "gang-timeout-ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "checkpoint-s": 1, "restore-ms": 600, "notice-ms": 4500,
    "maintenance-s": 2, "lease-ms": 3000, "thaw-ms": 300, "pace-ms": 100,
    "harm-ms": 4000,
}
"""Those of the site ibp-shore."""


def config(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with one queue and one service."""
    route = {
        "name": "r-approvals", "host": CALLER_HOST, "path-prefix": PREFIX,
        "kind": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": 600,
        "priority": 0, "service": SERVICE, "max-attempts": 3, "stretch": 2.2,
        **changes,
    }
    service = {
        "name": SERVICE, "health-path": "/health", "max-connections": 64,
        "protocol": "h1", "tls": False, "admission-check": True, "standby": False,
    }
    return {
        "version": version, "routes": [route], "services": [service],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    }


def free_network() -> str:
    """Return the beginning of loopback addresses on which the metrics port is free."""
    while True:
        start = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}."
        try:
            for last in (*range(1, 7), *range(11, 20)):
                with socket.socket() as sock:
                    sock.bind((f"{start}{last}", METRICS_PORT))
        except OSError:
            continue
        return start


class Installation:
    """Control and entry nodes as processes, workers and a provider as stand-ins.

    Parameters
    ----------
    record : Record
        Receives what is sent and answered.
    controls, entries, workers : int
        How many there are of each.
    """

    def __init__(
        self, record: Record, controls: int = 3, entries: int = 2, workers: int = 8
    ):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._network = free_network()
        self.control_hosts = [f"{self._network}{1 + n}" for n in range(controls)]
        self.entry_hosts = [f"{self._network}{11 + n}" for n in range(entries)]
        hosts = self.control_hosts + self.entry_hosts
        self._ports = [self._free_port(hosts) for _ in range(3)]
        self.control = [f"{host}:{self._ports[1]}" for host in self.control_hosts]
        self.entries = [f"{host}:{self._ports[1]}" for host in self.entry_hosts]
        self.processes: dict[str, subprocess.Popen] = {}
        self.workers: dict[str, Worker] = {}
        self.lives: list[Worker] = []
        self._worker_count = workers
        self._gangs = GangBoard()
        self.provider = Provider(record, f"{self._network}200", self.machine_rows)
        self.watchers: list[Any] = []
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._roles = deploy["roles"]

    # ---- life ----

    def start(self, content: dict[str, Any] | None = None) -> None:
        """Start everything, set the configuration and wait until it serves."""
        self.provider.http.start()
        for host in self.control_hosts:
            self.start_process("control", host, True)
        for host in self.entry_hosts:
            self.start_process("entry", host, True)
        self.wait("the configuration", lambda: self.put_config(content or config()))
        for number in range(self._worker_count):
            self.start_worker(f"m-{number}")
        for host in self.entry_hosts:
            address = f"{host}:{self._ports[2]}"
            self.wait(
                "readiness",
                lambda address=address: call("GET", address, "/v1/readiness")[0] == 200,
            )
        time.sleep(2.0)  # Every worker has been held once.
        self.record.write("the installation serves")

    def stop(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for worker in self.lives:
            if worker.is_up:
                worker.crash()
        self.provider.http.crash()

    def start_process(self, role: str, host: str, bootstrap: bool = False) -> None:
        """Start a node with the command of the deploy file."""
        folder = self.folder / host
        folder.mkdir(exist_ok=True)
        settings = folder / "node.toml"
        settings.write_text(self._settings(role, host, bootstrap))
        words = self._roles[role]["run"].split()
        environ = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "ARBUTUSCLEAT_BOOT": str(settings),
        }
        with (folder / "log").open("ab") as log:
            self.processes[host] = subprocess.Popen(
                words, cwd=ROOT, env=environ, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def start_worker(self, machine: str, worker_id: str = "", port: int = 0) -> Worker:
        """Start a lifetime of a worker on a machine."""
        number = int(machine.split("-")[1])
        worker_id = worker_id or f"i-{random.getrandbits(32):08x}"
        worker = Worker(
            self.record, worker_id, SERVICE, machine,
            f"{self._network}{100 + number}", self.control, port,
            rack=f"r{1 + number // 4}", watch=self._watch,
            gangs=self._gangs,
        )
        self.workers[machine] = worker
        self.lives.append(worker)
        worker.start()
        return worker

    def machine_rows(self) -> list[dict[str, Any]]:
        """Return the rows of the provider's list."""
        return [
            {
                "machine": machine, "pool": worker.service,
                "state": "up" if worker.is_up else "down", "zone": worker.zone,
                "labels": worker.labels,
                "capacity": {"cpu": worker.cpu, "mem-mb": worker.mem_mb, "gpu": 0},
                "id": worker.worker_id,
            }
            for machine, worker in sorted(self.workers.items())
        ]

    # ---- calls ----

    def put_config(self, content: dict[str, Any]) -> bool:
        """Send a configuration; return whether it was acknowledged."""
        for address in self.control:
            status, _ = call("PUT", address, "/v1/configuration", content, 1.0)
            self.record.write(
                f"PUT configuration {content['version']} at {address}: {status}"
            )
            if status == 200:
                return True
        return False

    def job(self, method: str, job_id: str, content: Any = None, entry: int = 0):
        """Call an entry node about a job; return status and content."""
        answer = call(
            method, self.entries[entry], PREFIX + job_id, content, 3.0,
            {"Host": CALLER_HOST, "X-Arbutuscleat-Deadline-Ms": "3000"},
        )
        self.record.write(f"{method} {job_id} at entry {entry}: {answer}")
        return answer

    def submit(self, job_id: str, content: dict[str, Any]) -> bool:
        """Hand a job in, as a client does: again after no clear answer."""
        for attempt in range(20):
            status, _ = self.job("POST", job_id, content, attempt % len(self.entries))
            if 200 <= status < 300:
                return True
            time.sleep(0.3)
        return False

    def wait(self, what: str, condition) -> None:
        """Poll until a condition holds; raise TimeoutError if it does not in time."""
        deadline = time.monotonic() + WAIT_SECONDS
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(what)
            time.sleep(0.1)

    def log_lines(self, word: str) -> list[str]:
        """Return the log lines of all nodes that hold a word, for the record."""
        found = []
        for host in self.control_hosts + self.entry_hosts:
            path = self.folder / host / "log"
            if path.exists():
                lines = path.read_text(errors="replace").splitlines()
                found += [f"{host}: {line}" for line in lines if word in line]
        return found

    # ---- details ----

    def _watch(self, *event) -> None:
        for watcher in self.watchers:
            watcher(*event)

    def _free_port(self, hosts: list[str]) -> int:
        while True:
            port = random.randint(20_000, 30_000)
            try:
                for host in hosts:
                    with socket.socket() as sock:
                        sock.bind((host, port))
                return port
            except OSError:
                continue

    def _settings(self, role: str, host: str, bootstrap: bool) -> str:
        peer, front, readiness = self._ports
        listen = {"control-plane": f"{host}:{front}"}
        if role == "entry":
            listen = {
                "frontend": f"{host}:{front}", "readiness": f"{host}:{readiness}"
            }
        is_core = role == "control"
        lines = [
            f'node-name = "{role}-{host}"',
            f'role = "{role}"',
            f'machine-class = "{"core" if is_core else "edge"}"',
            f'serves = ["{"control" if is_core else "edge"}"]',
            f'ip = "{host}"',
            'zone = "west"',
            'region = "coast"',
            f"internal-ports = [{peer},{peer + 15}]",
            f"seeds = {json.dumps(self.control[:3])}",
            f"bootstrap = {json.dumps(bootstrap)}",
            f"loss-counts = {json.dumps(is_core)}",
            'discovery = "registry"',
            'entry = "vip"',
            "heartbeat-ms = 1500",
            'contracts = ["base","drain","config","cost","recover","sched","upkeep"]',
            'config_mode = "highest"',
            'orders = "invoke"',
            *([f'data-dir = "{self.folder / host / "data"}"'] if is_core else []),
            "[zones]",
            'west = "coast"',
            "[listen-addrs]",
            *[f'{name} = "{value}"' for name, value in listen.items()],
            "[limits]",
            "cores = 2",
            "memory-mb = 300",
            "max-fds = 4100",
            "[fault-tolerance]",
            "machines = 1",
            "zones = 1",
            "regions = 0",
            "[bounds]",
            *[f"{name} = {value}" for name, value in BOUNDS.items()],
            "fencing-enforced = false",
            "[cloud]",
            f'address = "{self.provider.http.address}"',
            "rate-per-s = 64.0",
            "duties = []",
            "duty-per-s = 64.0",
        ]
        return "\n".join(lines) + "\n"


def _give_up(number: int, frame: Any) -> None:
    raise TimeoutError(f"ended by signal {number}")


def trouble() -> bool:
    """Return whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(main, folder: Path, **sizes: int) -> None:
    """Run a case and exit with its status: 1 broken, 0 held, 2 could not run."""
    record = Record(folder / "record.txt")
    record.write(f"TROUBLE={int(trouble())}")
    installation = Installation(record, **sizes)
    signal.signal(signal.SIGALRM, _give_up)
    signal.signal(signal.SIGTERM, _give_up)
    signal.alarm(LIMIT_SECONDS)
    try:
        installation.start()
        status = main(installation)
    except Exception as exc:  # Whatever it is, the case could not run.
        record.write(f"could not run: {exc!r}")
        status = 2
    finally:
        signal.alarm(0)
        installation.stop()
    record.write(f"exit status {status}")
    print(f"exit status {status}; see record.txt")
    sys.exit(status)
