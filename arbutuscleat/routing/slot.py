"""Slots: the right to run one request on one instance."""

from dataclasses import dataclass

from arbutuscleat.core import Instance


@dataclass(frozen=True)
class SlotOffer:
    """An instance that may serve a request, and this process's share of its slots."""

    instance: Instance
    share: int


@dataclass(frozen=True)
class Slot:
    """A slot taken; it must be given back exactly once."""

    instance: Instance

    @property
    def instance_id(self) -> str:
        """The instance whose slot this is."""
        return self.instance.instance_id
