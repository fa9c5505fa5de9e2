"""A control node is frozen while a worker leaves; the worker has come back by then."""

import signal
import time
from pathlib import Path

import trial

FREEZE_SECONDS = 6.5
RESTART_SECONDS = 2.1
"""Time from the end of a life to the next one; `reuse-after-s` is 2."""

CORES = 1000


def _step(count, seconds):
    return {
        "count": count,
        "cpu": 30 * CORES,
        "mem-mb": 100,
        "estimated-ms": int(1000 * seconds),
    }


def play(t):
    """Let a worker restart in a planned way, and freeze a control node meanwhile."""
    leaver = t.add_worker("w-1")
    others = [t.add_worker("w-2"), t.add_worker("w-3")]
    t.start()
    leader = t.deployment.leader()
    frozen = next(host for host in t.deployment.controls if host != leader)
    address = f"{frozen}:{t.deployment.control_port}"
    t.record.note(f"the leader is {leader}; the worker will call {address} first")

    # The planned end of w-1: it drains, and has nothing to run.
    leaver.state = "draining"
    t.wait(leaver.ping, 5.0, "the drain is not acknowledged")
    time.sleep(2.2)
    # Short tasks take up the other workers.
    short = t.submit([_step(4, 6.0)], 6.0)
    t.wait(lambda: sum(len(w.running()) for w in others) == 4, 5.0, "no short tasks")
    if t.trouble:
        t.deployment.send(frozen, signal.SIGSTOP)
    froze_at = time.monotonic()
    leaver.leave(t.record, address)
    time.sleep(RESTART_SECONDS)
    leaver.begin_life()
    time.sleep(0.3)
    # Long tasks find room on w-1 only.
    path = t.submit([_step(2, 10.0)], 10.0)
    t.wait(lambda: len(leaver.running()) == 2, 4.0, "no long tasks on w-1")
    t.wait(lambda: t.state(short) == "completed", 12.0, "the short job goes on")
    time.sleep(max(0.0, froze_at + FREEZE_SECONDS - time.monotonic()))
    if t.trouble:
        t.deployment.send(frozen, signal.SIGCONT)
    t.wait(lambda: t.state(path) == "completed", 40.0, "the long job goes on")
    return t.runs.breaks()


if __name__ == "__main__":
    trial.run(Path(__file__).resolve().parent, ["ops"], play)
