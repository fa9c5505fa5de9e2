"""The routing table: an immutable extract of the configuration for one version.

It is built for one entry instance, so that a request costs it one look-up.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from arbutuscleat.core import (
    Instance,
    Labels,
    Selector,
    SelectorPurpose,
    parse_selector,
)
from arbutuscleat.state import FleetConfiguration, LabelKind

from .slot import SlotOffer
from .slot_shares import SlotShares, slot_shares

CANDIDATE_SETS_KEPT = 1_024


@dataclass(frozen=True)
class Placement:
    """A pool that a placement selector opens to some jobs."""

    jobs: Selector
    instances: Selector
    pool: str


@dataclass(frozen=True)
class Route:
    """One instance that takes new work, with the labels that selectors see."""

    instance: Instance
    labels: Labels


@dataclass(frozen=True)
class Candidates:
    """Where a job may run.

    Parameters
    ----------
    offers : tuple of SlotOffer
        Instances of this data centre, the service's own pools first.
    other_data_centres : frozenset of str
        Other data centres that have matching instances.
    """

    offers: tuple[SlotOffer, ...]
    other_data_centres: frozenset[str]


@dataclass(frozen=True)
class RoutingTable:
    """What an entry instance needs to place a request.

    Parameters
    ----------
    version : int
        Configuration version.
    data_centre : str
        The data centre of the entry instance.
    shares : SlotShares
        The part of each instance's slots that it may use.
    own_pools : mapping of str to tuple of str
        Names of the pools of each service.
    placements : tuple of Placement
        Placement selectors that open other pools.
    routes : mapping of str to tuple of Route
        The instances of each pool in every data centre.
    job_labels : mapping of str to mapping
        Labels that operators put on every job of a service.
    """

    version: int
    data_centre: str
    shares: SlotShares
    own_pools: Mapping[str, tuple[str, ...]]
    placements: tuple[Placement, ...]
    routes: Mapping[str, tuple[Route, ...]]
    job_labels: Mapping[str, Labels]
    _candidates: dict[tuple, Candidates] = field(default_factory=dict)

    def has_service(self, service: str) -> bool:
        """Return whether any pool serves `service`."""
        return service in self.own_pools

    def candidates(self, service: str, labels: Labels) -> Candidates:
        """Return where a job may run."""
        key = (service, *sorted(labels.items()))
        found = self._candidates.get(key)
        if found is None:
            if len(self._candidates) >= CANDIDATE_SETS_KEPT:
                self._candidates.clear()
            found = self._candidates[key] = self._find(service, labels)
        return found

    def _find(self, service: str, labels: Labels) -> Candidates:
        job = {**self.job_labels.get(service, {}), **labels, "service": service}
        found: dict[str, Instance] = {}
        for pool in self.own_pools.get(service, ()):
            for route in self.routes.get(pool, ()):
                found.setdefault(route.instance.instance_id, route.instance)
        for placement in self.placements:
            if placement.jobs.matches(job):
                self._add_placement(placement, found)
        here = [i for i in found.values() if i.data_centre == self.data_centre]
        return Candidates(
            offers=tuple(SlotOffer(i, self.shares.of(i.slots)) for i in here),
            other_data_centres=frozenset(
                instance.data_centre for instance in found.values()
            ).difference({self.data_centre}),
        )

    def _add_placement(self, placement: Placement, found: dict[str, Instance]) -> None:
        for route in self.routes.get(placement.pool, ()):
            if placement.instances.matches(route.labels):
                found.setdefault(route.instance.instance_id, route.instance)


def build_routing_table(
    configuration: FleetConfiguration, node_id: str, data_centre: str
) -> RoutingTable:
    """Return the routing table of a configuration for one entry instance."""
    own_pools: dict[str, list[str]] = {}
    for pool in sorted(configuration.pools.values(), key=lambda item: item.name):
        own_pools.setdefault(pool.service, []).append(pool.name)
    return RoutingTable(
        version=configuration.version,
        data_centre=data_centre,
        shares=slot_shares(configuration.members.values(), node_id, data_centre),
        own_pools={name: tuple(pools) for name, pools in own_pools.items()},
        placements=_placements(configuration),
        routes=_routes(configuration),
        job_labels={
            name: dict(label_set.labels)
            for (kind, name), label_set in configuration.labels.items()
            if kind is LabelKind.SERVICE
        },
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
        if not instance.takes_work():
            continue
        labels = configuration.instance_labels(instance)
        pool = instance.assignment.pool
        routes.setdefault(pool, []).append(Route(instance, labels))
    return {pool: tuple(found) for pool, found in routes.items()}
