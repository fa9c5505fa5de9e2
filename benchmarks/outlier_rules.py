"""The circuit breaker of the paper, compared with a success-rate rule.

Of eight workers, one fails all requests, one fails 60% at random, and the others fail
2%.  Each request is sent to a random worker that is not ejected.  The results are the
share of failed requests and how often a healthy worker is ejected.
"""

import argparse
import random
import statistics
import sys
from collections.abc import Callable

from arbutuscleat.emulator.wave_fleet import SteppedClock
from arbutuscleat.routing import (
    ConsecutiveFailuresRule,
    FailureRule,
    OutlierDetector,
    SuccessRateRule,
)

FAILURE_SHARES = {"w0": 1.0, "w1": 0.6, **{f"w{n}": 0.02 for n in range(2, 8)}}
STEP_SECONDS = 0.01
SPARE = 2


def run(make_rule: Callable[[], FailureRule], requests: int, seed: int):
    """Simulate one rule.

    Parameters
    ----------
    make_rule : callable
        Returns the rule for one worker.
    requests : int
        Number of requests.
    seed : int
        Seed of the random choices.

    Returns
    -------
    tuple of float and int
        Share of failed requests, and number of ejections of healthy workers.
    """
    clock = SteppedClock()
    rng = random.Random(seed)
    outliers = OutlierDetector(clock, make_rule)
    failures = 0
    false_ejections = 0
    for _ in range(requests):
        clock.elapsed += STEP_SECONDS
        usable = [name for name in FAILURE_SHARES if outliers.may_use(name)]
        name = rng.choice(usable)
        failed = rng.random() < FAILURE_SHARES[name]
        before = set(outliers.ejected())
        outliers.record_dispatch(name)
        outliers.observe(name, failed, lambda: SPARE)
        ejected = set(outliers.ejected()) - before
        false_ejections += bool(ejected - {"w0", "w1"})
        failures += failed
    return failures / requests, false_ejections


def main() -> int:
    """Run each rule and print its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    rules: dict[str, Callable[[], FailureRule]] = {
        "no rule": lambda: ConsecutiveFailuresRule(1_000_000_000),
        "circuit breaker, 5 in a row": ConsecutiveFailuresRule,
        "circuit breaker, 3 in a row": lambda: ConsecutiveFailuresRule(3),
        "success rate below 0.5": SuccessRateRule,
        "success rate below 0.7": lambda: SuccessRateRule(min_success_rate=0.7),
    }
    for name, make_rule in rules.items():
        runs = [run(make_rule, options.requests, s) for s in range(options.seeds)]
        print(
            f"{name}: failed {statistics.median(share for share, _ in runs):.4f}, "
            f"healthy workers ejected {statistics.median(n for _, n in runs):g} times"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
