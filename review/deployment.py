"""The project's own programs as separate processes on loopback addresses.

They are started with the commands of the deploy file, and get a settings file as the
platform writes it for a small installation with one zone.
"""

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "contact-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "rollback-slack-ms": 250,
    "max-stretch-ms": 5000,
    "recovery-s": 12,
    "max-hold-ms": 10000,
    "stop-ms": 200,
    "gang-timeout-ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "checkpoint-s": 1,
    "restore-ms": 600,
    "notice-ms": 4500,
    "maintenance-s": 2,
    "lease-ms": 3000,
    "thaw-ms": 300,
    "pace-ms": 100,
    "harm-ms": 4000,
}
"""The bounds of the site ibp-shore that are whole numbers."""


def _metrics_port(command):
    words = command.split()
    return int(words[words.index("--metrics") + 1].partition("/")[0])


class Deployment:
    """Control and entry nodes, which share ports on addresses of their own.

    Parameters
    ----------
    folder : Path
        Temporary folder for settings, data and logs.
    cloud : str
        Address of the stand-in of the machine provider.
    record : Record
        Notes what happens to the processes.
    controls, entries : int
        Numbers of nodes.
    """

    def __init__(self, folder, cloud, record, controls=3, entries=2):
        self._folder = Path(folder)
        self._record = record
        self._cloud = cloud
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._roles = tomllib.load(file)["roles"]
        hosts = self._free_hosts(controls + entries)
        self.controls = hosts[:controls]
        self.entries = hosts[controls:]
        self.processes = {}
        self._stopped = set()

    def _free_hosts(self, count):
        """Return loopback addresses on which the ports of all roles are free."""
        rng = random.SystemRandom()
        metrics = {_metrics_port(role["run"]) for role in self._roles.values()}
        for _ in range(50):
            prefix = f"127.{rng.randint(10, 250)}.{rng.randint(1, 250)}"
            hosts = [f"{prefix}.{number + 1}" for number in range(count)]
            first = rng.randint(20000, 28000)
            self.control_port, self.front_port = first, first + 1
            self.ready_port, self.peer_port = first + 2, first + 3
            ports = [first, first + 1, first + 2, first + 3, *metrics]
            with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
                for host in hosts:
                    for port in ports:
                        sock = stack.enter_context(socket.socket())
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        sock.bind((host, port))
                return hosts
        raise OSError("no free ports")

    def control_addresses(self):
        """Return the addresses that serve workers and the operator."""
        return [f"{host}:{self.control_port}" for host in self.controls]

    def entry_addresses(self):
        """Return the addresses that serve clients."""
        return [f"{host}:{self.front_port}" for host in self.entries]

    def start(self):
        """Start all processes for the first time."""
        for host in [*self.controls, *self.entries]:
            self.start_node(host, bootstrap=True)

    def start_node(self, host, bootstrap=False):
        """Start the process of one node."""
        is_control = host in self.controls
        name = "control" if is_control else "entry"
        folder = self._folder / host
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / "node.toml"
        path.write_text(self._settings(host, name, folder, bootstrap))
        environ = {
            key: value
            for key, value in os.environ.items()
            if key in ("PATH", "HOME", "LANG")
        }
        environ["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environ["ARBUTUSCLEAT_BOOT"] = str(path)
        with (folder / "log").open("ab") as log:
            self.processes[host] = subprocess.Popen(
                self._roles[name]["run"].split(),
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._record.note(f"start {name} {host}, process {self.processes[host].pid}")

    def _settings(self, host, name, folder, bootstrap):
        if name == "control":
            listens = {"control-plane": f"{host}:{self.control_port}"}
        else:
            listens = {
                "frontend": f"{host}:{self.front_port}",
                "readiness": f"{host}:{self.ready_port}",
            }
        seeds = [f"{item}:{self.control_port}" for item in self.controls[:3]]
        lines = [
            f'node-name = "{name}-{host}"',
            f'role = "{name}"',
            f'machine-class = "{"core" if name == "control" else "edge"}"',
            f'serves = ["{"control" if name == "control" else "edge"}"]',
            f'ip = "{host}"',
            'zone = "z1"',
            'region = "r1"',
            f"internal-ports = [{self.peer_port}, {self.peer_port + 15}]",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {json.dumps(bootstrap)}",
            f'data-dir = "{folder / "data"}"' if name == "control" else "",
            f"loss-counts = {json.dumps(name == 'control')}",
            'discovery = "registry"',
            'entry = "vip"',
            "heartbeat-ms = 1500",
            'config_mode = "highest"',
            'orders = "invoke"',
            "[zones]",
            'z1 = "r1"',
            "[listen-addrs]",
            *[f'{key} = "{address}"' for key, address in listens.items()],
            "[fault-tolerance]",
            "machines = 1",
            "zones = 0",
            "regions = 0",
            "[cloud]",
            f'address = "{self._cloud}"',
            "rate-per-s = 64.0",
            "duty-per-s = 64.0",
            "[bounds]",
            *[f"{key} = {value}" for key, value in BOUNDS.items()],
        ]
        return "\n".join(lines) + "\n"

    def log(self, host):
        """Return what the process of a node has logged."""
        return (self._folder / host / "log").read_text(errors="replace")

    def leader(self):
        """Return the control node that has begun to lead last, by the logs."""
        found = []
        for host in self.controls:
            for line in self.log(host).splitlines():
                if "scheduling begins" in line:
                    with contextlib.suppress(ValueError):
                        found.append((json.loads(line)["time"], host))
        return max(found)[1] if found else ""

    def wait_for_leader(self, seconds=20.0):
        """Return the leader; raise TimeoutError if there is none in time."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if self.leader():
                return self.leader()
            time.sleep(0.1)
        raise TimeoutError("no leader")

    def send(self, host, number):
        """Send a signal to the process of a node."""
        self._record.note(f"{signal.Signals(number).name} to {host}")
        self.processes[host].send_signal(number)
        if number == signal.SIGSTOP:
            self._stopped.add(host)
        elif number == signal.SIGCONT:
            self._stopped.discard(host)

    def kill(self, host):
        """Kill the process of a node and wait for its end."""
        self._record.note(f"SIGKILL to {host}")
        self.processes[host].kill()
        self.processes[host].wait()

    def ended(self):
        """Return the nodes whose process has ended."""
        return [
            host for host, item in self.processes.items() if item.poll() is not None
        ]

    def stop(self):
        """End all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
