"""A worker that follows the users' page "Running tasks"."""

import http.client
import json
import threading
import time
from collections.abc import Callable
from typing import Any

from .http_service import Answer, HttpService
from .record import Record

MAX_HOLD_MS = 10_000
STOP_SECONDS = 0.05
MAX_ENDS = 500
PING_SECONDS = 1.5
"""`heartbeat-ms` of the settings."""


class GangBoard:
    """What the members of gangs learn of each other, on whatever worker they run.

    Members work together from the moment when all of a run are present. Once one has
    ended, the others end with it `SPREAD_SECONDS` later: `done` as it did, or `broken`.
    """

    SPREAD_SECONDS = 0.1

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._present: dict[tuple[str, int], set[str]] = {}
        self._ended: dict[tuple[str, int], tuple[float, str]] = {}

    def join(self, name: str, number: int) -> None:
        """Note that a member is present."""
        with self._lock:
            key = (name.rpartition(".")[0], number)
            self._present.setdefault(key, set()).add(name)

    def count(self, name: str, number: int) -> int:
        """Return the number of members of a member's run that were present."""
        with self._lock:
            return len(self._present.get((name.rpartition(".")[0], number), ()))

    def end(self, name: str, number: int, how: str) -> None:
        """Note that a member has ended."""
        with self._lock:
            key = (name.rpartition(".")[0], number)
            self._ended.setdefault(key, (time.monotonic(), how))

    def end_of_others(self, name: str, number: int) -> str:
        """Return how a member ends because another has; empty if none has."""
        with self._lock:
            at, how = self._ended.get(
                (name.rpartition(".")[0], number), (float("inf"), "")
            )
        if time.monotonic() < at + self.SPREAD_SECONDS:
            return ""
        return "done" if how == "done" else "broken"


class _Run:
    """A run, which behaves as the spec of its job says."""

    def __init__(self, name: str, number: int, spec: dict[str, Any], checkpoint: str):
        self.name = name
        self.number = number
        self.seconds = float(spec.get("seconds", 1.0))
        self.lasts = bool(spec.get("lasts", False))
        self.cpu = int(spec.get("cpu", 0))
        self.mem_mb = int(spec.get("mem-mb", 0))
        self.gang = int(spec.get("gang", 0))
        self.fails = bool(spec.get("fails", False))
        self.saved_characters = int(spec.get("saved-characters", 0))
        self.began_work_at = None if self.gang else time.monotonic()
        self.checkpoint = checkpoint
        self.began_at = time.monotonic()
        self.stopping_at: float | None = None

    def saved(self, now: float) -> str:
        """Return the latest checkpoint, of which there is one for each second."""
        seconds = int(now - self.began_at)
        if not seconds or not self.saved_characters:
            return self.checkpoint
        return f"{self.number}/{seconds}/".ljust(self.saved_characters, "0")


class Worker:
    """One lifetime of a worker: its HTTP interface, its runs and its pings.

    Parameters
    ----------
    record : Record
        Receives starts, ends, crashes and pings.
    worker_id, service, machine, zone, rack : str
        What the worker says of itself.
    host : str
        Its loopback address.
    port : int
        Its port; 0 selects a free one.
    control : list of str
        Addresses that serve control.
    cpu, mem_mb : int
        Its capacity.
    guards : bool
        Whether it rejects what does not fit.
    gangs : GangBoard, optional
        Shared by all workers.
    """

    GANG_TIMEOUT_SECONDS = 3.0
    FAIL_SECONDS = 0.05
    """After its start a run fails on a worker that fails all that it starts."""

    def __init__(
        self,
        record: Record,
        worker_id: str,
        service: str,
        machine: str,
        host: str,
        control: list[str],
        port: int = 0,
        zone: str = "west",
        rack: str = "r1",
        cpu: int = 16_000,
        mem_mb: int = 32_768,
        guards: bool = True,
        watch: Callable[[str, "Worker", str, int, str], None] | None = None,
        gangs: GangBoard | None = None,
    ):
        self.gangs = gangs or GangBoard()
        self.fails_all = False
        self.record = record
        self.worker_id = worker_id
        self.service = service
        self.machine = machine
        self.zone = zone
        self.labels = ["a", rack]
        self.cpu, self.mem_mb, self.guards = cpu, mem_mb, guards
        self.control = control
        self.born_ms = int(time.time() * 1000)
        self.draining = False
        self.is_up = True
        self.sequence = 0
        self._steady = time.monotonic()
        self._changed = threading.Condition(threading.RLock())
        self._fence = 0
        self._expires_ms = 0
        self._runs: dict[str, _Run] = {}
        self._closed: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._position = 0
        self._watch = watch or (lambda *_: None)
        self._stopping = threading.Event()
        self.service_http = HttpService(host, port, self._handle)
        self._clock_thread = threading.Thread(target=self._run_clock, daemon=True)
        self._ping_thread = threading.Thread(target=self._ping, daemon=True)

    @property
    def address(self) -> str:
        """Host and port."""
        return self.service_http.address

    def start(self) -> None:
        """Serve, and send pings."""
        self.service_http.start()
        self._clock_thread.start()
        self._ping_thread.start()
        self.record.write(f"worker {self.worker_id} at {self.address} is up")

    def crash(self) -> None:
        """End at once: nothing is said, everything that runs ends with it."""
        with self._changed:
            self.is_up = False
            self._stopping.set()
            names = [f"{r.name}#{r.number}" for r in self._runs.values()]
            for run in list(self._runs.values()):
                self._watch("crashed", self, run.name, run.number, "")
            self._runs = {}
            self._changed.notify_all()
        self.service_http.crash()
        self.record.write(f"worker {self.worker_id} crashes with {names}")

    def running(self) -> list[tuple[str, int]]:
        """Return the tasks and numbers of what runs."""
        with self._changed:
            return [(run.name, run.number) for run in self._runs.values()]

    def ping_once(self, address: str, content: dict[str, Any] | None = None) -> int:
        """Send one ping to an address; return the status, 0 without an answer."""
        return call("PUT", address, f"/v1/instances/{self.worker_id}",
                    content or self.ping_content(), 1.0)[0]

    def ping_content(self) -> dict[str, Any]:
        """Return the body of the next ping."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold-remaining-ms": 0,
            "capacity": {"cpu": self.cpu, "mem-mb": self.mem_mb, "gpu": 0},
            "labels": self.labels,
            "clock-ms": self._now_ms(),
            "sequence": self.sequence,
            "born": self.born_ms,
            "machine": self.machine,
        }

    # ---- pings ----

    def _ping(self) -> None:
        number = hash(self.worker_id)
        while not self._stopping.is_set():
            for _ in range(len(self.control)):
                status = self.ping_once(self.control[number % len(self.control)])
                if 200 <= status < 300 or self._stopping.is_set():
                    break
                number += 1
            self._stopping.wait(PING_SECONDS)

    # ---- the interface ----

    def _handle(self, method: str, path: str, headers: dict, tree: Any) -> Answer:
        expected = headers.get("x-arbutuscleat-expected-instance")
        if expected is not None and expected != self.worker_id:
            return 421, {"clock-ms": self._now_ms(), "born": self.born_ms}
        if method != "POST" or not isinstance(tree, dict):
            return 400, {"clock-ms": self._now_ms(), "born": self.born_ms}
        with self._changed:
            self._require_up()
            self._advance()
            if tree.get("fencing-token", 0) < self._fence:
                return self._refuse("fence")
            self._fence = tree.get("fencing-token", 0)
            if path == "/v1/run-start":
                return self._start(tree)
            if path == "/v1/run-stop":
                return self._stop(tree)
            if path == "/v1/hold":
                return self._hold(tree)
        return 404, None

    def _start(self, tree: dict[str, Any]) -> Answer:
        name, number = tree["task"], tree["run-id"]
        present = self._runs.get(name)
        if present is not None and present.number == number:
            return self._accept()
        if number <= self._closed.get(name, 0):
            self._extend(tree["expires-ms"])
            return self._refuse("old")
        if tree["expires-ms"] <= self._now_ms():
            return self._refuse("late")
        self._extend(tree["expires-ms"])
        if present is not None:
            return self._refuse("old")
        run = _Run(name, number, json.loads(tree["spec"]), tree.get("checkpoint", ""))
        if self.guards and not self._fits(run):
            return self._refuse("room")
        self._runs[name] = run
        if run.gang:
            self.gangs.join(name, number)
        self.record.write(f"worker {self.worker_id} starts {name}#{number}")
        self._watch("start", self, name, number, "")
        return self._accept()

    def _fits(self, run: _Run) -> bool:
        runs = [run, *self._runs.values()]
        return (
            sum(other.cpu for other in runs) <= self.cpu
            and sum(other.mem_mb for other in runs) <= self.mem_mb
        )

    def _stop(self, tree: dict[str, Any]) -> Answer:
        name, number = tree["task"], tree["run-id"]
        run = self._runs.get(name)
        if run is not None and run.number == number and run.stopping_at is None:
            run.stopping_at = time.monotonic()
        self._closed[name] = max(self._closed.get(name, 0), number)
        return self._accept()

    def _hold(self, tree: dict[str, Any]) -> Answer:
        if "expires-ms" in tree:
            self._extend(tree["expires-ms"])
        cursor = tree["ack-cursor"]
        for end in self._ends:
            if end[0] <= cursor:
                self._watch("noted", self, end[1], end[2], end[3])
        self._ends = [end for end in self._ends if end[0] > cursor]
        deadline = time.monotonic() + tree.get("wait-ms", 0) / 1000.0
        while not self._ends and self.is_up:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            self._changed.wait(left)
        self._require_up()
        now = time.monotonic()
        return 200, {
            "clock-ms": self._now_ms(),
            "born": self.born_ms,
            "running": [
                [run.name, run.number, run.saved(now), run_percent(run, now), 0]
                for run in self._runs.values()
            ],
            "finished": self._ends[:MAX_ENDS],
        }

    def _accept(self) -> Answer:
        return 200, {"clock-ms": self._now_ms(), "born": self.born_ms}

    def _refuse(self, reason: str) -> Answer:
        return 409, {
            "clock-ms": self._now_ms(),
            "born": self.born_ms,
            "reason": reason,
        }

    def _require_up(self) -> None:
        if not self.is_up:
            raise ConnectionAbortedError("the worker has crashed")  # No answer.

    # ---- time ----

    def _now_ms(self) -> int:
        return 1 + int(1000 * (time.monotonic() - self._steady))

    def _extend(self, expires_ms: int) -> None:
        most = self._now_ms() + MAX_HOLD_MS
        self._expires_ms = max(self._expires_ms, min(expires_ms, most))

    def _advance(self) -> None:
        now = time.monotonic()
        lapsed = self._now_ms() >= self._expires_ms
        for run in list(self._runs.values()):
            if run.gang and run.began_work_at is None:
                if self.gangs.count(run.name, run.number) >= run.gang:
                    run.began_work_at = now
            if run.stopping_at is not None and now - run.stopping_at >= STOP_SECONDS:
                self._end(run, "stopped")
            elif self.fails_all and now - run.began_at >= self.FAIL_SECONDS:
                self._end(run, "failed")
            elif run.gang and (how := self.gangs.end_of_others(run.name, run.number)):
                self._end(run, how)
            elif run.began_work_at is None:
                if now - run.began_at >= self.GANG_TIMEOUT_SECONDS:
                    self._end(run, "alone")
                elif lapsed:
                    self._end(run, "lapsed")
            elif not run.lasts and now - run.began_work_at >= run.seconds:
                self._end(run, "failed" if run.fails else "done")
            elif lapsed:
                self._end(run, "lapsed")

    def _end(self, run: _Run, how: str) -> None:
        del self._runs[run.name]
        self._closed[run.name] = max(self._closed.get(run.name, 0), run.number)
        if run.gang:
            self.gangs.end(run.name, run.number, how)
        self._position += 1
        saved = "" if how == "done" else run.saved(time.monotonic())
        self._ends.append([self._position, run.name, run.number, how, saved])
        self.record.write(f"worker {self.worker_id} ends {run.name}#{run.number} {how}")
        self._watch("end", self, run.name, run.number, how)
        self._changed.notify_all()

    def _run_clock(self) -> None:
        while not self._stopping.wait(0.01):
            with self._changed:
                self._advance()


def run_percent(run: _Run, now: float) -> int:
    """Return the progress of a run; one that lasts is at work after half a second."""
    seconds = 0.5 if run.lasts else run.seconds
    if run.began_work_at is None:
        return 0
    return min(100, int(100 * (now - run.began_work_at) / max(0.001, seconds)))


def call(
    method: str,
    address: str,
    path: str,
    content: Any = None,
    timeout: float = 3.0,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    """Send a request with a JSON body; return status and content, 0 without one."""
    body = None if content is None else json.dumps(content).encode()
    conn = http.client.HTTPConnection(address, timeout=timeout)
    try:
        conn.request(method, path, body,
                     {"Content-Type": "application/json", **(headers or {})})
        answer = conn.getresponse()
        data = answer.read()
        return answer.status, json.loads(data) if data else None
    except (OSError, http.client.HTTPException, ValueError):
        return 0, None
    finally:
        conn.close()
