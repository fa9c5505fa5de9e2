"""Errors of calls to the control instances."""

from dataclasses import dataclass
from enum import Enum


class ControlErrorKind(str, Enum):
    """What is known about a command that returned no result."""

    NO_QUORUM = "no-quorum"
    """The command was not proposed."""

    UNKNOWN = "unknown"
    """The command may have been committed, or may still be."""


@dataclass(frozen=True)
class ControlError:
    """Failure of a call to the control instances.

    Parameters
    ----------
    kind : ControlErrorKind
        What is known about the command.
    detail : str
        Explanation for the operator.
    """

    kind: ControlErrorKind
    detail: str
