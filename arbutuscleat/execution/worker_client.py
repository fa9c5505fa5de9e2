"""Worker client: interface for the calls from the control plane to a worker.

The control plane sends three kinds of calls: start orders, stop orders and holds. A
hold is a long poll: it renews the worker's lease and reports the running tasks and
the runs that have ended. Every call carries the fencing token of its session, and a
worker rejects calls with a lower token than the highest that it has seen.

A worker that restarts keeps its id and its address and has seen no token. What a
session knows of one incarnation must not reach the next one: an expiry time on the
clock of the former can lie seconds too far ahead on that of the next, which numbers its
ends from the beginning.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from arbutuscleat.jobs import RunOutcome, TaskKey

UNKNOWN_PROGRESS = -1
"""Progress of a run whose worker gives none that can be read."""

NO_POSITION = 0
"""Position of an end that cannot be acknowledged; positions begin at 1."""


class OrderOutcome(Enum):
    """How a worker responded to a call."""

    DONE = "done"
    FENCED = "fenced"
    """The worker has seen a higher fencing token."""

    OUTDATED = "outdated"
    """A run of the task with this or a higher number was stopped or has ended there."""

    EXPIRED = "expired"
    """The expiry time of the order had passed."""

    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    """The worker did nothing and reported that it is unhealthy."""

    OTHER_WORKER = "other-life"
    """The intended worker no longer exists; another worker uses its address."""

    NOT_SENT = "not-sent"
    """Nothing has reached the worker: the connection failed, or it leads to another
    incarnation."""

    NO_ANSWER = "no-answer"
    """The worker may have executed the order, or may do so later."""


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Response to one order.

    Parameters
    ----------
    outcome : OrderOutcome
        How the worker responded.
    clock_ms : int
        Reading of the worker's clock in milliseconds; 0 if the response had none.
    """

    outcome: OrderOutcome
    clock_ms: int = 0


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start one run.

    Parameters
    ----------
    key : TaskKey
        The task.
    number : int
        Number of the run.
    spec : str
        Specification of the work, as submitted by the caller.
    expires_ms : int
        Expiry of the lease in milliseconds on the worker's clock.
    fence : int
        Fencing token of the sender.
    checkpoint : str
        Checkpoint to resume from; empty to start from the beginning.
    ticket : str
        Permission required by the queue's policy; empty if none is needed.
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
    """Order to stop one run, or to ensure that it never starts.

    Parameters
    ----------
    key : TaskKey
        The task.
    number : int
        Number of the run.
    fence : int
        Fencing token of the sender.
    """

    key: TaskKey
    number: int
    fence: int


@dataclass(frozen=True, slots=True)
class HoldOrder:
    """Request to renew the lease and to list running tasks and ended runs.

    Parameters
    ----------
    fence : int
        Fencing token of the sender.
    acknowledged : int
        Position of the last end that has been recorded in the log.
    expires_ms : int or None
        Expiry of the lease in milliseconds on the worker's clock; None does not renew
        the lease.
    wait_ms : int
        How long the worker waits for a run to end before it responds, in milliseconds.
    """

    fence: int
    acknowledged: int
    expires_ms: int | None
    wait_ms: int


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that is running on a worker.

    Parameters
    ----------
    key : TaskKey
        The task.
    number : int
        Number of the run.
    percent : int
        Progress in percent; 100 for a long-running task that is ready, and
        `UNKNOWN_PROGRESS` if it is not known.
    load : int
        For a task that serves requests, the tail latency in milliseconds; otherwise
        the CPU in use in thousandths of a core. Measured over the last half second.
    """

    key: TaskKey
    number: int
    percent: int
    load: int


@dataclass(frozen=True, slots=True)
class FinishedRun:
    """A run that has ended, as listed by its worker.

    Parameters
    ----------
    position : int
        Sequence number of the end within the worker's incarnation, or `NO_POSITION`.
    key : TaskKey
        The task.
    number : int
        Number of the run.
    outcome : RunOutcome
        How the run ended.
    checkpoint : str
        Last checkpoint of the run; empty if there is none that can be kept.
    """

    position: int
    key: TaskKey
    number: int
    outcome: RunOutcome
    checkpoint: str


@dataclass(frozen=True, slots=True)
class HoldAnswer:
    """Response to a hold.

    Parameters
    ----------
    outcome : OrderOutcome
        How the worker responded; the lists are empty unless it is DONE.
    clock_ms : int
        Reading of the worker's clock in milliseconds; 0 if the response had none.
    born_ms : int
        Start time of the worker's incarnation in Unix milliseconds.
    running : tuple of RunningTask
        The tasks that are running.
    finished : tuple of FinishedRun
        The ended runs that have not been acknowledged.
    skipped_ends : int
        Number of listed ends that name no run, and are not in `finished`.
    lists_all_ends : bool
        Whether every end that has not been acknowledged is listed. A worker lists a
        limited number of them in one answer.
    """

    outcome: OrderOutcome
    clock_ms: int = 0
    born_ms: int = 0
    running: tuple[RunningTask, ...] = ()
    finished: tuple[FinishedRun, ...] = ()
    skipped_ends: int = 0
    lists_all_ends: bool = True


class WorkerClient(ABC):
    """Client of one incarnation of a worker.

    An order reaches this incarnation or none. So does a hold, but another incarnation
    may answer it with its own state; that hold has no effect there. The methods may be
    called by several threads at once.
    """

    @abstractmethod
    def start(self, order: StartOrder, timeout: float) -> OrderAnswer:
        """Send a start order; it is safe to send the same order again.

        Parameters
        ----------
        order : StartOrder
            The order.
        timeout : float
            Time limit of the call in seconds.
        """

    @abstractmethod
    def stop(self, order: StopOrder, timeout: float) -> OrderAnswer:
        """Send a stop order.

        Parameters
        ----------
        order : StopOrder
            The order.
        timeout : float
            Time limit of the call in seconds.
        """

    @abstractmethod
    def hold(self, order: HoldOrder, timeout: float) -> HoldAnswer:
        """Renew the lease and return the state of the worker's runs.

        Parameters
        ----------
        order : HoldOrder
            The request.
        timeout : float
            Time limit of the call in seconds, including `order.wait_ms`.
        """

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""
