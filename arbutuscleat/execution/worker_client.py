"""Worker clients: the calls that control makes to a worker."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from arbutuscleat.jobs import RunOutcome, TaskKey


class OrderOutcome(Enum):
    """What a worker did with an order."""

    DONE = "done"
    FENCED = "fenced"
    """It has seen a higher fencing token."""

    OUTDATED = "outdated"
    """A run with this or a higher number has been stopped or has ended there."""

    EXPIRED = "expired"
    """The order's own time had passed."""

    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    """It has done nothing and says that it is not in good order."""

    OTHER_LIFE = "other-life"
    """The intended worker no longer exists at this address."""

    NOT_SENT = "not-sent"
    """There was no connection: nothing has reached the worker."""

    NO_ANSWER = "no-answer"
    """It may have carried the order out, or may do so later."""


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """The answer to one order; the clock is 0 when none came with it."""

    outcome: OrderOutcome
    clock_ms: int = 0


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start one run.

    Parameters
    ----------
    key : TaskKey
        The task.
    number : int
        The run's number.
    spec : str
        What the caller wants run.
    expires_ms : int
        End of the lease on the worker's clock.
    fence : int
        Fencing token of the sender.
    checkpoint : str
        What to resume from; empty for the start.
    ticket : str
        Permission of the queue's policy; empty where none is needed.
    """

    key: TaskKey
    number: int
    spec: str
    expires_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop one run, or make sure that it never starts."""

    key: TaskKey
    number: int
    fence: int


@dataclass(frozen=True, slots=True)
class HoldOrder:
    """Renew the lease and ask for what runs and what has ended.

    Parameters
    ----------
    fence : int
        Fencing token of the sender.
    acknowledged : int
        Ends up to this one are in the log.
    expires_ms : int or None
        End of the lease on the worker's clock; None does not renew it.
    wait_ms : int
        How long the worker waits for an end before it answers.
    """

    fence: int
    acknowledged: int
    expires_ms: int | None
    wait_ms: int


@dataclass(frozen=True, slots=True)
class RunningTask:
    """One task that a worker runs.

    Parameters
    ----------
    key, number : TaskKey, int
        The run.
    percent : int
        Share of its progress; 100 for a lasting task that is at work.
    load : int
        Tail of the response times in milliseconds for a task that serves, else the
        processor in use in thousandths of a core, over the last half second.
    """

    key: TaskKey
    number: int
    percent: int
    load: int


@dataclass(frozen=True, slots=True)
class FinishedRun:
    """One end that a worker lists, by its position in the worker's life."""

    position: int
    key: TaskKey
    number: int
    outcome: RunOutcome
    checkpoint: str


@dataclass(frozen=True, slots=True)
class HoldAnswer:
    """The answer to a hold; the lists are empty unless the outcome is done."""

    outcome: OrderOutcome
    clock_ms: int = 0
    born_ms: int = 0
    running: tuple[RunningTask, ...] = ()
    finished: tuple[FinishedRun, ...] = ()


class WorkerClient(ABC):
    """Calls to one worker; each may be used by several tasks at a time."""

    @abstractmethod
    def start(self, order: StartOrder, timeout: float) -> OrderAnswer:
        """Order a run; the same order may be sent again."""

    @abstractmethod
    def stop(self, order: StopOrder, timeout: float) -> OrderAnswer:
        """Order the end of a run."""

    @abstractmethod
    def hold(self, order: HoldOrder, timeout: float) -> HoldAnswer:
        """Renew the lease and look."""

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""
