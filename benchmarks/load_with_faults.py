"""Load through two entry instances on endpoints with injected faults.

Targets: no key of a non-idempotent request runs twice, no request that is reported as
`not-run` has run, and no answer is truncated or belongs to another request.  The runs
are counted by the endpoints themselves.  Callers resend requests under the same key
through the other entry instance.
"""

import argparse
import multiprocessing
import random
import sys
import time
import uuid
from collections import Counter
from dataclasses import dataclass, field

import urllib3
from hdrh.histogram import HdrHistogram

from arbutuscleat.emulator import (
    EndpointFault,
    EndpointPlan,
    FleetPlan,
    answer_digest,
)

from .fleets import running_fleet, set_pool, start_endpoints

FAULTS = [fault.value for fault in EndpointFault if fault is not EndpointFault.NONE]
WORKERS = 8
PROCESSES = 6
RESENDS = 3
TIMEOUT_MS = 1500
PLAN = FleetPlan(data_centres=("karachi",), entries_per_data_centre=2, controls=3)
RUNS_TIMEOUT_SECONDS = 30.0


@dataclass
class CallerReport:
    """Requests of one caller process, and their results.

    Parameters
    ----------
    requests, attempts : int
        Number of requests, and of attempts including resends.
    wrong_answers : int
        Answers that are truncated or belong to another request.
    outcomes : Counter
        Number of requests by method and last outcome.
    refusals : Counter
        Number of attempts that were refused, by title and outcome.
    last_outcome : dict of str to str
        Last outcome of each key of a non-idempotent request.
    latency : bytes
        Encoded histogram of the latency of attempts in microseconds.
    """

    requests: int = 0
    attempts: int = 0
    wrong_answers: int = 0
    outcomes: Counter = field(default_factory=Counter)
    refusals: Counter = field(default_factory=Counter)
    last_outcome: dict[str, str] = field(default_factory=dict)
    latency: bytes = b""


def uuid7_key(rng: random.Random) -> str:
    """Return an idempotency key in the form of a version 7 UUID."""
    milliseconds = int(time.time() * 1000)
    value = milliseconds << 80 | 7 << 76 | rng.getrandbits(12) << 64
    return str(uuid.UUID(int=value | 2 << 62 | rng.getrandbits(62)))


def send_requests(seed: str, urls: list[str], requests: int) -> CallerReport:
    """Send requests one after the other, resending each until its outcome is `ran`.

    A request is sent at most `RESENDS` times.
    """
    rng = random.Random(seed)
    http = urllib3.PoolManager(retries=False)
    report = CallerReport()
    histogram = HdrHistogram(1, 60_000_000, 2)
    for _ in range(requests):
        key = uuid7_key(rng)
        method = "POST" if rng.random() < 0.5 else "GET"
        body = rng.randbytes(rng.randrange(200)) if method == "POST" else b""
        report.requests += 1
        for attempt in range(RESENDS):
            url = urls[(report.requests + attempt) % len(urls)]
            started = time.perf_counter()
            outcome = _attempt(http, url, method, key, body, report)
            histogram.record_value(int((time.perf_counter() - started) * 1e6))
            if outcome == "ran":
                break
        if method == "POST":
            report.last_outcome[key] = outcome
        report.outcomes[method, outcome] += 1
    report.latency = histogram.encode()
    return report


def _attempt(
    http, url: str, method: str, key: str, body: bytes, report: CallerReport
) -> str:
    """Send one request, update the report and return the outcome."""
    report.attempts += 1
    headers = {"Idempotency-Key": key, "Arbutuscleat-Timeout-Ms": str(TIMEOUT_MS)}
    target = f"{url}/v1/services/portal/x"
    answer = http.request(
        method, target, headers=headers, body=body or None, timeout=30
    )
    outcome = answer.headers.get("Arbutuscleat-Outcome", "none")
    if answer.headers.get("Content-Type") == "application/problem+json":
        report.refusals[answer.json()["title"], outcome] += 1
    elif answer.data != answer_digest(key, body).encode():
        report.wrong_answers += 1
    return outcome


def collect_runs(urls: list[str]) -> tuple[Counter, int]:
    """Return the runs of each key, and the most concurrent runs on one endpoint."""
    runs: Counter = Counter()
    most = 0
    for url in urls:
        reply = urllib3.request("GET", f"{url}/runs", timeout=RUNS_TIMEOUT_SECONDS)
        found = reply.json()
        runs.update(found["runs"])
        most = max(most, found["most_at_once"])
    return runs, most


def print_results(
    reports: list[CallerReport], runs: Counter, most: int, seconds: float
) -> int:
    """Print the results and return the number of violated guarantees."""
    latency = HdrHistogram(1, 60_000_000, 2)
    outcomes: Counter = Counter()
    refusals: Counter = Counter()
    last_outcome: dict[str, str] = {}
    for report in reports:
        latency.decode_and_add(report.latency)
        outcomes.update(report.outcomes)
        refusals.update(report.refusals)
        last_outcome.update(report.last_outcome)
    requests = sum(report.requests for report in reports)
    repeated = [key for key in last_outcome if runs[key] > 1]
    false_not_run = [
        key
        for key, outcome in last_outcome.items()
        if outcome == "not-run" and runs[key]
    ]
    false_ran = [
        key
        for key, outcome in last_outcome.items()
        if outcome == "ran" and not runs[key]
    ]
    wrong = sum(report.wrong_answers for report in reports)
    attempts = sum(report.attempts for report in reports)
    print(
        f"{requests} requests, {attempts} attempts in {seconds:.0f} s; p50 "
        f"{latency.get_value_at_percentile(50) / 1000:.1f} ms, p99 "
        f"{latency.get_value_at_percentile(99) / 1000:.1f} ms"
    )
    for (method, outcome), count in sorted(outcomes.items()):
        print(f"last outcome of {method}: {outcome} {count}")
    for (title, outcome), count in sorted(refusals.items()):
        print(f"refusal {title}, {outcome}: {count}")
    print(
        f"double runs {len(repeated)}, false not-run {len(false_not_run)}, "
        f"ran without a run {len(false_ran)}, wrong or short answers {wrong}, "
        f"most runs at once {most}"
    )
    return len(repeated) + len(false_not_run) + len(false_ran) + wrong


def main() -> int:
    """Run the load and print the results; return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--fault-share", type=float, default=0.05)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    workers = [
        EndpointPlan(
            f"worker-{number}",
            "karachi",
            "portal",
            rack=f"rack-{number // 4}",
            labels=["tier=portal"],
            run_ms=2.0,
            faults=FAULTS,
            fault_share=options.fault_share,
            seed=options.seed,
        )
        for number in range(WORKERS)
    ]
    with running_fleet(PLAN, "load-with-faults") as fleet:
        set_pool(fleet, "portal", "bench-portal")
        endpoints = start_endpoints(fleet, workers)
        urls = fleet.entries("karachi")
        share = options.requests // PROCESSES
        arguments = [(f"{options.seed}/{n}", urls, share) for n in range(PROCESSES)]
        started = time.monotonic()
        with multiprocessing.get_context("spawn").Pool(PROCESSES) as pool:
            reports = pool.starmap(send_requests, arguments)
        seconds = time.monotonic() - started
        runs, most = collect_runs(endpoints)
    return 1 if print_results(reports, runs, most, seconds) else 0


if __name__ == "__main__":
    sys.exit(main())
