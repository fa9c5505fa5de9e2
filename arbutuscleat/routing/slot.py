"""Slots: the right to run one request on one instance."""

from dataclasses import dataclass

from .routing_table import Route


@dataclass(frozen=True)
class SlotOffer:
    """An instance that may serve a request, and this process's share of its slots."""

    route: Route
    share: int


@dataclass(frozen=True)
class Slot:
    """A slot taken; it must be given back exactly once."""

    route: Route

    @property
    def instance_id(self) -> str:
        """The instance whose slot this is."""
        return self.route.instance.instance_id
