"""The spare pool under both users' demand: spilling, moves, static sizing.

A model in steps of a tenth of a second, not a run of the daemons: five pools of 8
workers with 8 slots, run times of 50 ms, each queue in turn at five times its mean
and a twentieth of it between.  One pool is the spare pool.  A move takes the time of
a drain, the acknowledgements and an assignment.
"""

import argparse
import random
import statistics
import sys
from dataclasses import dataclass

POOLS = 5
SLOTS = 8
RUN_SECONDS = 0.05
STEP_SECONDS = 0.1
BURST_SECONDS = 10.0
MEAN_LOAD = 0.3
QUEUE_SECONDS = 0.5
MOVE_SECONDS = 2.0
SPARE = POOLS - 1


@dataclass
class Tally:
    """What one policy did."""

    asked: float = 0.0
    refused: float = 0.0
    moves: int = 0
    worker_seconds: float = 0.0
    busy_seconds: float = 0.0


def demand(step: int, rng: random.Random, workers: int) -> list[float]:
    """Return the requests of each queue in one step."""
    capacity = workers * SLOTS / RUN_SECONDS
    bursting = int(step * STEP_SECONDS / BURST_SECONDS) % POOLS
    found = []
    for pool in range(POOLS):
        share = 5.0 if pool == bursting else 0.05
        mean = MEAN_LOAD * capacity * share * STEP_SECONDS
        found.append(max(0.0, rng.gauss(mean, mean**0.5)))
    return found


class Policy:
    """Static sizing: every queue has its own pool only."""

    def __init__(self, workers: int):
        self.workers = [float(workers)] * POOLS
        self.base = workers
        self.moving: list[tuple[float, int, int]] = []

    def capacity(self, pool: int) -> float:
        """Return the requests that a pool can run in one step."""
        return self.workers[pool] * SLOTS / RUN_SECONDS * STEP_SECONDS

    def share_out(self, wanted: list[float]) -> list[float]:
        """Return what each queue gets served in one step."""
        return [min(want, self.capacity(pool)) for pool, want in enumerate(wanted)]

    def decide(self, wanted: list[float], now: float, tally: Tally) -> None:
        """Move instances; static sizing never does."""


class Spill(Policy):
    """Placement selectors open the spare pool to every queue."""

    def share_out(self, wanted: list[float]) -> list[float]:
        """Return what each queue gets served in one step."""
        served = super().share_out(wanted)
        left = self.capacity(SPARE) - served[SPARE]
        for pool in range(SPARE):
            extra = min(left, wanted[pool] - served[pool])
            served[pool] += extra
            left -= extra
        return served


class Move(Policy):
    """Instances move out of the spare pool and back, with hysteresis."""

    def __init__(self, workers: int, high: float, low: float, keep: int):
        super().__init__(workers)
        self.high, self.low, self.keep = high, low, keep

    def decide(self, wanted: list[float], now: float, tally: Tally) -> None:
        """Move one instance at a time where a pool is short."""
        for due, _, target in [m for m in self.moving if m[0] <= now]:
            self.workers[target] += 1
        self.moving = [m for m in self.moving if m[0] > now]
        for pool in range(SPARE):
            load = wanted[pool] / max(1e-9, self.capacity(pool))
            if load > self.high and self.workers[SPARE] > self.keep:
                self._move(SPARE, pool, now, tally)
            elif load < self.low and self.workers[pool] > self.base:
                self._move(pool, SPARE, now, tally)

    def _move(self, source: int, target: int, now: float, tally: Tally) -> None:
        self.workers[source] -= 1
        self.moving.append((now + MOVE_SECONDS, source, target))
        tally.moves += 1


def run(policy: Policy, seconds: float, seed: int, workers: int) -> Tally:
    """Run one policy on one seed."""
    rng = random.Random(seed)
    tally = Tally()
    queues = [0.0] * POOLS
    for step in range(int(seconds / STEP_SECONDS)):
        asked = demand(step, rng, 8)
        tally.asked += sum(asked)
        wanted = [queued + new for queued, new in zip(queues, asked)]
        policy.decide(wanted, step * STEP_SECONDS, tally)
        served = policy.share_out(wanted)
        for pool in range(POOLS):
            bound = policy.capacity(pool) * QUEUE_SECONDS / STEP_SECONDS
            left = wanted[pool] - served[pool]
            queues[pool] = min(left, bound)
            tally.refused += left - queues[pool]
        tally.worker_seconds += (
            sum(policy.workers) + len(policy.moving)
        ) * STEP_SECONDS
        tally.busy_seconds += sum(served) * RUN_SECONDS / SLOTS
    return tally


def main() -> int:
    """Run every policy and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    policies = {
        "static, 8 workers a pool": lambda: Policy(8),
        "static, 12 workers a pool": lambda: Policy(12),
        "spill into the spare pool": lambda: Spill(8),
        "moves, hysteresis 1.0/0.5": lambda: Move(8, 1.0, 0.5, 4),
        "moves, hysteresis 1.2/0.2": lambda: Move(8, 1.2, 0.2, 4),
    }
    for name, make in policies.items():
        runs = [run(make(), options.seconds, seed, 8) for seed in range(options.seeds)]
        refused = statistics.median(t.refused / t.asked for t in runs)
        idle = statistics.median(
            (t.worker_seconds - t.busy_seconds) / options.seconds for t in runs
        )
        moves = statistics.median(t.moves for t in runs)
        print(
            f"{name}: refused {refused:.3f}, idle workers {idle:.1f}, "
            f"moves {moves / options.seconds * 60:.1f} a minute"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
