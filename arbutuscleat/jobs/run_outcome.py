"""How a run of a task ended."""

from enum import IntEnum


class RunOutcome(IntEnum):
    """How one run ended, as reported by its worker or concluded by the leader."""

    DONE = 1
    FAILED = 2
    """The task or its worker failed."""

    STOPPED = 3
    LAPSED = 4
    """The worker's lease expired."""

    BROKEN = 5
    """Another member of its gang ended, so this run was ended as well."""

    ALONE = 6
    """The other members of its gang did not start."""

    LOST = 7
    """The leader knows that the run is not active and never will be.

    The worker reports no end for it.
    """
