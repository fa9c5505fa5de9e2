"""Errors of a call to control."""

from dataclasses import dataclass
from enum import Enum


class ControlErrorKind(str, Enum):
    """What is known about a command that brought no result."""

    NO_QUORUM = "no-quorum"
    """It was not proposed."""

    UNKNOWN = "unknown"
    """It may have been committed, or may yet be."""


@dataclass(frozen=True)
class ControlError:
    """A call to control without a result."""

    kind: ControlErrorKind
    detail: str
