"""Processor time of the leading control node for each run of a task.

Control nodes, entry nodes and the platform run as in `examples.berthline`.  Jobs of
short tasks are handed in at a fixed rate; the processor time is that of the leader's
process, less what it uses while nothing runs.
"""

import argparse
import os
import shutil
import sys
import time

from examples.berthline import CONFIG, ROOT, BerthlineDemo

FOLDER = ROOT / "run" / "job_runs"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
IDLE_SECONDS = 5.0
TASKS = 24
TASK = {"count": TASKS, "cpu": 2_000, "mem-mb": 64, "estimated-ms": 300}
TASK_SECONDS = "0.3"

CONFIG_WITHOUT_STANDBY = {
    **CONFIG,
    "version": 2,
    "services": [item for item in CONFIG["services"] if not item["standby"]],
}
"""No machine is parked, so that each worker is kept."""


def processor_seconds(pid: int) -> float:
    """Return the user and system time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def count_started(fleet: BerthlineDemo) -> int:
    """Return the number of runs that the workers have started."""
    return sum(len(worker.model.started) for worker in list(fleet.workers.values()))


def submit_for(fleet: BerthlineDemo, seconds: float, jobs_per_second: float) -> int:
    """Hand in jobs at a fixed rate; return how many were accepted."""
    accepted = 0
    started_at = time.monotonic()
    for number in range(int(seconds * jobs_per_second)):
        delay = started_at + number / jobs_per_second - time.monotonic()
        time.sleep(max(0.0, delay))
        content = {"spec": TASK_SECONDS, "steps": [TASK]}
        status, _ = fleet.job("POST", f"/approvals/{number:016x}", content)
        accepted += status == 200
    return accepted


def measure(fleet: BerthlineDemo, seconds: float, jobs_per_second: float) -> None:
    """Print the leader's processor time for each run."""
    leader = fleet.leader()
    pid = fleet.processes[leader].pid
    idle_from = processor_seconds(pid)
    time.sleep(IDLE_SECONDS)
    idle = (processor_seconds(pid) - idle_from) / IDLE_SECONDS
    busy_from, started_at = processor_seconds(pid), time.monotonic()
    print(f"leader: process {pid}, idle {idle:.3f} of a core", flush=True)
    accepted = submit_for(fleet, seconds, jobs_per_second)
    fleet.wait(lambda: count_started(fleet) >= accepted * TASKS)
    time.sleep(2 * float(TASK_SECONDS))
    elapsed = time.monotonic() - started_at
    used = processor_seconds(pid) - busy_from - idle * elapsed
    runs = count_started(fleet)
    print(
        f"{runs} runs in {elapsed:.1f} s: {1e6 * used / runs:.0f} us of the leader's "
        f"processor time a run, {used / elapsed:.2f} of a core"
    )


def main() -> int:
    """Run the benchmark and print its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--machines", type=int, default=24)
    parser.add_argument("--learners", type=int, default=0)
    parser.add_argument("--jobs-per-second", type=float, default=8.0)
    parser.add_argument("--seconds", type=float, default=15.0)
    options = parser.parse_args()
    shutil.rmtree(FOLDER, ignore_errors=True)
    fleet = BerthlineDemo(FOLDER, options.machines, options.learners)
    try:
        fleet.start()
        fleet.wait(lambda: fleet.put_config(CONFIG_WITHOUT_STANDBY) == 200)
        measure(fleet, options.seconds, options.jobs_per_second)
    finally:
        fleet.kill()
    return 0


if __name__ == "__main__":
    sys.exit(main())
