"""The routing table: the part of one configuration version that routing needs.

It is immutable and built for one entry instance, so that finding the candidates of a
request takes a single lookup.
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

MAX_CACHED_CANDIDATES = 1_024
"""Combinations of service and labels in the cache; it is cleared when full."""


@dataclass(frozen=True)
class Placement:
    """A placement selector: lets some jobs run on instances of another pool.

    Parameters
    ----------
    jobs : Selector
        Matches the labels of the jobs.
    instances : Selector
        Matches the labels of the instances.
    pool : str
        Name of the pool that the instances belong to.
    """

    jobs: Selector
    instances: Selector
    pool: str


@dataclass(frozen=True)
class Route:
    """An instance that accepts work, with the labels that selectors match."""

    instance: Instance
    labels: Labels


@dataclass(frozen=True)
class Candidates:
    """The instances that a job may run on.

    Parameters
    ----------
    offers : tuple of SlotOffer
        Instances of the local data centre; those of the service's own pools come first.
    other_data_centres : frozenset of str
        Other data centres that have matching instances.
    """

    offers: tuple[SlotOffer, ...]
    other_data_centres: frozenset[str]


@dataclass(frozen=True)
class RoutingTable:
    """What an entry instance needs to find the candidates of a request.

    Parameters
    ----------
    version : int
        Configuration version that the table was built from.
    data_centre : str
        Data centre of the entry instance.
    shares : SlotShares
        Computes the entry instance's share of the slots of an instance.
    own_pools : mapping of str to tuple of str
        Names of the pools of each service.
    placements : tuple of Placement
        Placement selectors, which add instances of other pools.
    routes : mapping of str to tuple of Route
        Instances of each pool that accept work, in all data centres.
    job_labels : mapping of str to mapping
        Labels that operators assign to every job of a service; the labels of a job
        override them.
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
        """Return the instances that a job may run on."""
        key = (service, *sorted(labels.items()))
        candidates = self._candidates.get(key)
        if candidates is None:
            if len(self._candidates) >= MAX_CACHED_CANDIDATES:
                self._candidates.clear()
            candidates = self._candidates[key] = self._find(service, labels)
        return candidates

    def _find(self, service: str, labels: Labels) -> Candidates:
        job = {**self.job_labels.get(service, {}), **labels, "service": service}
        found: dict[str, Instance] = {}
        for pool in self.own_pools.get(service, ()):
            for route in self.routes.get(pool, ()):
                found.setdefault(route.instance.instance_id, route.instance)
        for placement in self.placements:
            if placement.jobs.matches(job):
                self._add_placement(placement, found)
        local = [i for i in found.values() if i.data_centre == self.data_centre]
        return Candidates(
            offers=tuple(SlotOffer(i, self.shares.of(i.slots)) for i in local),
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
    """Build the routing table of one entry instance.

    Parameters
    ----------
    configuration : FleetConfiguration
        The configuration version to extract the table from.
    node_id, data_centre : str
        Node id and data centre of the entry instance.

    Returns
    -------
    RoutingTable
        The routing table.
    """
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
