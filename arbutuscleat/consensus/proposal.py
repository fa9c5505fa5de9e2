"""Proposals: commands on their way through the log, and how they end."""

import threading
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class ProposalErrorKind(str, Enum):
    """Why a proposal brought no result."""

    NOT_LEADER = "not-leader"
    """This replica does not lead; nothing was proposed."""

    NO_QUORUM = "no-quorum"
    """The leader hears no quorum; nothing was proposed."""

    LOST = "lost"
    """Another entry was committed in its place; it will never be applied."""

    UNKNOWN = "unknown"
    """It may yet be committed."""


@dataclass(frozen=True)
class ProposalError:
    """A proposal without a result.

    Parameters
    ----------
    kind : ProposalErrorKind
        What is known about the proposal.
    leader : str
        The leader as far as known; empty otherwise.
    """

    kind: ProposalErrorKind
    leader: str = ""


@dataclass
class PendingProposal:
    """The proposer of one entry, waiting for it to be applied."""

    term: int
    done: threading.Event = field(default_factory=threading.Event)
    applied: bool = False
    overwritten: bool = False
    result: Any = None
