"""Errors of a call from one process of the cluster to another."""

from dataclasses import dataclass
from enum import Enum


class CallErrorKind(str, Enum):
    """At which point a call failed."""

    CONNECT = "connect"
    """No connection was made: the request was not sent."""

    REFUSED = "refused"
    """The peer refused the handshake: the request was not sent."""

    LOST = "lost"
    """The connection failed after the request may have been sent."""

    CROSSED = "crossed"
    """The answer belonged to another request."""


@dataclass(frozen=True)
class CallError:
    """A call that returned no valid answer."""

    kind: CallErrorKind
    detail: str

    def may_have_been_sent(self) -> bool:
        """Return whether the peer may have received the request."""
        return self.kind in (CallErrorKind.LOST, CallErrorKind.CROSSED)
