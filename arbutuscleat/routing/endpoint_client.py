"""The interface for sending one request to one endpoint, and its errors."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from returns.result import Result

from arbutuscleat.core import Instance

from .request import Answer, Request


class DispatchErrorKind(str, Enum):
    """At which point a dispatch failed."""

    NOT_SENT = "not-sent"
    """No byte of the request was sent."""

    LOST = "lost"
    """The request may have run, but no complete answer was read."""

    CROSSED = "crossed"
    """The answer belonged to another request."""

    TOO_LARGE = "too-large"
    """The answer exceeded the size limit."""


@dataclass(frozen=True)
class DispatchError:
    """A dispatch that returned no complete answer."""

    kind: DispatchErrorKind
    detail: str


class EndpointClient(ABC):
    """Sends requests to endpoints and reads complete answers."""

    @abstractmethod
    def send(
        self, instance: Instance, req: Request, request_id: str, timeout: float
    ) -> Result[Answer, DispatchError]:
        """Send a request once and read the complete answer.

        Parameters
        ----------
        instance : Instance
            The instance whose endpoint receives the request.
        req : Request
            The request.
        request_id : str
            Unique id of this dispatch; an answer that echoes another id is rejected.
        timeout : float
            Time limit in seconds for the whole exchange.

        Returns
        -------
        Result of Answer or DispatchError
            The answer, or the point at which the dispatch failed.
        """

    @abstractmethod
    def close(self) -> None:
        """Close idle connections."""
