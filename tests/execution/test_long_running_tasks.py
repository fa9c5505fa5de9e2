"""Simulations of long-running tasks on workers that fail, and then recover.

Each seed simulates a service whose long-running tasks leave room for a stream of small
tasks. During the first part workers fail their runs, are unreachable, restart and
drain, and leaders change. In the calm part that follows every long-running task has to
run while there is room for it. No task ever has two runs at the same time.

`LONG_RUNNING_SEEDS=0:50` runs other seeds than those of CI, `WIDE_SEEDS=0:50` other
ones of the simulation with further faults.
"""

import os

import pytest

from tests.execution.simulation import Simulation
from tests.execution.wide_simulation import WideSimulation

FIRST_SEEDS = range(4, 14)

WIDE_SEEDS = (9, 15, 14, 36, 20, 26)
"""Seeds that failed: two before leaders kept counting their fencing tokens, two before
a session opened again waited for earlier leases, and two before the tasks of a dark
worker were rescheduled as soon as its lease had expired."""


def seeds(name, default):
    """Return the seeds that the environment gives, as in "0:50", or the default."""
    text = os.environ.get(name)
    if text is None:
        return default
    first, end = text.split(":")
    return range(int(first), int(end))


@pytest.mark.parametrize("seed", seeds("LONG_RUNNING_SEEDS", FIRST_SEEDS))
def test_no_long_running_task_waits_while_there_is_room_for_it(seed):
    run(Simulation(seed))


@pytest.mark.parametrize("seed", seeds("WIDE_SEEDS", WIDE_SEEDS))
def test_no_long_running_task_waits_after_further_faults(seed):
    run(WideSimulation(seed))


def run(simulation):
    simulation.run()
    assert not simulation.violations, "\n".join(
        simulation.violations + simulation.events
    )
