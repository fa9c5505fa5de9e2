"""An entry process is frozen; a client gives its POST up, and cancels the job."""

import random
import signal
import time
from pathlib import Path

from review.third.installation import CALLER_HOST, PREFIX, run_case, trouble
from review.third.worker import call

ENTRIES = 7
FROZEN_SECONDS = 7.0
DEADLINE_SECONDS = 3.0
CANCEL_SECONDS = 3.0
"""`cancel_ms` of the settings."""

STEP = {"count": 4, "cpu": 4000, "mem-mb": 1024, "estimated-ms": 2000}
SPEC = '{"seconds": 2.0, "cpu": 4000, "mem-mb": 1024}'
CONTENT = {"spec": SPEC, "steps": [STEP]}


def main(installation):
    """Hand a job in, cancel it, and watch for starts of its tasks."""
    record = installation.record
    starts = []

    def note(kind, worker, name, number, how):
        if kind == "start":
            starts.append((record.seconds(), name))

    installation.watchers.append(note)
    job_id = f"{random.getrandbits(64):016x}"
    entry = installation.processes[installation.entry_hosts[0]]
    frozen_at = time.monotonic()
    if trouble():
        entry.send_signal(signal.SIGSTOP)
        record.write("entry 0 is frozen")
        time.sleep(0.5)
    headers = {"Host": CALLER_HOST, "X-Arbutuscleat-Deadline-Ms": "3000"}
    path = PREFIX + job_id
    answer = call(
        "POST", installation.entries[0], path, CONTENT, DEADLINE_SECONDS, headers
    )
    record.write(f"POST {job_id} at entry 0, for {DEADLINE_SECONDS} s: {answer}")
    status = 0
    while status not in (200, 410):
        status, _ = installation.job("DELETE", job_id, entry=1)
    acknowledged_at = record.seconds()
    record.write(f"the cancelling of {job_id} is acknowledged with {status}")
    if trouble():
        time.sleep(max(0.0, frozen_at + FROZEN_SECONDS - time.monotonic()))
        entry.send_signal(signal.SIGCONT)
        record.write("entry 0 wakes")
    time.sleep(10.0)
    installation.job("GET", job_id, entry=1)
    late = [item for item in starts if item[0] > acknowledged_at + CANCEL_SECONDS]
    for at, name in late:
        record.write(
            f"BROKEN UNASKED: {name} started {at - acknowledged_at:.3f} s after the "
            "cancelling of its job was acknowledged"
        )
    return 1 if late else 0


if __name__ == "__main__":
    run_case(main, Path(__file__).resolve().parent, entries=ENTRIES)
