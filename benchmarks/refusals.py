"""Admission decisions a second while one team floods a full fleet.

The table holds the active jobs of a fleet of 6,200 workers. The first team sends as
fast as the decisions are made, so that nearly all of its jobs are refused; a fiftieth
comes from the others, within their rates. The passes over the table are included, and
one pass is measured by itself.
"""

import argparse
import random
import resource
import statistics
import time

from arbutuscleat.access import AdmissionController
from arbutuscleat.core import SystemClock
from arbutuscleat.jobs import QueueConfig, Service, Team
from arbutuscleat.scheduling import FleetCapacity, RateLimit, TeamBacklog
from tests.fakes.jobs import QUEUE, JobTableHarness, job, step, worker

WORKERS = 6_200
WORKER_CPU = 32_000
ACTIVE_JOBS = 6_000
TEAMS = (1, 20, 81)
USUAL_SHARE = 0.02
"""Share of the jobs that come from all teams but the first."""


def make_table(teams: int) -> JobTableHarness:
    """Return a table whose teams have more work than fits on the workers."""
    harness = JobTableHarness()
    table = harness.table
    for number in range(WORKERS):
        record = worker(f"w{number}", cpu=WORKER_CPU, host="10.0.0.1")
        table.workers[record.worker_id] = record
    services = [Service("karachi", True, False), Service("portal", True, True)]
    members = [Team("t0", frozenset(), 1.0)]
    members += [Team(f"t{number}", frozenset(), 1_000.0) for number in range(1, teams)]
    table.config = QueueConfig(2, [QUEUE], services, members)
    for number in range(ACTIVE_JOBS):
        steps = [step(8, cpu=4_300), step(8, cpu=4_300, after=[0])]
        record = job(f"{number:016x}", steps, team=f"t{number % teams}")
        harness.accept(record)
    return harness


def measure(teams: int, jobs: int) -> str:
    """Return the figures for a number of teams."""
    harness = make_table(teams)
    cpu = WORKERS * WORKER_CPU
    admission = AdmissionController(
        harness.table,
        SystemClock(),
        random.Random(1),
        lambda: FleetCapacity(cpu, WORKER_CPU, 65_536, 0),
        RateLimit(),
    )
    passes = []
    for _ in range(5):
        began = time.perf_counter()
        TeamBacklog.of_table(harness.table)
        passes.append(time.perf_counter() - began)
    rng = random.Random(2)
    refused = 0
    began = time.perf_counter()
    for number in range(jobs):
        is_usual = teams > 1 and rng.random() < USUAL_SHARE
        team = f"t{rng.randrange(1, teams)}" if is_usual else "t0"
        job_id = f"{number + ACTIVE_JOBS:016x}"
        record = job(job_id, [step(8, cpu=1_300)], team=team)
        refused += admission.check(record, job_id, QUEUE) is not None
    seconds = time.perf_counter() - began
    return (
        f"{teams} teams: {jobs / seconds:.0f} decisions a second, {refused / jobs:.0%} "
        f"refused; a pass over {ACTIVE_JOBS} jobs and {WORKERS} workers takes "
        f"{1e3 * statistics.median(passes):.0f} ms"
    )


def main() -> None:
    """Print the figures for each number of teams."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=50_000)
    options = parser.parse_args()
    for teams in TEAMS:
        print(measure(teams, options.jobs), flush=True)
    most = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"peak memory of the process: {most:.0f} MB")


if __name__ == "__main__":
    main()
