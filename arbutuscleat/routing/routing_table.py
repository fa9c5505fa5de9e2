"""The routing table: an immutable extract of the configuration for one version."""

from collections.abc import Mapping
from dataclasses import dataclass

from arbutuscleat.core import (
    AssignmentPhase,
    Instance,
    Labels,
    Selector,
    SelectorPurpose,
    parse_selector,
)
from arbutuscleat.state import FleetConfiguration, LabelKind, Member


@dataclass(frozen=True)
class Placement:
    """A pool that a placement selector opens to some jobs."""

    jobs: Selector
    instances: Selector
    pool: str


@dataclass(frozen=True)
class Route:
    """One instance that may serve, with the labels that selectors see."""

    instance: Instance
    labels: Labels


@dataclass(frozen=True)
class RoutingTable:
    """What an entry instance needs to place a request.

    Parameters
    ----------
    version : int
        Configuration version.
    own_pools : mapping of str to tuple of str
        Names of the pools of each service.
    placements : tuple of Placement
        Placement selectors that open other pools.
    routes : mapping of str to tuple of Route
        The instances of each pool in every data centre.
    job_labels : mapping of str to mapping
        Labels that operators put on every job of a service.
    members : tuple of Member
        The entry instances that the log lists.
    """

    version: int
    own_pools: Mapping[str, tuple[str, ...]]
    placements: tuple[Placement, ...]
    routes: Mapping[str, tuple[Route, ...]]
    job_labels: Mapping[str, Labels]
    members: tuple[Member, ...]

    def knows(self, service: str) -> bool:
        """Return whether any pool serves `service`."""
        return service in self.own_pools

    def candidates(self, service: str, labels: Labels) -> list[Route]:
        """Return the instances that may run a job, its own pools first."""
        job = {**self.job_labels.get(service, {}), **labels, "service": service}
        found: dict[str, Route] = {}
        for pool in self.own_pools.get(service, ()):
            for route in self.routes.get(pool, ()):
                found.setdefault(route.instance.instance_id, route)
        for placement in self.placements:
            if placement.jobs.matches(job):
                self._add_placement(placement, found)
        return list(found.values())

    def _add_placement(self, placement: Placement, found: dict[str, Route]) -> None:
        for route in self.routes.get(placement.pool, ()):
            if placement.instances.matches(route.labels):
                found.setdefault(route.instance.instance_id, route)


def build_routing_table(configuration: FleetConfiguration) -> RoutingTable:
    """Return the routing table of a configuration."""
    own_pools: dict[str, list[str]] = {}
    for pool in sorted(configuration.pools.values(), key=lambda item: item.name):
        own_pools.setdefault(pool.service, []).append(pool.name)
    return RoutingTable(
        version=configuration.version,
        own_pools={name: tuple(pools) for name, pools in own_pools.items()},
        placements=_placements(configuration),
        routes=_routes(configuration),
        job_labels={
            name: dict(label_set.labels)
            for (kind, name), label_set in configuration.labels.items()
            if kind is LabelKind.SERVICE
        },
        members=tuple(configuration.members.values()),
    )


def _placements(configuration: FleetConfiguration) -> tuple[Placement, ...]:
    return tuple(
        Placement(parse_selector(rule.jobs), parse_selector(rule.instances), rule.pool)
        for rule in sorted(configuration.selectors.values(), key=lambda r: r.name)
        if rule.purpose is SelectorPurpose.PLACEMENT
    )


def _routes(configuration: FleetConfiguration) -> dict[str, tuple[Route, ...]]:
    routes: dict[str, list[Route]] = {}
    for instance in configuration.instances.values():
        assignment = instance.assignment
        if assignment.phase is not AssignmentPhase.ASSIGNED:
            continue
        labels = configuration.instance_labels(instance)
        routes.setdefault(assignment.pool, []).append(Route(instance, labels))
    return {pool: tuple(found) for pool, found in routes.items()}
