"""Endpoint clients: how one request reaches one endpoint."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from returns.result import Result

from arbutuscleat.core import Instance

from .request import Answer, Request


class DispatchErrorKind(str, Enum):
    """How far a failed dispatch got."""

    NOT_SENT = "not-sent"
    """No byte of the request has left."""

    LOST = "lost"
    """The request may have run; no whole answer was read."""

    CROSSED = "crossed"
    """The answer belonged to another request."""

    TOO_LARGE = "too-large"
    """The answer passed the size limit."""


@dataclass(frozen=True)
class DispatchError:
    """A dispatch without a whole answer."""

    kind: DispatchErrorKind
    detail: str


class EndpointClient(ABC):
    """Sends requests to endpoints and reads whole answers."""

    @abstractmethod
    def send(
        self, instance: Instance, req: Request, request_id: str, timeout: float
    ) -> Result[Answer, DispatchError]:
        """Send `req` once and return the whole answer within `timeout` seconds."""

    @abstractmethod
    def close(self) -> None:
        """Close idle connections."""
