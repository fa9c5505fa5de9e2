"""Roles of a replica."""

from enum import Enum


class Role(str, Enum):
    """Current role of a replica in its group."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"
    """The disk refuses writes: the replica neither votes nor acknowledges entries."""
