"""Requests of callers and the answers of endpoints, inside the system."""

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
    service, method, path : str
        What is asked; `path` holds the query as well.
    headers : tuple of (str, str)
        The caller's end-to-end headers.
    body : bytes
        The whole body.
    labels : mapping of str to str
        The job's labels.
    key : str
        The idempotency key; empty when the caller gave none.
    timeout_seconds : float
        Time that the caller waits.
    is_abandoned : callable
        Tells whether the caller has hung up.
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
        """Return whether the job's labels say that it is urgent."""
        return self.labels.get(URGENT_LABEL) == "true"


@dataclass(frozen=True)
class Answer:
    """The whole answer of one endpoint."""

    status: int
    headers: tuple[Header, ...]
    body: bytes
    instance_id: str
