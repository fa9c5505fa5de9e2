"""The only worker that a queue's jobs may use rejects all starts for some seconds."""

import time
from pathlib import Path

import trial

WORKERS = 12
SICK_SECONDS = 6.5
JOBS = 8
OLD_SECONDS = 5.0
"""`visible_ms` and 2 s."""


def _step(cpu, seconds):
    return {
        "count": 1,
        "cpu": cpu,
        "mem-mb": 100,
        "estimated-ms": int(1000 * seconds),
        "requirements": "b",
    }


def _not_begun(t, paths):
    begun = {task.partition(".")[0] for _, _, task, _ in t.runs.starts}
    return [path for path in paths if path.rpartition("/")[2] not in begun]


def _check(t, paths):
    """Ask each entry once; return what breaks the rule."""
    breaks = []
    for _ in t.deployment.entries:
        status, tree = t.client("GET", "/ops/")
        # Those that have still not begun after the answer had not begun before.
        count = len(_not_begun(t, paths))
        t.record.note(f"{count} jobs accepted over 5 s before have not begun")
        if status == 200 and 2 * tree["pending"] < count:
            breaks.append(f"pending is {tree['pending']}, {count} jobs have not begun")
    return breaks


def play(t):
    """Submit jobs while their worker is sick, and ask how many are pending."""
    sick = t.add_worker("w-1", labels=["b", "r1"])
    for number in range(1, WORKERS):
        t.add_worker(f"w-{number + 1}")
    t.start()
    # Jobs that wait for room, to show that the check counts: one fits at a time.
    waiting = [t.submit([_step(60_000, 30.0)], 30.0) for _ in range(4)]
    time.sleep(OLD_SECONDS + 0.2)
    breaks = _check(t, waiting)
    for path in waiting:
        t.client("DELETE", path)
    t.wait(lambda: not sick.running(), 5.0, "a cancelled job goes on")
    time.sleep(0.5)

    sick.refuse_starts = t.trouble
    sick_until = time.monotonic() + SICK_SECONDS
    t.record.note(f"w-1 rejects all starts: {t.trouble}")
    paths = [t.submit([_step(2_000, 1.0)], 1.0) for _ in range(JOBS)]
    time.sleep(OLD_SECONDS + 0.1)
    while time.monotonic() < sick_until - 0.3:
        breaks += _check(t, paths)
        time.sleep(0.2)
    time.sleep(max(0.0, sick_until - time.monotonic()))
    sick.refuse_starts = False
    t.record.note("w-1 is sound again")
    t.wait(
        lambda: all(t.state(path) == "completed" for path in paths),
        30.0,
        "jobs are not completed",
    )
    return breaks


if __name__ == "__main__":
    trial.run(Path(__file__).resolve().parent, ["ops"], play)
