"""Simulation of the spare pool under the demand of both users.

It compares spillover, moves of instances and static sizing.  This is a model in steps
of a tenth of a second, not a run of the daemons: five pools, one of them the spare
pool, of 8 workers with 8 slots each, and a run time of 50 ms.  The queues take turns:
one has a burst of five times its mean load while the others are at a twentieth of
theirs.  A move takes as long as a drain, the acknowledgements and an assignment.
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
MEAN_LOAD = 0.3  # share of the capacity
QUEUE_SECONDS = 0.5  # queue bound, as time to serve a full queue
MOVE_SECONDS = 2.0
SPARE_POOL = POOLS - 1


@dataclass
class Tally:
    """Results of one run of a policy.

    Parameters
    ----------
    demanded, refused : float
        Number of requests that arrived, and of those refused because of full queues.
    moves : int
        Number of instances moved.
    worker_seconds, busy_seconds : float
        Total time of the workers, and the part of it in which they ran requests.
    """

    demanded: float = 0.0
    refused: float = 0.0
    moves: int = 0
    worker_seconds: float = 0.0
    busy_seconds: float = 0.0


def demand(step: int, rng: random.Random, workers: int) -> list[float]:
    """Return how many requests arrive at each queue in one step."""
    capacity = workers * SLOTS / RUN_SECONDS
    bursting = int(step * STEP_SECONDS / BURST_SECONDS) % POOLS
    arrivals = []
    for pool in range(POOLS):
        factor = 5.0 if pool == bursting else 0.05
        mean = MEAN_LOAD * capacity * factor * STEP_SECONDS
        arrivals.append(max(0.0, rng.gauss(mean, mean**0.5)))
    return arrivals


class StaticPolicy:
    """Static sizing: each queue uses only its own pool.

    Parameters
    ----------
    workers : int
        Initial number of workers in each pool.
    """

    def __init__(self, workers: int):
        self.workers = [float(workers)] * POOLS
        self.initial_workers = workers
        # Time of arrival, source pool and target pool of each moving worker.
        self.moving: list[tuple[float, int, int]] = []

    def capacity(self, pool: int) -> float:
        """Return how many requests a pool can run in one step."""
        return self.workers[pool] * SLOTS / RUN_SECONDS * STEP_SECONDS

    def serve(self, wanted: list[float]) -> list[float]:
        """Return how many requests of each queue are served in one step."""
        return [min(want, self.capacity(pool)) for pool, want in enumerate(wanted)]

    def decide(self, wanted: list[float], now: float, tally: Tally) -> None:
        """Move instances between pools; static sizing never does."""


class SpilloverPolicy(StaticPolicy):
    """Placement selectors let every queue use free slots of the spare pool."""

    def serve(self, wanted: list[float]) -> list[float]:
        """Return how many requests of each queue are served in one step."""
        served = super().serve(wanted)
        free = self.capacity(SPARE_POOL) - served[SPARE_POOL]
        for pool in range(SPARE_POOL):
            extra = min(free, wanted[pool] - served[pool])
            served[pool] += extra
            free -= extra
        return served


class MovePolicy(StaticPolicy):
    """Instances move out of the spare pool and back, with hysteresis.

    Parameters
    ----------
    workers : int
        Initial number of workers in each pool.
    high, low : float
        Load, relative to the capacity, above which a pool gains a worker and below
        which it returns one.
    min_spare : int
        Number of workers that always stay in the spare pool.
    """

    def __init__(self, workers: int, high: float, low: float, min_spare: int):
        super().__init__(workers)
        self.high, self.low, self.min_spare = high, low, min_spare

    def decide(self, wanted: list[float], now: float, tally: Tally) -> None:
        """Move at most one instance to or from each pool."""
        for _, _, target in [m for m in self.moving if m[0] <= now]:
            self.workers[target] += 1
        self.moving = [m for m in self.moving if m[0] > now]
        for pool in range(SPARE_POOL):
            load = wanted[pool] / max(1e-9, self.capacity(pool))
            if load > self.high and self.workers[SPARE_POOL] > self.min_spare:
                self._move(SPARE_POOL, pool, now, tally)
            elif load < self.low and self.workers[pool] > self.initial_workers:
                self._move(pool, SPARE_POOL, now, tally)

    def _move(self, source: int, target: int, now: float, tally: Tally) -> None:
        self.workers[source] -= 1
        self.moving.append((now + MOVE_SECONDS, source, target))
        tally.moves += 1


def run(policy: StaticPolicy, seconds: float, seed: int, workers: int) -> Tally:
    """Simulate one policy for `seconds` of model time."""
    rng = random.Random(seed)
    tally = Tally()
    queues = [0.0] * POOLS
    for step in range(int(seconds / STEP_SECONDS)):
        arrivals = demand(step, rng, 8)
        tally.demanded += sum(arrivals)
        wanted = [queued + new for queued, new in zip(queues, arrivals)]
        policy.decide(wanted, step * STEP_SECONDS, tally)
        served = policy.serve(wanted)
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
    """Run every policy and print its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    policies = {
        "static, 8 workers a pool": lambda: StaticPolicy(8),
        "static, 12 workers a pool": lambda: StaticPolicy(12),
        "spill into the spare pool": lambda: SpilloverPolicy(8),
        "moves, hysteresis 1.0/0.5": lambda: MovePolicy(8, 1.0, 0.5, 4),
        "moves, hysteresis 1.2/0.2": lambda: MovePolicy(8, 1.2, 0.2, 4),
    }
    for name, make_policy in policies.items():
        runs = [
            run(make_policy(), options.seconds, seed, 8)
            for seed in range(options.seeds)
        ]
        refused = statistics.median(t.refused / t.demanded for t in runs)
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
