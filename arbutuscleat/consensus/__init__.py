"""Consensus: a replicated log with leader election, in the manner of Raft.

A group of replicas agrees on one sequence of commands, and each replica applies
the committed commands in that order to its state machine.  The commands are opaque
bytes here: the package knows nothing of pools.
"""

from .config import ReplicaConfig
from .disk import Disk, FolderDisk
from .frames import DamagedFileError
from .identity import (
    FOUNDER_INCARNATION,
    AlreadyInitialisedError,
    initialise,
    open_identity,
)
from .peer import Peer, ThriftPeer
from .proposal import ProposalError, ProposalErrorKind
from .replica import Replica, ReplicaStatus
from .replica_handlers import ReplicaHandlers
from .role import Role
from .state_machine import StateMachine

__all__ = [
    "FOUNDER_INCARNATION",
    "AlreadyInitialisedError",
    "DamagedFileError",
    "Disk",
    "FolderDisk",
    "Peer",
    "ProposalError",
    "ProposalErrorKind",
    "Replica",
    "ReplicaConfig",
    "ReplicaHandlers",
    "ReplicaStatus",
    "Role",
    "StateMachine",
    "ThriftPeer",
    "initialise",
    "open_identity",
]
