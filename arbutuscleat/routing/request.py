"""The internal representation of callers' requests and endpoints' answers."""

from collections.abc import Callable
from dataclasses import dataclass, field

from arbutuscleat.core import Labels

Header = tuple[str, str]

URGENT_LABEL = "urgent"


@dataclass(frozen=True)
class Request:
    """One request of a caller.

    Parameters
    ----------
    service : str
        Name of the service that the request is for.
    method, path : str
        HTTP method and path; the path includes the query string.
    headers : tuple of (str, str)
        The caller's end-to-end headers.
    body : bytes
        The complete body.
    labels : mapping of str to str
        Labels of the job, which selectors match.
    key : str
        The idempotency key; empty if the caller gave none.
    timeout_seconds : float
        How long the caller waits for the answer.
    is_abandoned : callable
        Returns whether the caller has closed the connection.
    """

    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    labels: Labels
    key: str
    timeout_seconds: float
    is_abandoned: Callable[[], bool] = field(default=lambda: False, compare=False)

    def is_urgent(self) -> bool:
        """Return whether the job's labels mark it as urgent."""
        return self.labels.get(URGENT_LABEL) == "true"


@dataclass(frozen=True)
class Answer:
    """The complete answer of one endpoint.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        The endpoint's end-to-end headers.
    body : bytes
        The complete body.
    instance_id : str
        The instance that ran the request.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    instance_id: str
