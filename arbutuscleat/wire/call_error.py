"""Errors of a call between two of our processes."""

from dataclasses import dataclass
from enum import Enum


class CallErrorKind(str, Enum):
    """How far a failed call got."""

    CONNECT = "connect"
    """No connection: the request was never sent."""

    REFUSED = "refused"
    """The peer refused the handshake: the request was never sent."""

    LOST = "lost"
    """The connection failed after the request may have been sent."""

    CROSSED = "crossed"
    """The answer belonged to another request."""


@dataclass(frozen=True)
class CallError:
    """A call that brought no answer."""

    kind: CallErrorKind
    detail: str

    def may_be_sent(self) -> bool:
        """Return whether the peer may have received the request."""
        return self.kind in (CallErrorKind.LOST, CallErrorKind.CROSSED)
