"""Instances: the machines that run endpoints, with their pool and maintenance."""

from dataclasses import dataclass, field, replace
from enum import Enum

from .labels import Labels
from .maintenance import Maintenance


class InstanceState(str, Enum):
    """State of an endpoint, as it announces it."""

    READY = "ready"
    LEAVING = "leaving"
    LOST = "lost"
    """Not announced by the endpoint: entry instances report that it went silent."""


class AssignmentPhase(str, Enum):
    """Phase of the assignment of an instance to a pool."""

    UNASSIGNED = "unassigned"
    ASSIGNED = "assigned"
    DRAINING = "draining"


@dataclass(frozen=True)
class Assignment:
    """The assignment of an instance to a pool, as decided in the replicated log.

    An instance is assigned to at most one pool.

    Parameters
    ----------
    pool : str
        Name of the pool; empty if the instance is unassigned.
    epoch : int
        Number of assignments of this instance so far; it never decreases.
    phase : AssignmentPhase
        Whether the instance is assigned, draining or unassigned.
    conflict : str
        Why the instance cannot be assigned; empty if there is no conflict.
    since_version : int
        Configuration version of the last change of the pool or the phase.
    """

    pool: str = ""
    epoch: int = 0
    phase: AssignmentPhase = AssignmentPhase.UNASSIGNED
    conflict: str = ""
    since_version: int = 0

    def takes_work(self) -> bool:
        """Return whether the pool may dispatch new work to the instance."""
        return self.phase is AssignmentPhase.ASSIGNED


@dataclass(frozen=True)
class Instance:
    """An instance as it announced itself, with its assignment and maintenance.

    Parameters
    ----------
    instance_id : str
        Identity that stays the same across restarts of the instance.
    incarnation : str
        Changes with each restart; later ones sort after earlier ones as text.
    host, port : str, int
        IP address and port of the endpoint.
    data_centre, rack : str
        Failure domains; a rack is part of a data centre.
    labels : mapping of str to str
        Announced labels.
    services : tuple of str
        Services that the endpoint serves.
    slots, connections : int
        Maximum number of concurrent requests and of open connections.
    state : InstanceState
        State that the endpoint announced.
    sequence : int
        Number of the announcement within its incarnation.
    assignment : Assignment
        The assignment to a pool.
    maintenance : Maintenance
        Progress of the instance in a maintenance wave.
    """

    instance_id: str
    incarnation: str
    host: str
    port: int
    data_centre: str
    rack: str
    labels: Labels
    services: tuple[str, ...]
    slots: int
    connections: int
    state: InstanceState = InstanceState.READY
    sequence: int = 0
    assignment: Assignment = field(default_factory=Assignment)
    maintenance: Maintenance = field(default_factory=Maintenance)

    def order(self) -> tuple[str, int]:
        """Return the sort key of this announcement among those of the instance."""
        return (self.incarnation, self.sequence)

    def with_assignment(self, assignment: Assignment) -> "Instance":
        """Return a copy of the instance with another assignment."""
        return replace(self, assignment=assignment)

    def takes_work(self) -> bool:
        """Return whether its assignment and maintenance allow new work."""
        return self.assignment.takes_work() and self.maintenance.phase.takes_work()

    def placement_labels(self) -> dict[str, str]:
        """Return the announced labels with those for identity and failure domains."""
        return {
            **self.labels,
            "instance": self.instance_id,
            "data-centre": self.data_centre,
            "rack": self.rack,
        }
