"""Simulations of tasks that crash each worker that starts them.

`CRASH_SEEDS=0:50` runs other seeds than those of CI.
"""

import pytest

from tests.execution.crash_simulation import CrashSimulation
from tests.execution.test_long_running_tasks import run, seeds

FIRST_SEEDS = (1, 3, 7, 14, 18, 26, 30, 104, 139)
"""Seeds that have failed, for different reasons."""


@pytest.mark.parametrize("seed", seeds("CRASH_SEEDS", FIRST_SEEDS))
def test_a_task_that_crashes_its_workers_is_given_up_and_no_other_one(seed):
    """Guards against a task that is started for ever and ends the runs beside it."""
    run(CrashSimulation(seed))
