"""Checks pool budgets in thousands of random histories of waves, failures and races."""

import argparse
import logging
import sys

from tests.maintenance.test_waves import run_history


def main() -> int:
    """Run the histories and print those in which a pool was below its budget."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--histories", type=int, default=2_000)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    missed = 0
    seeds = range(options.first_seed, options.first_seed + options.histories)
    for seed in seeds:
        violations = run_history(seed)
        if violations:
            missed += 1
            print(f"seed {seed}: {violations[0]} and {len(violations) - 1} more")
    print(f"{options.histories} histories, {missed} with a budget missed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
