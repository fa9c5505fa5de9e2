"""How a run of a task ended."""

from enum import IntEnum


class RunOutcome(IntEnum):
    """The end of one run, as its worker lists it or as control concludes it."""

    DONE = 1
    FAILED = 2
    """It failed by its own fault or the worker's."""

    STOPPED = 3
    LAPSED = 4
    """The worker's lease ran out."""

    BROKEN = 5
    """Another member of its gang ended."""

    ALONE = 6
    """The other members of its gang did not come."""

    LOST = 7
    """Control knows that it does not run and never will; the worker lists no end."""
