"""One entry node and one control node as real processes."""

import json
import subprocess
import sys
import time
from collections.abc import Callable, Mapping
from pathlib import Path

import urllib3
from berthline.local_node import RUN, LocalNode
from berthline.settings import SETTINGS_VARIABLE

from arbutuscleat.wire import Address
from examples.berthline import CONFIG, HOST, free_port

CONTROL = "127.0.0.2"
ENTRY = "127.0.0.5"
REPLICA = "127.0.0.3"
METRICS_PATH = "metrics"
START_SECONDS = 60.0
ANSWER_SECONDS = 30.0
"""How long no request is answered before a process counts as hanging: many times the
limits below."""

CALL_SECONDS = 5.0
POLL_SECONDS = 0.1

LIMITS = """
[client-limits]
header-ms = 1000
body-ms = 1500
write-ms = 1000
connections = 100
connections-per-address = 80
handshakes = 40
"""
"""Lowered limits of connections and times, so that a small crowd reaches them."""


class Installation:
    """The two processes.

    Parameters
    ----------
    folder : Path
        Folder for settings, state and logs.
    settings : mapping of str to str, optional
        What is added to the settings of each host; by default the lowered limits.
    """

    def __init__(self, folder: Path, settings: Mapping[str, str] | None = None):
        self._folder = folder
        self._settings = settings or {CONTROL: LIMITS, ENTRY: LIMITS}
        hosts = (CONTROL, ENTRY, REPLICA)
        peer, front, ready, metrics = (free_port(hosts) for _ in range(4))
        self.processes: dict[str, subprocess.Popen] = {}
        self.addresses = {
            "callers": Address(ENTRY, front),
            "readiness": Address(ENTRY, ready),
            "entry metrics": Address(ENTRY, metrics),
            "control": Address(CONTROL, front),
            "control metrics": Address(CONTROL, metrics),
            "peers": Address(CONTROL, peer),
        }
        self._listens = {
            CONTROL: ("control", {"control-plane": f"{CONTROL}:{front}"}),
            ENTRY: (
                "entry",
                {"frontend": f"{ENTRY}:{front}", "readiness": f"{ENTRY}:{ready}"},
            ),
        }

    def start(self) -> None:
        """Start both processes and wait until they serve."""
        for host in self._listens:
            self.start_process(host, first_start=True)
        wait(lambda: self._configure() == 200, START_SECONDS)
        for name in self.addresses:
            assert self.answers(name), name

    def start_process(self, host: str, first_start: bool) -> subprocess.Popen:
        """Start the process of one host, with a new settings file."""
        role, listens = self._listens[host]
        peer = self.addresses["peers"]
        node = LocalNode(
            role=role,
            host=host,
            folder=self._folder / host,
            peer_port=peer.port,
            listens=listens,
            seeds=[f"{CONTROL}:{peer.port}"],
            provider=f"{CONTROL}:{peer.port}",
        )
        node.write_settings(first_start)
        with node.settings_path.open("a") as file:
            file.write(self._settings[host])
        port = self.addresses["entry metrics"].port
        with node.log_path.open("ab") as log:
            self.processes[host] = subprocess.Popen(
                [sys.executable, str(RUN), role]
                + ["--metrics", f"{port}/{METRICS_PATH}"],
                env={SETTINGS_VARIABLE: str(node.settings_path)},
                stdout=log,
                stderr=log,
            )
        return self.processes[host]

    def kill_process(self, host: str) -> None:
        """End the process of one host without notice."""
        self.processes[host].kill()
        self.processes[host].wait()

    def add_replica(self) -> str:
        """Start another control node, with an empty disk; return its host."""
        port = self.addresses["control"].port
        role, _ = self._listens[CONTROL]
        self._listens[REPLICA] = (role, {"control-plane": f"{REPLICA}:{port}"})
        self._settings = {REPLICA: self._settings[CONTROL], **self._settings}
        self.addresses["replica"] = Address(REPLICA, port)
        self.start_process(REPLICA, first_start=False)
        return REPLICA

    def data_folder(self, host: str) -> Path:
        """Return the folder of the state that a control node has stored."""
        return self._folder / host / "data"

    def kill(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            process.kill()
            process.wait()

    def answers(self, name: str) -> bool:
        """Return whether an ordinary request is answered at an address."""
        path, status = {
            "callers": ("/approvals/", 200),
            "readiness": ("/v1/readiness", 200),
            "control": ("/v1/configuration", 200),
            "replica": ("/v1/configuration", 200),
        }.get(name, (f"/{METRICS_PATH}", 200))
        if name == "peers":
            name, path = "callers", "/approvals/"  # A call that goes over that port.
        url = f"http://{self.addresses[name]}{path}"
        return wait(lambda: call("GET", url) == status, ANSWER_SECONDS)

    def _configure(self) -> int:
        body = json.dumps(CONFIG).encode()
        url = f"http://{self.addresses['control']}/v1/configuration"
        return call("PUT", url, body)


def call(method: str, url: str, body: bytes | None = None) -> int:
    """Return the status of a request over a new connection; 0 without an answer."""
    headers = {"Host": HOST, "Connection": "close"}
    with urllib3.PoolManager(retries=False, timeout=CALL_SECONDS) as http:
        try:
            return http.request(method, url, body=body, headers=headers).status
        except urllib3.exceptions.HTTPError:
            return 0


def wait(condition: Callable[[], bool], seconds: float) -> bool:
    """Poll until a condition is true; return False if it is not in time."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(POLL_SECONDS)
    return True


def open_files(process: subprocess.Popen) -> int:
    """Return the number of descriptors that a process has open."""
    return len(list(Path(f"/proc/{process.pid}/fd").iterdir()))


def memory_mb(process: subprocess.Popen, key: str) -> float:
    """Return the memory in use ("VmRSS") or its peak ("VmHWM") in MB."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith(key):
            return int(line.split()[1]) / 1024
    raise ValueError(f"process {process.pid} has ended")


def reset_peak(process: subprocess.Popen) -> None:
    """Let the peak of the memory begin anew (proc(5), clear_refs)."""
    Path(f"/proc/{process.pid}/clear_refs").write_text("5")
