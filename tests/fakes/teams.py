"""Configurations with teams, and a job service that a quorum confirms."""

import json
import random

from returns.result import Success

from arbutuscleat.access import AdmissionController, JobService
from arbutuscleat.jobs import JobTable, Queue, QueueConfig, Service, Team, key_digest
from arbutuscleat.scheduling import FleetCapacity
from arbutuscleat.wire.gen_jobs.ttypes import JobRequest, SetConfig, SubmitRequest
from tests.fakes.clock import ManualClock
from tests.fakes.jobs import JOB, JobTableHarness, job, worker
from tests.fakes.replica import HarnessReplica

HOST = "berth.example"
PATH = "/approvals/"
FLEET = FleetCapacity(64_000, 64_000, 131_072, 0)


def encode_teams(version, teams, public=False):
    """Return the content of a configuration; `teams` has the keys by team name."""
    tree = {"version": version, "teams": teams, "public": public}
    return json.dumps(tree).encode()


def decode_teams(content):
    """Return the configuration of a content."""
    tree = json.loads(content)
    queue = Queue(
        "approvals", HOST, PATH, "karachi", 0, 3, 1.6, 600, public=tree["public"]
    )
    teams = [
        Team(name, frozenset(key_digest(key) for key in keys))
        for name, keys in tree["teams"].items()
    ]
    services = [Service("karachi", True, False)]
    return QueueConfig(tree["version"], [queue], services, teams)


class LeaderStatus:
    """What is read of the status of a leader."""

    leader = "a"
    role = None


class ConfirmedReplica(HarnessReplica):
    """A leader that a quorum confirms; `barrier` is its answer."""

    barrier = Success(None)

    def read_barrier(self, timeout):
        return self.barrier

    def status(self):
        return LeaderStatus


class TeamService:
    """A job service with teams, and the calls of their callers."""

    def __init__(self):
        self.harness = JobTableHarness(config=False)
        self.table = self.harness.table = JobTable(decode_teams)
        self.replica = ConfirmedReplica(self.harness)
        self.clock = ManualClock()
        self.service = service_of(self.replica, self.table, self.clock)
        self.version = 0
        self.harness.apply(worker=worker())

    def configure(self, teams, public=False):
        """Apply the next version."""
        self.version += 1
        content = encode_teams(self.version, teams, public)
        command = SetConfig(version=self.version, content=content)
        assert self.harness.apply(config=command)

    def submit(self, key=None, job_id=JOB, **fields):
        request = SubmitRequest(
            host=HOST,
            path=PATH + job_id,
            job=job(job_id, **fields),
            key_digest=digest_of(key),
        )
        return self.service.submit(request).verdict

    def look_up(self, key=None, job_id=JOB):
        return self.service.look_up(job_request(key, job_id)).verdict

    def cancel(self, key=None, job_id=JOB):
        return self.service.cancel(job_request(key, job_id)).verdict


def service_of(replica, table, clock):
    """Return a job service that refuses no job for its size or wait."""
    admission = AdmissionController(table, clock, random.Random(1), lambda: FLEET)
    return JobService(replica, table, clock, admission)


def job_request(key, job_id=JOB):
    """Return a look-up or cancel; without an id, one about the queue."""
    return JobRequest(host=HOST, path=PATH + job_id, key_digest=digest_of(key))


def digest_of(key):
    """Return the digest of a key, or None without one."""
    return None if key is None else key_digest(key)
