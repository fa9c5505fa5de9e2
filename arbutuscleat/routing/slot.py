"""Slots: a slot is the right to run one request on one instance."""

from dataclasses import dataclass

from arbutuscleat.core import Instance


@dataclass(frozen=True)
class SlotOffer:
    """An instance that may serve a request.

    Parameters
    ----------
    instance : Instance
        The instance.
    share : int
        How many of its slots belong to this process, before slot transfers.
    """

    instance: Instance
    share: int


@dataclass(frozen=True)
class Slot:
    """An acquired slot, which must be released exactly once."""

    instance: Instance

    @property
    def instance_id(self) -> str:
        """Id of the instance that the slot belongs to."""
        return self.instance.instance_id
