"""The operators' configuration of queues and services, as a whole version."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Queue:
    """Where callers hand in jobs.

    Parameters
    ----------
    name : str
        Unique within a version.
    host, path_prefix : str
        What selects the queue; the longest prefix wins.
    service_name : str
        The service whose workers run the tasks.
    priority : int
        0 comes first.
    max_attempts : int
        Failed runs of a task after which its job has failed.
    stretch : float
        The objective is this many times the longest chain of work...
    target_latency_ms : int
        ...and this much more.
    """

    name: str
    host: str
    path_prefix: str
    service_name: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: int


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of machines that run the same tasks.

    Parameters
    ----------
    name : str
        Unique within a version.
    admission_check : bool
        Whether its workers refuse what does not fit.
    standby : bool
        Whether its machines are off.
    """

    name: str
    admission_check: bool
    standby: bool


class QueueConfig:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        The number that the operator gave it.
    queues : sequence of Queue
        All queues.
    services : sequence of Service
        All services.
    """

    def __init__(
        self, version: int, queues: Sequence[Queue], services: Sequence[Service]
    ):
        self.version = version
        self.queues: Mapping[str, Queue] = {queue.name: queue for queue in queues}
        self.services: Mapping[str, Service] = {item.name: item for item in services}
        self._by_host: dict[str, list[Queue]] = {}
        for queue in sorted(queues, key=lambda item: -len(item.path_prefix)):
            self._by_host.setdefault(queue.host, []).append(queue)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of `path` at `host`."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None
