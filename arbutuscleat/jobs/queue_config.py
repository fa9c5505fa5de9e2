"""The operators' configuration of queues and services.

A configuration is replaced as a whole: each version lists all queues and services.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from arbutuscleat.wire.gen_jobs.ttypes import JobRecord

from .team import KeyIndex, Team


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue to which callers submit jobs.

    Its host and path prefix identify it across versions, because callers know nothing
    else of it.

    Parameters
    ----------
    name : str
        Unique within a version; a later version may give the queue another name.
    host, path_prefix : str
        A request belongs to the queue with this host and the longest matching prefix.
    service_name : str
        The service whose workers run the tasks.
    priority : int
        Scheduling priority; 0 is the highest.
    max_attempts : int
        Number of failed runs of a task after which its job has failed.
    stretch : float
        Factor of the latency objective, which is
        `stretch * longest chain of steps + target_latency_ms`.
    target_latency_ms : int
        Constant part of the latency objective, in milliseconds.
    public : bool, default=False
        Whether calls need no key, although the configuration has teams. Jobs of such a
        queue belong to no team.
    """

    name: str
    host: str
    path_prefix: str
    service_name: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: int
    public: bool = False

    def holds(self, record: JobRecord) -> bool:
        """Return whether a job was submitted to this queue."""
        if record.host is None:
            return record.queue == self.name
        return (record.host, record.path_prefix) == (self.host, self.path_prefix)


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of machines whose workers run the same kind of tasks.

    Parameters
    ----------
    name : str
        Unique within a version.
    admission_check : bool
        Whether its workers refuse tasks that do not fit.
    standby : bool
        Whether the machines of this pool are switched off.
    """

    name: str
    admission_check: bool
    standby: bool


class QueueConfig:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Version number assigned by the operator; a higher one replaces a lower one.
    queues : sequence of Queue
        All queues.
    services : sequence of Service
        All services.
    teams : sequence of Team, optional
        All teams; without any, calls need no key.
    """

    def __init__(
        self,
        version: int,
        queues: Sequence[Queue],
        services: Sequence[Service],
        teams: Sequence[Team] = (),
    ):
        self.version = version
        self.queues: Mapping[str, Queue] = {queue.name: queue for queue in queues}
        self.services: Mapping[str, Service] = {item.name: item for item in services}
        self.teams: Mapping[str, Team] = {team.name: team for team in teams}
        self._key_index = KeyIndex(teams)
        self._by_place = {(queue.host, queue.path_prefix): queue for queue in queues}
        self._by_host: dict[str, list[Queue]] = {}
        for queue in sorted(queues, key=lambda item: -len(item.path_prefix)):
            self._by_host.setdefault(queue.host, []).append(queue)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of `host` whose prefix matches most of `path`, or None."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

    def needs_key(self, queue: Queue) -> bool:
        """Return whether calls for a queue need the key of a team."""
        return bool(self.teams) and not queue.public

    def team_of_key(self, digest: bytes | None) -> Team | None:
        """Return the team with the key of this digest, or None if there is none."""
        return self._key_index.find(digest)

    def team_of(self, record: JobRecord) -> Team | None:
        """Return the team that a job belongs to, or None if it has none any more."""
        return None if record.team is None else self.teams.get(record.team)

    def queue_of(self, record: JobRecord) -> Queue | None:
        """Return the queue to which a job was submitted, or None if it was removed."""
        if record.host is None or record.path_prefix is None:
            return self.queues.get(record.queue)
        return self._by_place.get((record.host, record.path_prefix))
