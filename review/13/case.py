"""A job that can never be done fails with checkpoints of 1,200 characters."""

import json
import random
import threading
import time
from pathlib import Path

from review.third.installation import run_case, trouble

MAX_ATTEMPTS = 3
SAVED_CHARACTERS = 1_200
RUN_SECONDS = 1.5
OTHER_JOBS = 60
WATCH_SECONDS = 30.0


class Attempts:
    """Notes the starts of tasks, their ends and what is taken note of, in order."""

    def __init__(self, record):
        self._record = record
        self._lock = threading.Lock()
        self.events = []

    def __call__(self, kind, worker, name, number, how):
        with self._lock:
            self.events.append((self._record.seconds(), kind, name, number, how))

    def breaks(self, job_id):
        """Return the starts after `MAX_ATTEMPTS` runs failed, as noted then or later."""
        with self._lock:
            events = [item for item in self.events if item[2].startswith(job_id)]
        noted = {item[2:4] for item in events if item[1] == "noted"}
        failed = {}
        found = []
        for at, kind, name, number, how in events:
            if kind == "end" and how == "failed" and (name, number) in noted:
                failed[name] = failed.get(name, 0) + 1
            elif kind == "start" and failed.get(name, 0) >= MAX_ATTEMPTS:
                found.append((at, name, number, failed[name]))
        return found


def content(seconds, **spec):
    """Return a job of one task."""
    spec = {"seconds": seconds, "cpu": 2000, "mem-mb": 512, **spec}
    step = {
        "count": 1, "cpu": 2000, "mem-mb": 512, "estimated-ms": int(1000 * seconds),
        "checkpointing": True,
    }
    return {"spec": json.dumps(spec), "steps": [step]}


def main(installation):
    """Run one job that can never be done among others that can."""
    record = installation.record
    attempts = Attempts(record)
    installation.watchers.append(attempts)
    job_id = f"{random.getrandbits(64):016x}"
    job = content(RUN_SECONDS, fails=trouble(), **{"saved-characters": SAVED_CHARACTERS})
    if not installation.submit(job_id, job):
        raise RuntimeError("the job was not accepted")
    end = time.monotonic() + WATCH_SECONDS
    for _ in range(OTHER_JOBS):
        installation.submit(f"{random.getrandbits(64):016x}", content(0.3))
        time.sleep(0.3)
    state = ""
    while time.monotonic() < end and state not in ("completed", "failed"):
        state = (installation.job("GET", job_id)[1] or {}).get("state", "")
        time.sleep(0.5)
    record.write(f"the job is {state}")
    found = attempts.breaks(job_id)
    for at, name, number, count in found:
        record.write(
            f"BROKEN BUDGET: {name}#{number} started at {at:.3f} after {count} runs that "
            "ended `failed`, and whose ends were taken note of"
        )
    if not found and state not in ("completed", "failed"):
        raise RuntimeError(f"the job is {state!r}")
    return 1 if found else 0


if __name__ == "__main__":
    run_case(main, Path(__file__).resolve().parent)
