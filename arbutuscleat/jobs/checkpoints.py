"""Bounds on the checkpoints that tasks resume from.

The platform sets no limit to a checkpoint, and each one is kept in the log, in the
table and in the snapshot. One that is not kept leaves its task with the former one, or
with none: a task never resumes from a checkpoint that was cut.
"""

from collections.abc import Iterable, Sequence

from absl import logging

from .job_size import text_bytes
from .task import TaskState

MAX_CHECKPOINT_BYTES = 4_000
"""Longest checkpoint, in bytes of UTF-8: as long as the specification of a job, which
a start order carries as well."""

MAX_HELD_BYTES = 16 * 1024 * 1024
"""Memory of the checkpoints of all tasks, by estimate: a tenth of that of the smallest
machines. It allows 2,000 of the longest ones, or 500,000 of 16 characters."""

LOG_SECONDS = 5
"""Interval of the log lines on checkpoints that are not kept."""


class Checkpoints:
    """Sets the checkpoints of tasks, and counts their memory in the job table.

    Attributes
    ----------
    held_bytes : int
        Memory of all checkpoints, by estimate.
    """

    def __init__(self) -> None:
        self.held_bytes = 0

    def keep(self, tasks: Sequence[TaskState], checkpoint: str) -> bool:
        """Set the checkpoint of tasks that resume from the same one.

        Returns
        -------
        bool
            False if it is not kept: it is too long, or there is no memory for it. Then
            nothing has changed.
        """
        size = len(tasks) * text_bytes(checkpoint)
        former = sum(text_bytes(task.checkpoint) for task in tasks)
        is_short = len(checkpoint.encode()) <= MAX_CHECKPOINT_BYTES
        if not is_short or self.held_bytes - former + size > MAX_HELD_BYTES:
            logging.log_every_n_seconds(
                logging.WARNING,
                "a checkpoint of %s, %d characters for %d tasks, is not kept",
                LOG_SECONDS,
                tasks[0].key,
                len(checkpoint),
                len(tasks),
            )
            return False
        self.held_bytes += size - former
        for task in tasks:
            task.checkpoint = checkpoint
        return True

    def discard(self, task: TaskState) -> None:
        """Forget the checkpoint of a task that starts no more."""
        self.held_bytes -= text_bytes(task.checkpoint)
        task.checkpoint = ""

    def restore(self, tasks: Iterable[TaskState]) -> None:
        """Count the checkpoints of a restored table, given all tasks that have one."""
        self.held_bytes = sum(text_bytes(task.checkpoint) for task in tasks)
