"""Proposals: commands that are appended to the log, and their outcomes."""

import threading
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class ProposalErrorKind(str, Enum):
    """Why a proposal has no result."""

    NOT_LEADER = "not-leader"
    """This replica is not the leader; nothing was proposed."""

    NO_QUORUM = "no-quorum"
    """The leader does not hear a quorum; nothing was proposed."""

    LOST = "lost"
    """Another entry was committed at its index; the command is never applied."""

    UNKNOWN = "unknown"
    """The outcome is unknown; the command may still be committed."""


@dataclass(frozen=True)
class ProposalError:
    """A proposal without a result.

    Parameters
    ----------
    kind : ProposalErrorKind
        Why there is no result.
    leader : str
        Node id of the leader; empty if it is not known.
    """

    kind: ProposalErrorKind
    leader: str = ""


@dataclass
class PendingProposal:
    """A proposal that waits for its entry to be applied.

    Parameters
    ----------
    term : int
        Term in which the entry was appended.
    done : threading.Event
        Set when the entry at the index was applied or covered by a snapshot.
    applied : bool
        Whether the command was applied.
    overwritten : bool
        Whether an entry of another term was committed at the index.
    result : object
        Result from the state machine, if the command was applied.
    """

    term: int
    done: threading.Event = field(default_factory=threading.Event)
    applied: bool = False
    overwritten: bool = False
    result: Any = None
