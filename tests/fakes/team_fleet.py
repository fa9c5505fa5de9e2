"""A fleet shared by teams, whose plans are applied without a network."""

from arbutuscleat.jobs import QueueConfig, RunOutcome, Service
from arbutuscleat.scheduling import Planner, TeamUsage, UsageCache, WorkerView
from tests.fakes.jobs import QUEUE, JobTableHarness, job, worker

START_MS = 1_000


def views_of(table):
    """Return a healthy view of each worker, with the capacity left by the runs."""
    views = {}
    for worker_id, record in table.workers.items():
        views[worker_id] = view = WorkerView(record, True, 0)
        UsageCache().usage(table, view.incarnation).take_from(view)
    return views


class Fleet:
    """A job table with teams, whose plans are applied at once."""

    def __init__(self, *teams, workers=2, **fields):
        self.harness = JobTableHarness()
        self.table = self.harness.table
        self.configure(*teams)
        for number in range(workers):
            self.harness.apply(worker=worker(f"w{number}", **fields))
        self.planner = Planner()
        self.now = 0.0
        self.job_count = 0

    def configure(self, *teams):
        services = [Service("karachi", True, False)]
        self.table.config = QueueConfig(2, [QUEUE], services, teams)

    def submit(self, team, *steps, **fields):
        self.job_count += 1
        job_id = f"{self.job_count:016x}"
        record = job(job_id, steps=list(steps), team=team, **fields)
        record.accepted_at_ms = START_MS + round(1000 * self.now)
        self.harness.accept(record)
        return job_id

    def plan(self, seconds=0.0):
        self.now += seconds
        now_ms = START_MS + round(1000 * self.now)
        views = views_of(self.table)
        return self.planner.plan(self.table, views, now_ms, self.now).runs

    def start(self, seconds=0.0):
        runs = self.plan(seconds)
        self.harness.start(*runs)
        self.planner.team_caps.confirm_starts()
        return runs

    def end(self, *runs):
        for run in runs:
            self.harness.end(run, RunOutcome.DONE)

    def used(self, team, position=0):
        usage = TeamUsage()
        usage.observe(self.table)
        return usage.of_team(team).used[position]
