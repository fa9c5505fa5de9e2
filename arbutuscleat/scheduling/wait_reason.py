"""Wait reasons: what keeps a waiting task from a worker."""

from enum import IntEnum


class WaitReason(IntEnum):
    """What keeps a waiting task from a worker, in the order of the checks.

    Of the reasons for all workers, the last one is nearest to a start: it shows what
    has to change for the task to run.
    """

    NO_WORKER = 0
    """The service has no worker."""

    TEAM_CAP = 1
    """The cap of the task's team holds it back on all workers."""

    LEAVING = 2
    """The worker is about to stop."""

    UNRESPONSIVE = 3
    """The worker does not answer, or has not answered this leader yet."""

    PAUSED = 4
    """The worker rejected a start, left orders unanswered, or has a stalled task."""

    DRAINING = 5
    """The worker's machine is about to be moved or serviced."""

    LABEL = 6
    SPREAD_LIMIT = 7
    CIRCUIT_BREAKER = 8
    ACCELERATORS = 9
    MEMORY = 10
    CPU = 11

    RESERVED = 12
    """The worker has room for the task, but keeps it for one that waits for more."""

    ISOLATED = 13
    """The worker runs, or is kept free for, a task that may crash its workers."""

    CRASHES = 14
    """Workers have crashed under the task, so it waits for one without other jobs."""

    GANG = 15
    """The worker accepts the task, but not all tasks of its gang find one."""

    FAILED_RUN = 16
    """The worker accepts the task, whose latest run failed there."""

    NOT_PLANNED = 17
    """The worker accepts the task, which no plan has reached yet."""

    NOT_LISTED = 18
    """A run of the task is in the log, but its worker does not list it."""

    def __str__(self) -> str:
        """Return the name as written in logs and metrics."""
        return self.name.lower().replace("_", " ")
