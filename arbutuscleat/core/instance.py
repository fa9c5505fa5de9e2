"""Instances: the workers that endpoints run on, as the system knows them."""

from dataclasses import dataclass, field, replace
from enum import Enum

from .labels import Labels
from .maintenance import Maintenance


class InstanceState(str, Enum):
    """What an endpoint announces about itself."""

    READY = "ready"
    LEAVING = "leaving"
    LOST = "lost"
    """Not announced: the entry instances say that it is silent."""


class AssignmentPhase(str, Enum):
    """Where an instance stands between two pools."""

    UNASSIGNED = "unassigned"
    ASSIGNED = "assigned"
    DRAINING = "draining"


@dataclass(frozen=True)
class Assignment:
    """The one pool of an instance, from the replicated log.

    Parameters
    ----------
    pool : str
        Name of the pool; empty when the instance is unassigned.
    epoch : int
        Counts the assignments of this instance; only goes up.
    phase : AssignmentPhase
        Whether the instance takes new work.
    conflict : str
        Why the instance could not be assigned; empty without a conflict.
    since_version : int
        Configuration version of the last change of pool or phase.
    """

    pool: str = ""
    epoch: int = 0
    phase: AssignmentPhase = AssignmentPhase.UNASSIGNED
    conflict: str = ""
    since_version: int = 0

    def takes_work(self) -> bool:
        """Return whether the instance may be given new work."""
        return self.phase is AssignmentPhase.ASSIGNED


@dataclass(frozen=True)
class Instance:
    """One instance as announced, with its assignment.

    Parameters
    ----------
    instance_id : str
        Identity that survives a restart of the instance.
    incarnation : str
        Changes with each restart; ordered as text.
    host, port : str, int
        IP number and port of the endpoint.
    data_centre, rack : str
        Failure domains, outer and inner.
    labels : mapping of str to str
        Announced labels.
    services : tuple of str
        Services that the endpoint serves.
    slots, connections : int
        Requests at a time and open connections at a time.
    state : InstanceState
        Whether the endpoint takes new work.
    sequence : int
        Counts the announcements within one incarnation.
    assignment : Assignment
        The pool of the instance.
    maintenance : Maintenance
        Where the instance stands within a maintenance wave.
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
        """Return the key by which announcements of this instance are ordered."""
        return (self.incarnation, self.sequence)

    def with_assignment(self, assignment: Assignment) -> "Instance":
        """Return the instance with another assignment."""
        return replace(self, assignment=assignment)

    def takes_work(self) -> bool:
        """Return whether the log allows to give the instance new work."""
        return self.assignment.takes_work() and self.maintenance.phase.takes_work()

    def placement_labels(self) -> dict[str, str]:
        """Return the labels that selectors see, with the failure domains."""
        return {
            **self.labels,
            "instance": self.instance_id,
            "data-centre": self.data_centre,
            "rack": self.rack,
        }
