"""The worker of one task of a step that lasts crashes, three times; all are stopped."""

import time
from pathlib import Path

from fleet import Fleet, NotRunError, config, route, run_trial
from record import Record

SERVICE = "billing"
PREFIX = "/ledgers/"
JOB = "5c0e7a21d94b36f8"
WORKERS = 8
TASKS = 3
MAY_MISS = 1
CRASHES = 3
RUN_SECONDS = 1.5
"""For how long a run has lasted when its worker crashes; it is at work by then."""

DOWN_SECONDS = 1.0
WAIT_SECONDS = 30.0
OBSERVE_SECONDS = 10.0


def trial(record: Record, trouble: bool) -> str:
    """Hand in a job that lasts, crash the workers of one task, and watch the others."""
    fleet = Fleet(record, {SERVICE: WORKERS})
    try:
        fleet.start(config(1, [route("ledgers", PREFIX, SERVICE)], [SERVICE]))
        step = {
            "count": TASKS,
            "cpu": 2000,
            "mem-mb": 256,
            "estimated-ms": 1000,
            "long-running": True,
            "anti-affinity": 1,
            "may-miss": MAY_MISS,
        }
        fleet.submit(PREFIX + JOB, {"spec": "{}", "steps": [step]})
        _wait_for_runs(record, TASKS)
        task = record.events("run")[0]["task"]
        for crash in range(CRASHES if trouble else 0):
            _crash_worker(fleet, record, task, crash)
        time.sleep(OBSERVE_SECONDS)
        fleet.client("GET", PREFIX + JOB)
        return _find_stopped(record)
    finally:
        fleet.end()


def _wait_for_runs(record: Record, count: int, task: str = "") -> list[dict]:
    deadline = time.monotonic() + WAIT_SECONDS
    while True:
        runs = [e for e in record.events("run") if task in ("", e["task"])]
        if len(runs) >= count:
            return runs
        if time.monotonic() > deadline:
            raise NotRunError(f"{len(runs)} of {count} runs have started")
        time.sleep(0.02)


def _crash_worker(fleet: Fleet, record: Record, task: str, crash: int) -> None:
    """Crash the worker that runs the task, once it is at work there."""
    worker_id = _wait_for_runs(record, crash + 1, task)[-1]["worker"]
    time.sleep(RUN_SECONDS)
    node = next(node for node in fleet.workers if node.name == worker_id)
    node.kill()
    record.note("crash", worker=worker_id, task=task)
    time.sleep(DOWN_SECONDS)
    node.start()


def _find_stopped(record: Record) -> str:
    """Return which tasks were stopped at work while too many others were away."""
    crashed = {e["worker"] for e in record.events("crash")}
    stopped = [
        e
        for e in record.events("end")
        if e["how"] in ("stopped", "lapsed") and e["worker"] not in crashed
    ]
    if len(stopped) <= MAY_MISS:
        return ""
    tasks = ", ".join(e["task"] for e in stopped)
    return f"{tasks} are stopped at work on sound workers; {MAY_MISS} may be away"


if __name__ == "__main__":
    run_trial(Path(__file__).resolve().parent, trial)
