"""The leading control process is killed as hundreds of tasks end; some run again."""

import re
import time
from pathlib import Path

from fleet import Fleet, Node, NotRunError, config, route, run_trial
from record import Record

SERVICE = "billing"
PREFIX = "/invoices/"
JOB = "5c0e7a21d94b36f8"
TASKS = 800
CPU = 20
"""In thousandths of a core: the tasks fit on one worker of 16 cores."""

WORK_MS = 6_000
WORKERS = 2
KILL_BEFORE_SECONDS = 0.2
DOWN_SECONDS = 1.0
WAIT_SECONDS = 60.0


def trial(record: Record, trouble: bool) -> str:
    """Run a job of many small tasks, and kill the leader shortly before they end."""
    fleet = Fleet(record, {SERVICE: WORKERS})
    try:
        fleet.start(config(1, [route("invoices", PREFIX, SERVICE)], [SERVICE]))
        step = {"count": TASKS, "cpu": CPU, "mem-mb": 16, "estimated-ms": WORK_MS}
        job = {"spec": f'{{"work-ms":{WORK_MS}}}', "steps": [step]}
        fleet.submit(PREFIX + JOB, job)
        if trouble:
            _kill_leader(fleet, record)
        deadline = time.monotonic() + WAIT_SECONDS
        while fleet.client("GET", PREFIX + JOB)[1].get("state") != "completed":
            if time.monotonic() > deadline:
                raise NotRunError("the job is not completed")
            time.sleep(0.5)
        time.sleep(2.0)
        return _find_repeated(record)
    finally:
        fleet.end()


def _kill_leader(fleet: Fleet, record: Record) -> None:
    """Kill the leader shortly before the first task ends, and start it again."""
    deadline = time.monotonic() + WAIT_SECONDS
    while not (runs := record.events("run")):
        if time.monotonic() > deadline:
            raise NotRunError("no task has started")
        time.sleep(0.05)
    leader = max(fleet.controls, key=_latest_term)
    at = (runs[0]["at"] + WORK_MS) / 1000 - KILL_BEFORE_SECONDS
    time.sleep(max(0.0, at - time.time()))
    leader.kill()
    record.note("kill", node=leader.name)
    time.sleep(DOWN_SECONDS)
    leader.start()


def _latest_term(node: Node) -> int:
    """Return the latest term that a control node has led, by its log; 0 if none."""
    terms = re.findall(rb"leads term ([0-9]+)", node.log.read_bytes())
    return max((int(term) for term in terms), default=0)


def _find_repeated(record: Record) -> str:
    """Return how many tasks were started after an end `done` that was taken note of."""
    noted = {
        (e["task"], e["run"])
        for e in record.events("end taken note of")
        if e["how"] == "done"
    }
    done: dict[str, int] = {}
    for event in record.events("end"):
        if event["how"] == "done" and (event["task"], event["run"]) in noted:
            done[event["task"]] = min(event["at"], done.get(event["task"], 1 << 62))
    repeated = {
        event["task"]
        for event in record.events("run")
        if event["at"] > done.get(event["task"], 1 << 62)
    }
    lapsed = [e for e in record.events("end") if e["how"] == "lapsed"]
    record.note("counts", done=len(done), repeated=len(repeated), lapsed=len(lapsed))
    if not repeated:
        return ""
    return (
        f"{len(repeated)} of {TASKS} tasks were started again after a run had ended "
        f"done and was taken note of; {len(lapsed)} runs have lapsed"
    )


if __name__ == "__main__":
    run_trial(Path(__file__).resolve().parent, trial)
