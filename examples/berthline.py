"""Demo of the job queue on an emulated Berthline platform, on loopback.

Three control nodes and two entry nodes run as separate processes, with the settings
files that the platform would write.  Four workers and the machine provider are
emulated.  Run it with `make demo`.
"""

import json
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import urllib3

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform"))

from berthline.local_node import LocalNode  # noqa: E402
from berthline.stand_in import StandInProvider, StandInWorker  # noqa: E402

from arbutuscleat.emulator.provider_model import ProviderModel  # noqa: E402
from arbutuscleat.execution import MachineState  # noqa: E402
from arbutuscleat.jobs import RunOutcome  # noqa: E402
from arbutuscleat.wire import Address  # noqa: E402

CONTROL_HOSTS = ("127.0.0.2", "127.0.0.3", "127.0.0.4")
ENTRY_HOSTS = ("127.0.0.5", "127.0.0.6")
HOST = "berth.example"
CALL_SECONDS = 3.0
WAIT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.05

CONFIG: dict[str, Any] = {
    "version": 1,
    "routes": [
        {
            "name": "approvals",
            "host": HOST,
            "path-prefix": "/approvals/",
            "kind": "non_idempotent",
            "timeout-ms": 3000,
            "target-latency-ms": 600,
            "priority": 0,
            "service": "karachi",
            "max-attempts": 3,
            "stretch": 1.6,
        }
    ],
    "services": [
        {"name": "karachi", "admission-check": True, "standby": False},
        {"name": "portal", "admission-check": True, "standby": True},
    ],
    "limits": {},
}


def free_port(hosts: tuple[str, ...]) -> int:
    """Return a port that is free on all hosts."""
    while True:
        with socket.socket() as first:
            first.bind((hosts[0], 0))
            port = first.getsockname()[1]
            try:
                for host in hosts[1:]:
                    with socket.socket() as other:
                        other.bind((host, port))
            except OSError:
                continue
            return port


class BerthlineDemo:
    """Runs the processes, the emulated workers and the emulated provider.

    Parameters
    ----------
    folder : Path
        Folder for settings, state and logs.
    machines : int, default=4
        Number of machines, each with a worker.
    learners : int, default=0
        Number of control nodes besides the three that found the group.
    """

    def __init__(self, folder: Path, machines: int = 4, learners: int = 0):
        self._folder = folder
        self._control_hosts = CONTROL_HOSTS + tuple(
            f"127.0.1.{number}" for number in range(1, learners + 1)
        )
        hosts = self._control_hosts + ENTRY_HOSTS
        self._peer_port = free_port(hosts)
        self._front_port = free_port(hosts)
        self._readiness_port = free_port(hosts)
        self.control = [Address(host, self._front_port) for host in CONTROL_HOSTS]
        self.workers: dict[str, StandInWorker] = {}
        self._worker_count = 0
        states = []
        for number in range(machines):
            name = f"m-{number}"
            worker_id = self._make_worker(name, "karachi").worker_id
            states.append(
                MachineState(name, "karachi", True, worker_id, ("a", "r1"), 64_000)
            )
        self.provider = ProviderModel(states, self._replace_worker)
        self._provider_front = StandInProvider(self.provider)
        self.processes: dict[str, subprocess.Popen] = {}
        self._http = urllib3.PoolManager(retries=False, timeout=CALL_SECONDS)
        self._serves = False

    def start(self) -> None:
        """Start all parts, set the configuration and wait until the nodes are ready."""
        self._provider_front.start()
        for host in self._control_hosts:
            self.start_process(host, "control")
        for host in ENTRY_HOSTS:
            self.start_process(host, "entry")
        for worker in list(self.workers.values()):
            worker.start()
        self._serves = True
        self.wait(lambda: self.put_config(CONFIG) == 200)
        for host in ENTRY_HOSTS:
            url = f"http://{host}:{self._readiness_port}/v1/readiness"
            self.wait(lambda url=url: self.call("GET", url)[0] == 200)

    def stop(self) -> dict[str, int]:
        """Stop all processes gracefully, and return their exit codes by host."""
        for process in self.processes.values():
            process.terminate()
        codes = {host: p.wait(WAIT_SECONDS) for host, p in self.processes.items()}
        self._stop_serving()
        return codes

    def kill(self) -> None:
        """Kill all processes that still run, and stop the emulated parts."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        self._stop_serving()

    def start_process(self, host: str, role: str) -> None:
        """Start one node."""
        listens = {"control-plane": f"{host}:{self._front_port}"}
        if role == "entry":
            listens = {
                "frontend": f"{host}:{self._front_port}",
                "readiness": f"{host}:{self._readiness_port}",
            }
        node = LocalNode(
            role=role,
            host=host,
            folder=self._folder / host,
            peer_port=self._peer_port,
            listens=listens,
            seeds=[f"{seed}:{self._front_port}" for seed in CONTROL_HOSTS],
            provider=str(self._provider_front.address),
        )
        is_founder = host in CONTROL_HOSTS
        node.write_settings(first_start=is_founder and not node.data_folder.exists())
        self.processes[host] = node.start()

    def put_config(self, content: Any) -> int:
        """Set the configuration through a control node, and return the status."""
        url = f"http://{self.control[0]}/v1/configuration"
        return self.call("PUT", url, content)[0]

    def job(
        self,
        method: str,
        path: str,
        content: Any = None,
        entry: int = 0,
        key: str | None = None,
    ):
        """Call an entry node, and return the status and the JSON answer."""
        url = f"http://{ENTRY_HOSTS[entry]}:{self._front_port}{path}"
        headers = {"Host": HOST} if key is None else {"Host": HOST, "X-Api-Key": key}
        return self.call(method, url, content, headers)

    def call(self, method: str, url: str, content: Any = None, headers=None):
        """Send a request, and return the status and the JSON answer.

        The status is 0 if there was no answer.
        """
        body = None if content is None else json.dumps(content)
        try:
            answer = self._http.request(method, url, body=body, headers=headers)
        except urllib3.exceptions.HTTPError:
            return 0, {}
        try:
            return answer.status, json.loads(answer.data or b"{}")
        except ValueError:
            return answer.status, {}

    def wait(self, condition) -> None:
        """Poll until `condition` is true.

        Raises
        ------
        TimeoutError
            If it is not true within `WAIT_SECONDS`.
        """
        deadline = time.monotonic() + WAIT_SECONDS
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError("condition not met in time")
            time.sleep(POLL_INTERVAL_SECONDS)

    def leader(self) -> str:
        """Return the host of the latest leader that still runs, from the logs."""
        found = []
        for host in self._control_hosts:
            text = (self._folder / host / "log").read_text()
            lines = [line for line in text.splitlines() if "scheduling begins" in line]
            if lines and self.processes[host].poll() is None:
                found.append((json.loads(lines[-1])["time"], host))
        return max(found)[1]

    def _stop_serving(self) -> None:
        """Stop the emulated provider, which replaces workers, and then the workers."""
        if self._serves:
            self._serves = False
            self._provider_front.stop()
            for worker in self.workers.values():
                worker.stop()

    def _make_worker(self, machine: str, service_name: str) -> StandInWorker:
        self._worker_count += 1
        worker = StandInWorker(
            f"i-{self._worker_count}",
            service_name,
            machine,
            lambda order: (float(order.spec), RunOutcome.DONE),
            self.control,
        )
        self.workers[machine] = worker
        return worker

    def _replace_worker(self, machine: str, service_name: str) -> str:
        self.workers[machine].stop()
        worker = self._make_worker(machine, service_name)
        worker.start()
        return worker.worker_id


def main() -> None:
    """Submit a job, run a maintenance wave, and stop the processes."""
    import shutil

    folder = ROOT / "run" / "berthline"
    shutil.rmtree(folder, ignore_errors=True)
    demo = BerthlineDemo(folder)
    demo.start()
    print(f"three control nodes, two entry nodes, {len(demo.workers)} workers")
    path = "/approvals/5c0e7a21d94b36f8"
    steps = [{"count": 4, "cpu": 500}, {"count": 2, "cpu": 900, "after": [0]}]
    content = {"spec": "0.2", "steps": steps}
    print(f"POST {path}: {demo.job('POST', path, content)}")
    print(f"GET  {path}: {demo.job('GET', path, entry=1)}")
    demo.wait(lambda: demo.job("GET", path)[1].get("state") == "completed")
    print(f"GET  {path}: {demo.job('GET', path, entry=1)}")
    print(f"POST again:  {demo.job('POST', path, content, entry=1)}")
    wave = {"wave": 1, "machines": ["m-0", "m-1"], "duration-s": 20, "cap": 1}
    url = f"http://{demo.control[0]}/v1/wave"
    print(f"a wave of two machines: {demo.call('POST', f'{url}-start', wave)}")
    demo.wait(lambda: demo.call("GET", f"{url}-get/1")[1].get("state") == "completed")
    print(f"its state: {demo.call('GET', f'{url}-get/1')}")
    _show_keys(demo, content)
    print(f"exit codes: {demo.stop()}")


def _show_keys(demo: BerthlineDemo, content: Any) -> None:
    """Give two teams keys; from then on each reaches its own jobs only."""
    teams = [
        {"name": "berths", "api-keys": ["a-key-of-the-berths"], "weight": 3},
        {"name": "ledger", "api-keys": ["a-key-of-the-ledger"], "weight": 1},
    ]
    print(f"two teams: {demo.put_config({**CONFIG, 'version': 2, 'tenants': teams})}")
    path = "/approvals/0a4be1f2c7d83951"
    print(f"POST without a key: {demo.job('POST', path, content)}")
    key = "a-key-of-the-berths"
    print(f"POST with a key:    {demo.job('POST', path, content, key=key)}")
    print(f"GET by its team:    {demo.job('GET', path, entry=1, key=key)}")
    key = "a-key-of-the-ledger"
    print(f"GET by another one: {demo.job('GET', path, entry=1, key=key)}")


if __name__ == "__main__":
    main()
