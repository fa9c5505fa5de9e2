"""An idle worker is cut off for some seconds, and starts again behind the cut."""

import time
from pathlib import Path

import trial

CUT_SECONDS = 2.5
CRASH_SECONDS = 1.0
"""From the beginning of the cut to the crash behind it."""

WORKERS = 6
CORES = 1000


def play(t):
    """Cut an idle worker off, let it start again, and submit a job after the cut."""
    reborn = t.add_worker("w-1")
    for number in range(2, WORKERS + 1):
        t.add_worker(f"w-{number}")
    t.start()
    # A first job on all workers; after it they are idle.
    step = {"count": 2 * WORKERS, "cpu": 30 * CORES, "mem-mb": 100, "estimated-ms": 500}
    path = t.submit([step], 0.5)
    t.wait(lambda: t.state(path) == "completed", 5.0, "the first job goes on")
    time.sleep(0.5)

    cut_at = time.monotonic()
    if t.trouble:
        reborn.cut()
    time.sleep(CRASH_SECONDS)
    if t.trouble:
        reborn.end_life()
        reborn.begin_life()
    time.sleep(max(0.0, cut_at + CUT_SECONDS - time.monotonic()))
    if t.trouble:
        reborn.heal()
    time.sleep(0.1)
    step = {
        "count": 2 * WORKERS - 2,
        "cpu": 30 * CORES,
        "mem-mb": 100,
        "estimated-ms": 8000,
    }
    path = t.submit([step], 8.0)
    t.wait(lambda: t.state(path) == "completed", 40.0, "the job goes on")
    return t.runs.breaks()


if __name__ == "__main__":
    trial.run(Path(__file__).resolve().parent, ["ops"], play)
