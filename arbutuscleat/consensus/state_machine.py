"""State machines: what the committed commands of the log act upon."""

from abc import ABC, abstractmethod
from typing import Any


class StateMachine(ABC):
    """Deterministic state changed only by committed commands."""

    @abstractmethod
    def apply(self, index: int, payload: bytes) -> Any:
        """Apply one command and return its result for the proposer."""

    @abstractmethod
    def image(self) -> bytes:
        """Return the whole state for a snapshot."""

    @abstractmethod
    def restore(self, image: bytes) -> None:
        """Replace the whole state by an image."""
