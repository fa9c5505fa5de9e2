"""Stand-in of one worker, as PROTOCOL.md describes it; a process of its own.

The spec of a job is a JSON object: `work-ms` is the duration of each task and `end` how
it ends, "done" or "failed". A task without a duration runs until it is stopped.
"""

import http.client
import json
import sys
import threading
import time
from pathlib import Path
from typing import Any

from http_server import JsonServer
from record import Record

HEARTBEAT_SECONDS = 1.5
MAX_HOLD_MS = 10_000
STOP_MS = 100
STARTUP_MS = 700
CHECK_SECONDS = 0.01


class Worker:
    """One life of a worker.

    Parameters
    ----------
    cfg : dict
        `id`, `machine`, `service`, `address`, `cpu`, `mem_mb`, `control` (addresses),
        `record` (path of the record).
    """

    def __init__(self, cfg: dict[str, Any]):
        self._cfg = cfg
        self._record = Record(Path(cfg["record"]))
        self._started_at = time.monotonic()
        self._born_ms = int(time.time() * 1000)
        self._changed = threading.Condition()
        self._fence = 0
        self._lease_ms = 0
        self._position = 0
        self._running: dict[tuple[str, int], dict[str, Any]] = {}
        self._finished: list[list[Any]] = []
        self._closed: dict[str, int] = {}
        host, port = cfg["address"]
        self._server = JsonServer((host, port), self._answer)

    def run(self) -> None:
        """Serve and announce this worker until the process ends."""
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._work, daemon=True).start()
        self._announce()

    def _clock_ms(self) -> int:
        return 1 + int(1000 * (time.monotonic() - self._started_at))

    # ---- calls ----

    def _answer(
        self, method: str, path: str, headers: dict[str, str], tree: dict[str, Any]
    ) -> tuple[int, Any]:
        if method == "GET":
            return 200, {}
        expected = headers.get("x-arbutuscleat-expected-instance", self._cfg["id"])
        if expected != self._cfg["id"]:
            return 421, self._body()
        with self._changed:
            if tree.get("fencing-token", 0) < self._fence:
                return 409, self._body(reason="fence")
            self._fence = tree.get("fencing-token", 0)
            if path == "/v1/run-start":
                return self._start(tree)
            if path == "/v1/run-stop":
                return self._stop(tree)
            if path == "/v1/hold":
                return self._hold(tree)
        return 404, self._body()

    def _start(self, tree: dict[str, Any]) -> tuple[int, Any]:
        task, number = tree["task"], tree["run-id"]
        if (task, number) in self._running:
            return 200, self._body()
        if number <= self._closed.get(task, 0):
            self._extend(tree["expires-ms"])
            return 409, self._body(reason="old")
        if tree["expires-ms"] <= self._clock_ms():
            return 409, self._body(reason="late")
        self._extend(tree["expires-ms"])
        self._running[task, number] = {
            "spec": json.loads(tree["spec"]),
            "since": self._clock_ms(),
            "stop_at": None,
        }
        self._note("run", task, number)
        return 200, self._body()

    def _stop(self, tree: dict[str, Any]) -> tuple[int, Any]:
        task, number = tree["task"], tree["run-id"]
        self._closed[task] = max(number, self._closed.get(task, 0))
        run = self._running.get((task, number))
        if run is not None:
            run["stop_at"] = self._clock_ms() + STOP_MS
        return 200, self._body()

    def _hold(self, tree: dict[str, Any]) -> tuple[int, Any]:
        if "expires-ms" in tree:
            self._extend(tree["expires-ms"])
        cursor = tree["ack-cursor"]
        for row in self._finished:
            if row[0] <= cursor:
                self._note("end taken note of", row[1], row[2], how=row[3])
        self._finished = [row for row in self._finished if row[0] > cursor]
        deadline = time.monotonic() + tree.get("wait-ms", 0) / 1000.0
        while not self._finished:
            left = deadline - time.monotonic()
            if left <= 0.0:
                break
            self._changed.wait(left)
        running = [
            [task, number, "", self._percent(run), 0]
            for (task, number), run in self._running.items()
        ]
        return 200, self._body(running=running, finished=self._finished[:500])

    def _percent(self, run: dict[str, Any]) -> int:
        total = run["spec"].get("work-ms") or STARTUP_MS
        return min(100, 100 * (self._clock_ms() - run["since"]) // total)

    def _extend(self, expires_ms: int) -> None:
        limit = self._clock_ms() + MAX_HOLD_MS
        self._lease_ms = max(self._lease_ms, min(expires_ms, limit))

    def _body(self, **fields: Any) -> dict[str, Any]:
        return {"clock-ms": self._clock_ms(), "born": self._born_ms, **fields}

    def _note(self, what: str, task: str, number: int, **details: Any) -> None:
        self._record.note(
            what, task=task, run=number, worker=self._cfg["id"], **details
        )

    # ---- work ----

    def _work(self) -> None:
        while True:
            time.sleep(CHECK_SECONDS)
            with self._changed:
                now = self._clock_ms()
                for (task, number), run in list(self._running.items()):
                    work_ms = run["spec"].get("work-ms")
                    if now >= self._lease_ms:
                        self._end(task, number, "lapsed")
                    elif run["stop_at"] is not None and now >= run["stop_at"]:
                        self._end(task, number, "stopped")
                    elif work_ms and now - run["since"] >= work_ms:
                        self._end(task, number, run["spec"].get("end", "done"))

    def _end(self, task: str, number: int, how: str) -> None:
        del self._running[task, number]
        self._closed[task] = max(number, self._closed.get(task, 0))
        self._position += 1
        self._finished.append([self._position, task, number, how, ""])
        self._note("end", task, number, how=how)
        self._changed.notify_all()

    # ---- announcements ----

    def _announce(self) -> None:
        control = self._cfg["control"]
        sequence = 0
        while True:
            sequence += 1
            for attempt in range(len(control)):
                if self._ping(control[(sequence + attempt) % len(control)], sequence):
                    break
            time.sleep(HEARTBEAT_SECONDS)

    def _ping(self, address: tuple[str, int], sequence: int) -> bool:
        cfg = self._cfg
        host, port = cfg["address"]
        content = {
            "service": cfg["service"],
            "address": f"{host}:{port}",
            "zone": "west",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "capacity": {"cpu": cfg["cpu"], "mem-mb": cfg["mem_mb"], "gpu": 0},
            "labels": ["a", "r1"],
            "clock-ms": self._clock_ms(),
            "born": self._born_ms,
            "sequence": sequence,
            "machine": cfg["machine"],
        }
        conn = http.client.HTTPConnection(*address, timeout=1.0)
        try:
            conn.request("PUT", f"/v1/instances/{cfg['id']}", json.dumps(content))
            answer = conn.getresponse()
            answer.read()
            if sequence == 1:
                self._record.note("ping", worker=cfg["id"], status=answer.status)
            return answer.status == 200
        except OSError:
            return False
        finally:
            conn.close()


if __name__ == "__main__":
    Worker(json.loads(sys.argv[1])).run()
