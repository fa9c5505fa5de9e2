"""A fleet of processes on loopback, for the demo, the tests and the benchmarks."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import urllib3

from .ports import LOOPBACK, free_ports

SHARED_KEY = "loopback-shared-key"
ENDPOINT_TOKEN = "loopback-endpoint-token"
OPERATOR_TOKEN = "loopback-operator-token"
WAIT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 40.0
POLL_INTERVAL_SECONDS = 0.05


@dataclass(frozen=True)
class FleetPlan:
    """The processes of a fleet and their settings.

    Parameters
    ----------
    data_centres : tuple of str
        Names of the data centres.
    entries_per_data_centre : int
        Number of entry instances in each data centre.
    controls : int
        Number of control instances, distributed over the data centres.
    sample_ratio : float
        Share of the traces that the entry instances record.
    platform_url : str
        URL of the platform that reboots instances; empty for none.
    soak_ms : int
        Soak time after a reboot, in milliseconds.
    """

    data_centres: tuple[str, ...] = ("karachi", "qasim")
    entries_per_data_centre: int = 2
    controls: int = 3
    sample_ratio: float = 0.05
    platform_url: str = ""
    soak_ms: int = 1_000


@dataclass(frozen=True)
class EndpointPlan:
    """Options of one emulated endpoint.

    Parameters
    ----------
    instance_id, data_centre, service, rack : str
        Identity and placement that the endpoint announces.
    labels : sequence of str
        Labels of the form ``KEY=VALUE``.
    run_ms : float
        Duration of each request in milliseconds.
    slots : int
        Number of concurrent requests that the endpoint announces.
    faults : sequence of str
        Values of `EndpointFault` to inject; empty for a healthy endpoint.
    fault_share : float
        Share of the requests that receive a fault.
    seed : int
        Seed of the choice of faults.
    """

    instance_id: str
    data_centre: str
    service: str
    rack: str = "rack-1"
    labels: Sequence[str] = ()
    run_ms: float = 0.0
    slots: int = 8
    faults: Sequence[str] = ()
    fault_share: float = 0.0
    seed: int = 1


@dataclass
class LocalProcess:
    """A process that a `LocalFleet` has started."""

    name: str
    popen: subprocess.Popen
    log: Path

    def stop(self) -> int:
        """Send SIGTERM, wait for the process and return its exit code."""
        self.popen.send_signal(signal.SIGTERM)
        return self.popen.wait(STOP_TIMEOUT_SECONDS)

    def kill(self) -> None:
        """Send SIGKILL and wait for the process."""
        self.popen.kill()
        self.popen.wait()


@dataclass
class LocalFleet:
    """Starts and stops the processes of a fleet.

    Parameters
    ----------
    folder : Path
        Folder for settings, data folders, traces and logs.
    plan : FleetPlan
        The processes of the fleet.
    """

    folder: Path
    plan: FleetPlan = FleetPlan()
    processes: dict[str, LocalProcess] = field(default_factory=dict)
    http_urls: dict[str, str] = field(default_factory=dict)
    control_nodes: list[dict] = field(default_factory=list)
    _settings: dict[str, Path] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Allocate ports and write the settings of all daemons."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._http = urllib3.PoolManager(retries=False)
        controls = [f"control-{i + 1}" for i in range(self.plan.controls)]
        entries = [
            (f"entry-{name}-{i + 1}", name)
            for name in self.plan.data_centres
            for i in range(self.plan.entries_per_data_centre)
        ]
        ports = iter(free_ports(2 * (len(controls) + len(entries))))
        self.control_nodes = [_node(name, next(ports)) for name in controls]
        entry_nodes = [
            {**_node(name, next(ports)), "data_centre": data_centre}
            for name, data_centre in entries
        ]
        for position, node in enumerate(self.control_nodes):
            data_centre = self.plan.data_centres[position % len(self.plan.data_centres)]
            self._write_control(node, data_centre, next(ports), self.control_nodes)
        for node in entry_nodes:
            self._write_entry(node, next(ports), self.control_nodes, entry_nodes)

    # ---- daemons ----

    def start(self) -> None:
        """Initialise the control instances, start all daemons and wait for health."""
        controls = [name for name in self._settings if name.startswith("control-")]
        for name in controls:
            self._run_control(name, "--initialise")
        for name in self._settings:
            self.start_daemon(name)
        for name in self._settings:
            self.wait_healthy(name)

    def start_daemon(self, name: str) -> None:
        """Start one daemon without waiting until it is healthy."""
        kind = "control" if name.startswith("control-") else "entry"
        module = f"arbutuscleat.daemons.{kind}_main"
        self._start(name, [module, str(self._settings[name])])

    def wait_healthy(self, name: str) -> None:
        """Wait until the health check of a daemon returns 200."""
        self.wait_for(lambda: self._is_healthy(name), f"{name} to be healthy")

    def stop(self) -> dict[str, int]:
        """Stop all processes gracefully, and return their exit codes by name."""
        codes = {}
        for name in reversed(list(self.processes)):
            process = self.processes.pop(name)
            if process.popen.poll() is None:
                codes[name] = process.stop()
            else:
                codes[name] = process.popen.returncode
        return codes

    def kill(self) -> None:
        """Kill all processes that are still running, including suspended ones."""
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.kill()
        self.processes.clear()

    def entries(self, data_centre: str) -> list[str]:
        """Return the base URLs of the entry instances of a data centre."""
        prefix = f"entry-{data_centre}-"
        return [url for name, url in self.http_urls.items() if name.startswith(prefix)]

    # ---- endpoints ----

    def start_endpoint(self, plan: EndpointPlan) -> str:
        """Start an emulated endpoint and return its base URL."""
        kind = "faulty_endpoint" if plan.faults else "endpoint"
        arguments = [
            f"arbutuscleat.emulator.{kind}",
            f"--instance={plan.instance_id}",
            f"--data-centre={plan.data_centre}",
            f"--rack={plan.rack}",
            f"--service={plan.service}",
            f"--token={ENDPOINT_TOKEN}",
            f"--slots={plan.slots}",
            f"--run-ms={plan.run_ms}",
        ]
        arguments += [f"--label={label}" for label in plan.labels]
        if plan.faults:
            arguments += [f"--fault={fault}" for fault in plan.faults]
            arguments += [f"--fault-share={plan.fault_share}", f"--seed={plan.seed}"]
        arguments += [f"--entry={url}" for url in self.entries(plan.data_centre)]
        self._start(plan.instance_id, arguments, stdout=subprocess.PIPE)
        stdout = self.processes[plan.instance_id].popen.stdout
        assert stdout is not None
        port = int(stdout.readline().split()[1])
        return f"http://{LOOPBACK}:{port}"

    # ---- requests ----

    def request(
        self, method: str, url: str, headers: dict[str, str], body: bytes = b""
    ) -> urllib3.BaseHTTPResponse:
        """Send one HTTP request and return the response."""
        return self._http.request(
            method, url, headers=headers, body=body or None, timeout=30.0
        )

    def wait_for(self, condition: Callable[[], bool], what: str) -> None:
        """Poll until `condition` is true.

        Raises
        ------
        TimeoutError
            If it is not true within `WAIT_SECONDS`; the message contains `what`.
        """
        end = time.monotonic() + WAIT_SECONDS
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(f"waited {WAIT_SECONDS:g} s for {what}")
            time.sleep(POLL_INTERVAL_SECONDS)

    # ---- details ----

    def _start(self, name: str, arguments: list[str], stdout=None) -> None:
        log = self.folder / f"{name}.log"
        with log.open("ab") as stream:
            popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=stdout or stream,
                stderr=stream,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        self.processes[name] = LocalProcess(name, popen, log)

    def _run_control(self, name: str, option: str) -> None:
        module = "arbutuscleat.daemons.control_main"
        command = [sys.executable, "-m", module, option, str(self._settings[name])]
        subprocess.run(command, check=True)

    def _is_healthy(self, name: str) -> bool:
        try:
            url = f"{self.http_urls[name]}/v1/health"
            return self._http.request("GET", url, timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _write_control(self, node, data_centre, http_port, replicas) -> None:
        name = node["node_id"]
        settings = _common(name, data_centre, http_port, node["port"])
        settings["data_folder"] = str(self.folder / "data" / name)
        settings["replicas"] = replicas
        settings["maintenance"] = {"soak_ms": self.plan.soak_ms}
        if self.plan.platform_url:
            platform = {"url": self.plan.platform_url, "token": OPERATOR_TOKEN}
            settings["platform"] = platform
        self._write(name, http_port, settings)

    def _write_entry(self, node, http_port, control, entries) -> None:
        name = node["node_id"]
        settings = _common(name, node["data_centre"], http_port, node["port"])
        settings["endpoint_token"] = ENDPOINT_TOKEN
        settings["control"] = control
        settings["peers"] = [item for item in entries if item["node_id"] != name]
        settings["traces"] = {
            "file": str(self.folder / "traces" / f"{name}.jsonl"),
            "sample_ratio": self.plan.sample_ratio,
        }
        self._write(name, http_port, settings)

    def _write(self, name: str, http_port: int, settings: dict) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        self._settings[name] = path
        self.http_urls[name] = f"http://{LOOPBACK}:{http_port}"


def _node(name: str, port: int) -> dict:
    return {"node_id": name, "host": LOOPBACK, "port": port}


def _common(name: str, data_centre: str, http_port: int, peer_port: int) -> dict:
    return {
        "cluster": "loopback",
        "node_id": name,
        "data_centre": data_centre,
        "http": {"host": LOOPBACK, "port": http_port},
        "peer": {"host": LOOPBACK, "port": peer_port},
        "shared_key": SHARED_KEY,
        "operators": {"demo": OPERATOR_TOKEN},
    }
