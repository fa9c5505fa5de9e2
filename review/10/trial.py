"""A route gets another name while jobs of its queue run; they are answered with 410."""

import time
from pathlib import Path

from fleet import Fleet, NotRunError, config, route, run_trial
from record import Record

SERVICE = "billing"
PREFIX = "/invoices/"
JOB = "5c0e7a21d94b36f8"
WORK_MS = 15_000
WORKERS = 3
APPLY_SECONDS = 2.0
"""`config-apply-ms`."""

VISIBLE_SECONDS = 3.0
"""`visible_ms`."""


def trial(record: Record, trouble: bool) -> str:
    """Hand a job in, replace its route by one at the same place, and look it up."""
    fleet = Fleet(record, {SERVICE: WORKERS})
    try:
        fleet.start(config(1, [route("r-8pjbvk9", PREFIX, SERVICE)], [SERVICE]))
        spec = f'{{"work-ms":{WORK_MS}}}'
        step = {"count": 1, "cpu": 2000, "mem-mb": 256, "estimated-ms": WORK_MS}
        job = {"spec": spec, "steps": [step]}
        fleet.submit(PREFIX + JOB, job)
        time.sleep(VISIBLE_SECONDS + 0.5)
        if fleet.client("GET", PREFIX + JOB)[0] != 200:
            raise NotRunError("the job is not shown before the change")
        if trouble:
            renamed = route("r-anfqasn", PREFIX, SERVICE)
            if fleet.put_config(config(2, [renamed], [SERVICE])) != 200:
                raise NotRunError("the second configuration was not accepted")
        time.sleep(APPLY_SECONDS + 1.0)
        gone = 0
        for entry in range(6):
            gone += fleet.client("GET", PREFIX + JOB, None, entry)[0] == 410
            time.sleep(0.5)
        # For the record only: the same request again, and whether the job can be
        # cancelled.
        fleet.client("POST", PREFIX + JOB, job)
        fleet.client("DELETE", PREFIX + JOB)
        time.sleep(1.0)
        stopped = [e for e in record.events("end") if e["how"] == "stopped"]
        record.note("after the cancel", stopped=len(stopped))
    finally:
        fleet.end()
    return f"{gone} of 6 GETs for the accepted job are answered 410" if gone else ""


if __name__ == "__main__":
    run_trial(Path(__file__).resolve().parent, trial)
