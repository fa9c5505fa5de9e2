"""Wait reasons: what keeps a waiting task from a worker."""

from enum import IntEnum


class WaitReason(IntEnum):
    """What keeps a waiting task from a worker, in the order of the checks.

    Of the reasons for all workers, the last one is nearest to a start: it shows what
    has to change for the task to run.
    """

    NO_WORKER = 0
    """The service has no worker."""

    LEAVING = 1
    """The worker is about to stop."""

    UNRESPONSIVE = 2
    """The worker does not answer, or has not answered this leader yet."""

    PAUSED = 3
    """The worker rejected a start, left orders unanswered, or has a stalled task."""

    DRAINING = 4
    """The worker's machine is about to be moved or serviced."""

    LABEL = 5
    SPREAD_LIMIT = 6
    CIRCUIT_BREAKER = 7
    ACCELERATORS = 8
    MEMORY = 9
    CPU = 10

    RESERVED = 11
    """The worker has room for the task, but keeps it for one that waits for more."""

    ISOLATED = 12
    """The worker runs, or is kept free for, a task that may crash its workers."""

    CRASHES = 13
    """Workers have crashed under the task, so it waits for one without other jobs."""

    GANG = 14
    """The worker accepts the task, but not all tasks of its gang find one."""

    FAILED_RUN = 15
    """The worker accepts the task, whose latest run failed there."""

    NOT_PLANNED = 16
    """The worker accepts the task, which no plan has reached yet."""

    NOT_LISTED = 17
    """A run of the task is in the log, but its worker does not list it."""

    def __str__(self) -> str:
        """Return the name as written in logs and metrics."""
        return self.name.lower().replace("_", " ")
