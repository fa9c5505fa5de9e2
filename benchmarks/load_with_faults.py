"""Load through two entry instances on endpoints that misbehave.

Targets: no key of a non-idempotent request runs twice, no `not-run` that ran, no
answer that is short or belongs to another request.  The endpoints' own counts
decide.  Callers resend under the same key through the other entry instance.
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
class Report:
    """What the callers saw."""

    requests: int = 0
    attempts: int = 0
    wrong_answers: int = 0
    outcomes: Counter = field(default_factory=Counter)
    refusals: Counter = field(default_factory=Counter)
    last_outcome: dict[str, str] = field(default_factory=dict)
    latency: bytes = b""


def time_ordered_key(rng: random.Random) -> str:
    """Return a key in the form of a UUID of version 7."""
    milliseconds = int(time.time() * 1000)
    value = milliseconds << 80 | 7 << 76 | rng.getrandbits(12) << 64
    return str(uuid.UUID(int=value | 2 << 62 | rng.getrandbits(62)))


def call(seed: str, urls: list[str], requests: int) -> Report:
    """Send requests one after the other, resending those without an answer."""
    rng = random.Random(seed)
    http = urllib3.PoolManager(retries=False)
    report = Report()
    histogram = HdrHistogram(1, 60_000_000, 2)
    for _ in range(requests):
        key = time_ordered_key(rng)
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


def _attempt(http, url: str, method: str, key: str, body: bytes, report: Report) -> str:
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
    """Return how often each key ran, and the most runs at once on one endpoint."""
    runs: Counter = Counter()
    most = 0
    for url in urls:
        reply = urllib3.request("GET", f"{url}/runs", timeout=RUNS_TIMEOUT_SECONDS)
        found = reply.json()
        runs.update(found["runs"])
        most = max(most, found["most_at_once"])
    return runs, most


def show(reports: list[Report], runs: Counter, most: int, seconds: float) -> int:
    """Print what was seen and return the number of broken promises."""
    latency = HdrHistogram(1, 60_000_000, 2)
    outcomes: Counter = Counter()
    refusals: Counter = Counter()
    last: dict[str, str] = {}
    for report in reports:
        latency.decode_and_add(report.latency)
        outcomes.update(report.outcomes)
        refusals.update(report.refusals)
        last.update(report.last_outcome)
    requests = sum(report.requests for report in reports)
    doubled = [key for key in last if runs[key] > 1]
    false = [key for key, outcome in last.items() if outcome == "not-run" and runs[key]]
    missing = [
        key for key, outcome in last.items() if outcome == "ran" and not runs[key]
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
        f"double runs {len(doubled)}, false not-run {len(false)}, ran without a run "
        f"{len(missing)}, wrong or short answers {wrong}, most runs at once {most}"
    )
    return len(doubled) + len(false) + len(missing) + wrong


def main() -> int:
    """Run the load and print its report."""
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
            reports = pool.starmap(call, arguments)
        seconds = time.monotonic() - started
        runs, most = collect_runs(endpoints)
    return 1 if show(reports, runs, most, seconds) else 0


if __name__ == "__main__":
    sys.exit(main())
