"""Duration of a maintenance wave and its cost in capacity, against two baselines.

The fleet has five pools of 8 workers, four to a rack, in four data centres, as both
users have.  The bound is the shortest possible duration: the minimum number of rounds
that the budgets allow, each as long as a reboot and a soak.  Targets: at most 1.25
times the bound without failures, at most 1.6 times the bound if a twentieth of the
instances do not return from their reboot, and no pool ever below its budget.
"""

import argparse
import logging
import math
import random
import statistics
import sys
from dataclasses import replace

from arbutuscleat.core import SelectorRule
from arbutuscleat.emulator.wave_fleet import FleetShape, WaveFleet
from arbutuscleat.maintenance import WavePlanner, view_wave
from arbutuscleat.maintenance.wave_view import WaveView

SHAPE = FleetShape(min_available=6, reserve=0)
STEP_SECONDS = 0.5
MAX_WAVE_SECONDS = 10_000.0
REPAIR_SECONDS = 300.0


class OneAtATime(WavePlanner):
    """The first baseline: one instance of the fleet at a time."""

    def decide(self, configuration):
        """Return at most one grant, and none while an instance is under maintenance."""
        rules = [r for r in configuration.selectors.values()]
        if any(view_wave(rule, configuration).under_way for rule in rules):
            return []
        return list(super().decide(configuration))[:1]


class FixedBatches(WavePlanner):
    """The second baseline: consecutive batches of one instance per pool."""

    def decide(self, configuration):
        """Return a batch once all instances of the previous one have returned."""
        rules = [r for r in configuration.selectors.values()]
        if any(view_wave(rule, configuration).under_way for rule in rules):
            return []
        pools = set()
        batch = []
        for command in super().decide(configuration):
            name = command.grant_maintenance.instance_id
            pool = configuration.instances[name].assignment.pool
            if pool not in pools:
                pools.add(pool)
                batch.append(command)
        return batch


def bound_seconds(shape: FleetShape) -> float:
    """Return the shortest duration of a wave that the budgets allow."""
    concurrent = shape.workers - shape.min_available - shape.reserve
    rounds = math.ceil(shape.workers / max(1, concurrent))
    return rounds * (shape.reboot + shape.soak)


def run(shape: FleetShape, planner, seed: int, failing: float):
    """Simulate one wave.

    Parameters
    ----------
    shape : FleetShape
        Sizes and times of the fleet.
    planner : callable
        Returns the planner of grants.
    seed : int
        Seed of the random failures.
    failing : float
        Share of the reboots from which an instance does not return.

    Returns
    -------
    tuple of float, float and int
        Duration of the wave in seconds, instance seconds out of service, and the
        number of budget violations, counted for each pool and step.
    """
    fleet = WaveFleet(
        shape, random.Random(seed), failed_reboot_share=failing, make_planner=planner
    )
    fleet.set_wave("update", "tier")
    out_of_service = 0.0
    while fleet.clock.elapsed < MAX_WAVE_SECONDS:
        fleet.step(STEP_SECONDS)
        view = _view(fleet)
        out_of_service += STEP_SECONDS * len(view.under_way)
        if view.is_over():
            break
        _repair(fleet, view)
    return fleet.clock.elapsed, out_of_service, len(fleet.budget_violations)


def _view(fleet: WaveFleet) -> WaveView:
    configuration = fleet.machine.configuration
    rule: SelectorRule = configuration.selectors["update"]
    return view_wave(rule, configuration)


def _repair(fleet: WaveFleet, view: WaveView) -> None:
    """Schedule the return of each failed instance that is not yet being repaired."""
    for instance in view.failed:
        endpoint = fleet.endpoints[instance.instance_id]
        if endpoint.up_at == float("inf"):
            endpoint.up_at = fleet.clock.elapsed + REPAIR_SECONDS


def _report(what: str, runs, bound: float) -> None:
    times = [seconds for seconds, _, _ in runs]
    hours = statistics.median(out for _, out, _ in runs) / 3600
    median = statistics.median(times)
    print(
        f"  {what}: {median:.0f} s, {median / bound:.2f} bounds "
        f"(max {max(times) / bound:.2f}); "
        f"out of service {hours:.2f} instance hours; budget violations "
        f"{sum(violations for _, _, violations in runs)}"
    )


def main() -> int:
    """Run every planner and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    for reserve in (0, 1):
        shape = replace(SHAPE, reserve=reserve)
        bound = bound_seconds(shape)
        print(f"budget 6 of 8, reserve {reserve}: bound {bound:.0f} s")
        for name, planner in [
            ("waves", WavePlanner),
            ("fixed batches", FixedBatches),
            ("one at a time", OneAtATime),
        ]:
            for failing in (0.0, 0.05):
                runs = [run(shape, planner, n, failing) for n in range(options.seeds)]
                _report(f"{name}, {failing:.0%} failing", runs, bound)
    return 0


if __name__ == "__main__":
    sys.exit(main())
