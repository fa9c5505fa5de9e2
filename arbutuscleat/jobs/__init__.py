"""Jobs that callers submit, and the replicated table of jobs, runs and workers."""

from .cancelled_ids import CancelledIds, JobOwner
from .checkpoints import MAX_CHECKPOINT_BYTES, Checkpoints
from .crash_counts import MIN_CRASHES, SUSPECT_CRASHES, CrashCounts
from .job_size import job_bytes
from .job_state import JobPhase, JobState
from .job_table import AcceptResult, CancelResult, JobTable, may_have_copy
from .queue_config import Queue, QueueConfig, Service
from .run_outcome import RunOutcome
from .session_assignments import (
    SHARD_COUNT,
    SessionAssignment,
    SessionAssignments,
    SessionHolder,
    shard_of,
)
from .task import TaskKey, TaskState, TaskStatus
from .team import Capacity, KeyIndex, Team, key_digest
from .wave import Wave, wave_bytes

__all__ = [
    "MAX_CHECKPOINT_BYTES",
    "MIN_CRASHES",
    "SHARD_COUNT",
    "SUSPECT_CRASHES",
    "AcceptResult",
    "CancelResult",
    "CancelledIds",
    "Capacity",
    "Checkpoints",
    "CrashCounts",
    "JobOwner",
    "JobPhase",
    "JobState",
    "JobTable",
    "KeyIndex",
    "Queue",
    "QueueConfig",
    "RunOutcome",
    "Service",
    "SessionAssignment",
    "SessionAssignments",
    "SessionHolder",
    "TaskKey",
    "TaskState",
    "TaskStatus",
    "Team",
    "Wave",
    "job_bytes",
    "key_digest",
    "may_have_copy",
    "shard_of",
    "wave_bytes",
]
