"""A trial: a small deployment with its stand-ins, and clients' and operators' calls."""

import os
import secrets
import shutil
import signal
import sys
import tempfile
import time
import traceback
from pathlib import Path

from calls import call
from deployment import Deployment
from record import Record
from workers import Cloud, Runs, Worker, job_of

HOST = "jobs.example"
HELD, BROKEN, UNABLE = 0, 1, 2
MAX_SECONDS = 110
"""A trial that takes longer ends with UNABLE."""


class Interrupted(BaseException):
    """The trial was told to end, or has taken too long."""


class Trial:
    """A small deployment and what is asked of it.

    Parameters
    ----------
    folder : Path
        Folder of the case, which gets `record.txt`.
    services : list of str
        Names of the services; each one has a queue at `/NAME/`.
    """

    def __init__(self, folder, services=("ops",), controls=3, entries=2):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(Path(folder) / "record.txt")
        self.runs = Runs(self.record)
        self.workers = []
        self.cloud = Cloud(self.workers)
        self._services = services
        self._folder = tempfile.mkdtemp(prefix="review-")
        self.deployment = Deployment(
            self._folder, self.cloud.address, self.record, controls, entries
        )
        self._jobs = {}
        self._entry = 0
        self.answers = {}

    # ---- set-up ----

    def add_worker(self, worker_id, service="ops", **options):
        """Add a worker; it starts with `start`, or with its `begin_life`."""
        worker = Worker(
            worker_id,
            service,
            self.deployment.control_addresses(),
            self.runs,
            self._step,
            **options,
        )
        self.workers.append(worker)
        return worker

    def start(self, max_attempts=3):
        """Start everything, and wait until the deployment serves."""
        self.cloud.start()
        self.deployment.start()
        self.deployment.wait_for_leader()
        self.configure(max_attempts)
        for worker in self.workers:
            worker.begin_life()
            time.sleep(0.05)
        self.wait(self._is_ready, 20.0, "the entries are not ready")
        time.sleep(2.0)  # Until all workers are known and have answered.

    def _is_ready(self):
        port = self.deployment.ready_port
        return all(
            call(f"{host}:{port}", "GET", "/v1/readiness")[0] == 200
            for host in self.deployment.entries
        )

    def configure(self, max_attempts=3, version=1):
        """Send the config until it is acknowledged."""
        routes = [
            {
                "name": f"r-{name}",
                "host": HOST,
                "path-prefix": f"/{name}/",
                "kind": "non_idempotent",
                "timeout-ms": 3000,
                "target-latency-ms": 2500,
                "priority": 0,
                "service": name,
                "max-attempts": max_attempts,
                "stretch": 2.2,
            }
            for name in self._services
        ]
        services = [
            {
                "name": name,
                "health-path": "/health",
                "max-connections": 64,
                "protocol": "h1",
                "tls": False,
                "admission-check": True,
                "standby": False,
            }
            for name in self._services
        ]
        limits = {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        }
        content = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        deadline = time.monotonic() + 20.0
        while time.monotonic() < deadline:
            for address in self.deployment.control_addresses():
                status, _ = call(address, "PUT", "/v1/configuration", content)
                self.record.note(f"operator: PUT config at {address}: {status}")
                if status == 200:
                    return
            time.sleep(0.2)
        raise TimeoutError("the config is not acknowledged")

    # ---- clients ----

    def client(self, method, path, content=None, seconds=3.0):
        """Send one request of a client to an entry node, in turn."""
        addresses = self.deployment.entry_addresses()
        address = addresses[self._entry % len(addresses)]
        self._entry += 1
        headers = {
            "Host": HOST,
            "X-Arbutuscleat-Deadline-Ms": str(int(1000 * seconds)),
        }
        status, tree = call(address, method, path, content, seconds, headers)
        self.record.note(f"client: {method} {path} at {address}: {status} {tree}")
        return status, tree

    def submit(self, steps, seconds, service="ops", attempts=5, until_accepted=True):
        """Submit a job whose tasks take some seconds; return its path.

        As the page says, it is sent again with the same id after no clear answer.
        """
        job = secrets.token_hex(8)
        self._jobs[job] = (steps, seconds)
        path = f"/{service}/{job}"
        for _ in range(attempts):
            status, _ = self.client("POST", path, {"spec": "x", "steps": steps})
            if status == 200:
                return path
            time.sleep(0.3)
        if until_accepted:
            raise TimeoutError(f"job {job} is not accepted")
        return path

    def state(self, path):
        """Return the state of a job; empty if there is no clear answer."""
        status, tree = self.client("GET", path)
        return tree.get("state", "") if status == 200 else f"status {status}"

    def _step(self, task):
        job, step, index = job_of(task)
        steps, seconds = self._jobs[job]
        return steps[step], seconds(step, index) if callable(seconds) else seconds

    # ---- running ----

    def wait(self, condition, seconds, problem):
        """Poll until a condition holds; raise TimeoutError if it does not in time."""
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(problem)
            time.sleep(0.05)

    def close(self):
        """End all processes, and remove the temporary folder."""
        for worker in self.workers:
            if worker.is_up:
                worker.end_life()
        self.deployment.stop()
        self.cloud.stop()
        if os.environ.get("KEEP"):
            print(f"kept {self._folder}")
        else:
            shutil.rmtree(self._folder, ignore_errors=True)


def run(folder, services, play, **options):
    """Play a case and exit with its code: `play` gets the trial and returns breaks."""
    trial = None
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _interrupt)
    signal.alarm(MAX_SECONDS)
    try:
        trial = Trial(folder, services, **options)
        breaks = play(trial)
    except (Exception, Interrupted) as exc:
        traceback.print_exc()
        if trial is not None:
            trial.record.note(f"could not run: {exc!r}")
        code = UNABLE
    else:
        for text in breaks:
            trial.record.note(f"BROKEN {text}")
            print(f"broken: {text}")
        if not breaks:
            trial.record.note("the rule held")
            print("held")
        code = BROKEN if breaks else HELD
    finally:
        signal.alarm(0)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, signal.SIG_IGN)
        if trial is not None:
            trial.close()
    sys.stdout.flush()
    os._exit(code)


def _interrupt(number, _):
    raise Interrupted(signal.Signals(number).name)
