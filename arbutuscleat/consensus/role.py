"""Roles of a replica."""

from enum import Enum


class Role(str, Enum):
    """What a replica does at the moment."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"
    """The disk failed: the replica neither votes nor answers for writes."""
