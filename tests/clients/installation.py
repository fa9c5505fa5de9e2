"""One entry node and one control node as real processes, with lowered limits."""

import json
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import urllib3
from berthline.local_node import RUN, LocalNode
from berthline.settings import SETTINGS_VARIABLE

from arbutuscleat.wire import Address
from examples.berthline import CONFIG, HOST, free_port

CONTROL = "127.0.0.2"
ENTRY = "127.0.0.5"
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
    """

    def __init__(self, folder: Path):
        self._folder = folder
        hosts = (CONTROL, ENTRY)
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
        for host, (role, listens) in self._listens.items():
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
            node.write_settings(first_start=not node.data_folder.exists())
            with node.settings_path.open("a") as file:
                file.write(LIMITS)
            port = self.addresses["entry metrics"].port
            with node.log_path.open("ab") as log:
                self.processes[host] = subprocess.Popen(
                    [sys.executable, str(RUN), role]
                    + ["--metrics", f"{port}/{METRICS_PATH}"],
                    env={SETTINGS_VARIABLE: str(node.settings_path)},
                    stdout=log,
                    stderr=log,
                )
        wait(lambda: self._configure() == 200, START_SECONDS)
        for name in self.addresses:
            assert self.answers(name), name

    def kill(self) -> None:
        """End both processes."""
        for process in self.processes.values():
            process.kill()
            process.wait()

    def answers(self, name: str) -> bool:
        """Return whether an ordinary request is answered at an address."""
        path, status = {
            "callers": ("/approvals/", 200),
            "readiness": ("/v1/readiness", 200),
            "control": ("/v1/configuration", 200),
        }.get(name, (f"/{METRICS_PATH}", 200))
        if name == "peers":
            name, path = "callers", "/approvals/"  # A call that goes over that port.
        url = f"http://{self.addresses[name]}{path}"
        return wait(lambda: _call("GET", url) == status, ANSWER_SECONDS)

    def _configure(self) -> int:
        body = json.dumps(CONFIG).encode()
        url = f"http://{self.addresses['control']}/v1/configuration"
        return _call("PUT", url, body)


def _call(method: str, url: str, body: bytes | None = None) -> int:
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
