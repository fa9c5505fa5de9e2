"""State machines: the state to which the committed commands are applied."""

from abc import ABC, abstractmethod
from typing import Any


class StateMachine(ABC):
    """Deterministic state that only committed commands change."""

    @abstractmethod
    def apply(self, index: int, payload: bytes) -> Any:
        """Apply a command and return its result, which its proposer receives.

        Parameters
        ----------
        index : int
            Index of the log entry.
        payload : bytes
            The command.
        """

    @abstractmethod
    def image(self) -> bytes:
        """Return the serialised state for a snapshot."""

    @abstractmethod
    def restore(self, image: bytes) -> None:
        """Replace the state by one that `image` returned."""
