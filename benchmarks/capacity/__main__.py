"""Runs all capacity measurements: `python -m benchmarks.capacity`."""

import sys

from .state import report_claims, report_configuration, report_planner
from .traffic import (
    report_claim_requests,
    report_group,
    report_requests,
    report_subscriptions,
)


def main() -> int:
    """Run every measurement and print its results."""
    report_configuration()
    report_claims()
    report_planner()
    report_requests()
    report_claim_requests()
    report_group()
    report_subscriptions()
    return 0


if __name__ == "__main__":
    sys.exit(main())
