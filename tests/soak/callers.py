"""Callers: threads that submit, look up and cancel jobs over open connections."""

import http.client
import json
import random
import time
from typing import Any

from arbutuscleat.wire import Address

from . import bounds
from .checks.config import ConfigCheck
from .checks.jobs import CutCheck, JobCheck
from .fleet import Fleet
from .workload import QUEUES, Job
from .world import Loop, Part, World

HOST = "berth.example"
READINESS_INTERVAL = 1.0
MAX_MISSES = 2
RETRIES = 4
PACE = 0.15
"""Mean pause of a caller between two calls, in seconds."""

MAX_OPEN_JOBS = 12
"""Jobs under way at which a caller submits no more."""

GIVE_UP_SHARE = 0.5
"""Part of the jobs without an acceptance that their callers cancel at once."""


def call(address: Address, method: str, path: str, content=None) -> tuple[int, dict]:
    """Call over a connection of its own; the status is 0 without an answer."""
    conn = http.client.HTTPConnection(str(address), timeout=bounds.OPERATOR_CALL)
    try:
        return _exchange(conn, method, path, content)
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        conn.close()


def _exchange(conn, method: str, path: str, content: Any) -> tuple[int, dict]:
    body = None if content is None else json.dumps(content)
    conn.request(method, path, body, {"Host": HOST})
    answer = conn.getresponse()
    tree = json.loads(answer.read() or b"{}")
    return answer.status, tree if isinstance(tree, dict) else {}


class Balancer(Part):
    """Chooses entry nodes as the platform does: by readiness, once a second."""

    def __init__(self, world: World, fleet: Fleet):
        super().__init__(world)
        self._fleet = fleet
        self._misses = dict.fromkeys((node.name for node in fleet.entries()), 0)
        self.loop = Loop(world, lambda: READINESS_INTERVAL, self._check)

    def choose(self, rng: random.Random) -> str:
        ready = [name for name, misses in self._misses.items() if misses < MAX_MISSES]
        enough = 2 * len(ready) >= len(self._misses)
        return rng.choice(ready if enough else list(self._misses))

    def _check(self) -> None:
        for node in self._fleet.entries():
            status = call(self._fleet.readiness(node), "GET", "/v1/readiness")[0]
            misses = self._misses[node.name]
            self._misses[node.name] = 0 if status == 200 else misses + 1


class Caller(Part):
    """One caller with one connection, which it uses until that has ended."""

    job_check: JobCheck
    cut_check: CutCheck
    config_check: ConfigCheck
    operator: Any

    def __init__(self, number: int, world: World, fleet: Fleet, balancer: Balancer):
        super().__init__(world)
        self._fleet = fleet
        self._balancer = balancer
        self._rng = random.Random(f"{world.seed} caller {number}")
        self._conn: http.client.HTTPConnection | None = None
        self._node = ""
        self._own: list[Job] = []
        self.loop = Loop(world, lambda: self._rng.expovariate(1.0 / PACE), self._act)

    def submit(self, job: Job) -> None:
        """Submit a job, again after each answer that leaves its fate open."""
        for attempt in range(1 + RETRIES):
            job.open_attempts += 1
            status = self._request("POST", job.path, job.body)[0]
            if status == 200 and job.accepted_at is None:
                job.accepted_at = time.monotonic()
            job.statuses.append(status)
            job.open_attempts -= 1
            if status == 410 and job.cancelled_at is not None:
                return
            if status not in (0, 200, 429, 503, 504):
                self.fail("CONFIG", job.path, f"a valid job got {status}")
            if status not in (0, 429, 503, 504):
                return
            if self.loop.stopping.wait(0.1 * 2**attempt):
                return

    def look_up(self, job: Job) -> bool:
        """Ask for the state of a job, and return whether there was an answer."""
        sent_at = time.monotonic()
        status, content = self._request("GET", job.path)
        if status == 410:
            self.job_check.unknown(job, self._node, sent_at)
        elif status == 200:
            self.job_check.shown(job, content["state"])
        return status in (200, 410)

    def cancel(self, job: Job) -> None:
        """Cancel a job, again until that is acknowledged."""
        job.cancel_sent_at = job.cancel_sent_at or time.monotonic()
        for _ in range(1 + RETRIES):
            status = self._request("DELETE", job.path)[0]
            if status in (200, 410):
                job.cancelled_at = job.cancelled_at or time.monotonic()
                return

    def _act(self) -> None:
        rng, chance = self._rng, self._rng.random()
        open_jobs = [job for job in self._own if job.ended_at is None]
        if chance < 0.35 and len(open_jobs) < MAX_OPEN_JOBS:
            job = self.world.workload.short_job(rng.choice([*QUEUES]))
            self._own.append(job)
            self.submit(job)
            if job.accepted_at is None and rng.random() < GIVE_UP_SHARE:
                self.cancel(job)
        elif chance < 0.42 and self._own:
            self.submit(rng.choice(self._own))
        elif chance < 0.5 and open_jobs:
            self.cancel(rng.choice(open_jobs))
        elif chance < 0.6:
            path, sent_at = rng.choice(self.operator.known_paths()), time.monotonic()
            status = self._request("GET", path)[0]
            self.config_check.routed(self._node, path, sent_at, status)
        elif open_jobs:
            self.look_up(rng.choice(open_jobs))

    def _request(self, method: str, path: str, content=None) -> tuple[int, dict]:
        if self._conn is None or self._conn.sock is None:
            self._node = self._balancer.choose(self._rng)
            address = str(self._fleet.link("callers", self._node).address)
            self._conn = http.client.HTTPConnection(address, timeout=bounds.CALL)
        sent_at = time.monotonic()
        try:
            status, tree = _exchange(self._conn, method, path, content)
        except (OSError, http.client.HTTPException):
            self._conn.close()
            self.cut_check.broken(self._node, f"{method} {path}", sent_at)
            return 0, {}
        self.report.count("requests")
        return status, tree
