"""Records of jobs, runs and workers, and a job table without consensus."""

from arbutuscleat.jobs import JobTable, Queue, QueueConfig, Service
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen_jobs.ttypes import (
    CancelJob,
    EndRecord,
    JobCommand,
    JobRecord,
    RunEnds,
    RunRecord,
    RunStarts,
    SetConfig,
    StepRecord,
    WorkerRecord,
)

JOB = "00000000000000a1"
OTHER_JOB = "00000000000000b2"
QUEUE = Queue("approvals", "berth.example", "/approvals/", "karachi", 0, 3, 1.6, 600)


def decode_config(content):
    """Return a queue configuration; `content` is its version in decimal digits."""
    services = [Service("karachi", True, False), Service("portal", True, True)]
    return QueueConfig(int(content), [QUEUE], services)


def step(count=1, **fields):
    """Return a step of `count` tasks."""
    values = {
        "cpu": 1000,
        "mem_mb": 100,
        "gpu": 0,
        "estimated_ms": 1000,
        "after": [],
        "spread_limit": 0,
        "may_miss": 0,
        "required_label": "",
        "data_rack": "",
    }
    return StepRecord(count=count, **{**values, **fields})


def job(job_id=JOB, steps=None, queue="approvals", **fields):
    """Return a job that runs once; it has one step of one task by default."""
    values = {"repeat_count": 0, "start_at_ms": 0, "interval_ms": 0}
    return JobRecord(
        job_id=job_id,
        queue=queue,
        spec="work",
        steps=steps or [step()],
        accepted_at_ms=1000,
        service_name="karachi",
        **{**values, **fields},
    )


def worker(worker_id="w1", born_ms=5, **fields):
    """Return a worker; `born_ms` identifies its incarnation."""
    values = {
        "service_name": "karachi",
        "host": "10.0.0.1",
        "port": 8000 + sum(worker_id.encode()),
        "data_centre": "keamari",
        "cpu": 64_000,
        "mem_mb": 131_072,
        "gpu": 0,
        "labels": ["a", "r1"],
        "draining": False,
        "sequence": 1,
        "machine": "",
    }
    return WorkerRecord(worker_id=worker_id, born_ms=born_ms, **{**values, **fields})


def run(job_id=JOB, step=0, index=0, number=1, worker_id="w1", born_ms=5):
    """Return run `number` of a task."""
    return RunRecord(
        job_id=job_id,
        occurrence=0,
        step=step,
        index=index,
        number=number,
        worker_id=worker_id,
        born_ms=born_ms,
    )


class JobTableHarness:
    """A job table to which commands are applied directly.

    Parameters
    ----------
    config : bool
        Whether a queue configuration is applied first.
    """

    def __init__(self, config=True):
        self.table = JobTable(decode_config)
        self.index = 0
        if config:
            self.apply(config=SetConfig(version=1, content=b"1"))

    def apply(self, **command):
        self.index += 1
        return self.table.apply(self.index, encode(JobCommand(**command)))

    def propose(self, command):
        self.index += 1
        self.table.apply(self.index, encode(command))
        return True

    def accept(self, record):
        return self.apply(accept=record)

    def start(self, *runs):
        return self.apply(starts=RunStarts(runs=list(runs)))

    def end(self, record, outcome, checkpoint=""):
        ends = [EndRecord(run=record, outcome=int(outcome), checkpoint=checkpoint)]
        return self.apply(ends=RunEnds(ends=ends, at_ms=2000))

    def cancel(self, job_id=JOB):
        return self.apply(cancel=CancelJob(job_id=job_id, at_ms=2000))

    def phase(self, job_id=JOB):
        return self.table.jobs[job_id].phase()
