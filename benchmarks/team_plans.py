"""Processor time of a plan in a full service, by number of teams and workers.

Each worker runs four tasks, and all teams have jobs that wait. A run on some workers
ends before each plan, as it does between two plans of a leader.
"""

import argparse
import random
import statistics
import time

from arbutuscleat.jobs import (
    Capacity,
    JobTable,
    Queue,
    QueueConfig,
    RunOutcome,
    Service,
    Team,
)
from arbutuscleat.scheduling import Planner, UsageCache, WorkerView
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen_jobs.ttypes import (
    EndRecord,
    JobCommand,
    JobRecord,
    RunEnds,
    RunRecord,
    RunStarts,
    StepRecord,
    WorkerRecord,
)

TEAMS = (0, 1, 20, 81)
WORKERS = (200, 6_200)
SERVICES = 5
RUNS_PER_WORKER = 4
WAITING_JOBS = 500
ENDS_PER_PLAN = 10
PLANS = 20
NOW_MS = 10_000


class LoadedTable:
    """A job table whose workers are full, with jobs that wait.

    Parameters
    ----------
    teams : int
        Number of teams; without any, jobs belong to none.
    workers : int
        Number of workers.
    """

    def __init__(self, teams: int, workers: int):
        self._random = random.Random(teams)
        self._names = [f"team-{number}" for number in range(teams)]
        self._index = 0
        self._jobs = 0
        self._usage_cache = UsageCache()
        self.table = JobTable(lambda content: self.table.config)
        names = [f"service-{number}" for number in range(SERVICES)]
        cap = Capacity(workers * 32_000)
        self.table.config = QueueConfig(
            1,
            [Queue(n, n, "/", n, 0, 3, 2.0, 600) for n in names],
            [Service(name, True, False) for name in names],
            [Team(name, frozenset(), 1.0, cap) for name in self._names],
        )
        for number in range(workers):
            self._add_worker(number)

    def _apply(self, **command: object) -> None:
        self._index += 1
        self.table.apply(self._index, encode(JobCommand(**command)))

    def _add_worker(self, number: int) -> None:
        service = f"service-{number % SERVICES}"
        worker_id = f"w{number}"
        self._apply(
            worker=WorkerRecord(
                worker_id=worker_id,
                born_ms=1,
                service_name=service,
                host=f"10.{number >> 8}.{number % 256}.1",
                port=8080,
                data_centre="dc",
                cpu=16_000,
                mem_mb=32_000,
                gpu=0,
                labels=["a", f"r{number // 12}"],
                draining=False,
                sequence=1,
                machine="",
            )
        )
        job_id = self.submit(service, RUNS_PER_WORKER)
        runs = [
            RunRecord(job_id, 0, 0, index, 1, worker_id, 1)
            for index in range(RUNS_PER_WORKER)
        ]
        self._apply(starts=RunStarts(runs=runs))

    def submit(self, service: str, tasks: int) -> str:
        """Submit a job of one of the teams; return its id."""
        self._jobs += 1
        job_id = f"{self._jobs:016x}"
        step = StepRecord(
            count=tasks,
            cpu=4_000,
            mem_mb=100,
            gpu=0,
            estimated_ms=1_000,
            after=[],
            spread_limit=0,
            may_miss=0,
            required_label="",
            data_rack="",
        )
        record = JobRecord(
            job_id=job_id,
            queue=service,
            spec="work",
            steps=[step],
            repeat_count=0,
            start_at_ms=0,
            interval_ms=0,
            accepted_at_ms=NOW_MS - self._random.randrange(2_000),
            service_name=service,
            team=self._random.choice(self._names) if self._names else None,
        )
        self._apply(accept=record)
        return job_id

    def end_runs(self) -> None:
        """End a run on some workers."""
        incarnations = self._random.sample(list(self.table.runs), ENDS_PER_PLAN)
        ends = []
        for worker_id, born_ms in incarnations:
            key, task = next(iter(self.table.runs[worker_id, born_ms].items()))
            run = key.run_record(task.number, (worker_id, born_ms))
            ends.append(EndRecord(run, int(RunOutcome.DONE), ""))
        self._apply(ends=RunEnds(ends=ends, at_ms=NOW_MS))

    def views(self) -> dict[str, WorkerView]:
        """Return the views of all workers."""
        views = {}
        for worker_id, record in self.table.workers.items():
            views[worker_id] = view = WorkerView(record, True, 0)
            self._usage_cache.usage(self.table, view.incarnation).take_from(view)
        return views

    def start(self, runs: list[RunRecord]) -> None:
        """Apply the starts of a plan."""
        self._apply(starts=RunStarts(runs=runs))


def plan_seconds(teams: int, workers: int) -> tuple[float, float]:
    """Return the median and the maximum processor time of a plan, in seconds."""
    loaded = LoadedTable(teams, workers)
    for number in range(WAITING_JOBS):
        loaded.submit(f"service-{number % SERVICES}", 8)
    planner = Planner()
    planner.plan(loaded.table, loaded.views(), NOW_MS, 0.0)
    planner.team_caps.confirm_starts()
    durations = []
    for number in range(PLANS):
        loaded.end_runs()
        views = loaded.views()
        started = time.process_time()
        plan = planner.plan(loaded.table, views, NOW_MS, float(number))
        durations.append(time.process_time() - started)
        loaded.start(plan.runs)
        planner.team_caps.confirm_starts()
    return statistics.median(durations), max(durations)


def main() -> None:
    """Print one line for each fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, nargs="+", default=WORKERS)
    arguments = parser.parse_args()
    for workers in arguments.workers:
        for teams in TEAMS:
            median, longest = plan_seconds(teams, workers)
            print(
                f"{workers} workers, {teams} teams: plan {1000 * median:.1f} ms,"
                f" max {1000 * longest:.1f}"
            )


if __name__ == "__main__":
    main()
