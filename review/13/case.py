"""Three workers crash, one after the other, under a sound job."""

import random
import time
from pathlib import Path

from review.third.installation import run_case, trouble

RUN_SECONDS = 6.0
CRASHES = 3
DOWN_SECONDS = 1.0
STEP = {"count": 1, "cpu": 4000, "mem-mb": 1024, "estimated-ms": 6000}
SPEC = f'{{"seconds": {RUN_SECONDS}, "cpu": 4000, "mem-mb": 1024}}'
CONTENT = {"spec": SPEC, "steps": [STEP]}


def main(installation):
    """Run a job, crash the worker that runs it three times, and ask for its state."""
    record = installation.record
    ends = []
    installation.watchers.append(
        lambda kind, worker, name, number, how: ends.append((kind, how))
    )
    job_id = f"{random.getrandbits(64):016x}"
    if not installation.submit(job_id, CONTENT):
        raise RuntimeError("the job was not accepted")
    for _ in range(CRASHES if trouble() else 0):
        def busy():
            return [m for m, w in installation.workers.items() if w.running()]

        installation.wait("a run", busy)
        time.sleep(2.0)
        machine = busy()[0]
        worker = installation.workers[machine]
        port = worker.service_http.port
        worker.crash()
        time.sleep(DOWN_SECONDS)
        installation.start_worker(machine, port=port)
        time.sleep(1.0)
    deadline = time.monotonic() + 40.0
    state = ""
    while time.monotonic() < deadline and state not in ("completed", "failed"):
        state = (installation.job("GET", job_id)[1] or {}).get("state", "")
        time.sleep(0.5)
    failed = sum(item == ("end", "failed") for item in ends)
    record.write(f"the job is {state}; {failed} of its runs ended `failed`")
    for line in installation.log_lines("given up"):
        record.write(line)
    if state == "failed" and not failed:
        record.write("BROKEN LOST: shown as failed without cause")
        return 1
    if state != "completed":
        raise RuntimeError(f"the job is {state!r}")
    return 0


if __name__ == "__main__":
    run_case(main, Path(__file__).resolve().parent)
