"""Loops of background threads, which go on after an unexpected exception.

A thread that ends leaves its process alive without the work of that thread, and nothing
starts it again. An exception therefore ends one iteration only, and is logged. A
violated invariant still ends the thread, and with it the process, because
`InvariantError` is no `Exception`.
"""

import threading
from collections.abc import Callable

from absl import logging

from .clock import Clock

FAILURE_PAUSE_SECONDS = 0.2
"""Pause after a failed iteration: an exception that repeats must not take a processor
or fill the log."""


def run_step(step: Callable[[], object]) -> bool:
    """Run one iteration of a loop; return False if it failed, which is logged.

    Parameters
    ----------
    step : callable
        The iteration.
    """
    try:
        step()
    except Exception:
        name = threading.current_thread().name
        logging.exception("an iteration of thread %s failed", name)
        return False
    return True


def run_loop(
    step: Callable[[], object],
    stopping: threading.Event,
    clock: Clock,
    interval: float = 0.0,
) -> None:
    """Run iterations until an event is set, whether they fail or not.

    Parameters
    ----------
    step : callable
        One iteration.
    stopping : threading.Event
        Ends the loop.
    clock : Clock
        Source of time.
    interval : float, default=0.0
        Pause before each iteration, in seconds.
    """
    while not clock.sleep(stopping, interval):
        if not run_step(step):
            clock.sleep(stopping, FAILURE_PAUSE_SECONDS)
