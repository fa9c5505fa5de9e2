"""Local capacity: how many requests this process may run on an instance now.

The routing table in force says where a request may go; the newest version held
may already forbid it.  Both are asked, and the smaller share counts: so the parts
of all members add up to no more than the whole while a version spreads.
"""

from collections.abc import Callable

from arbutuscleat.core import Instance
from arbutuscleat.membership import AnnouncementTable, ConfigurationView
from arbutuscleat.state import FleetConfiguration

from .outlier_detector import OutlierDetector
from .slot import SlotOffer
from .slot_shares import SlotShares, slot_shares
from .slot_transfers import SlotTransfers


class LocalCapacity:
    """The slots that this process may use.

    Parameters
    ----------
    node_id, data_centre : str
        Identity and place of this process.
    view : ConfigurationView
        The version held.
    announcements : AnnouncementTable
        Which endpoints are alive.
    outliers : OutlierDetector
        Which instances are taken out.
    transfers : SlotTransfers
        Which slots have moved between the members.
    may_dispatch : callable
        Tells whether this process holds the right to dispatch.
    """

    def __init__(
        self,
        node_id: str,
        data_centre: str,
        view: ConfigurationView,
        announcements: AnnouncementTable,
        outliers: OutlierDetector,
        transfers: SlotTransfers,
        may_dispatch: Callable[[], bool],
    ):
        self._node_id = node_id
        self._data_centre = data_centre
        self._view = view
        self._announcements = announcements
        self._outliers = outliers
        self._transfers = transfers
        self._may_dispatch = may_dispatch
        self._held_shares = SlotShares(-1, 0)
        view.add_listener(self._take_version)

    def limit(self, offer: SlotOffer) -> int:
        """Return how many requests may run on the offered instance; 0 for none."""
        instance = offer.instance
        if not self._outliers.may_use(instance.instance_id):
            return 0
        if not self.is_usable(instance):
            return 0
        share = min(offer.share, self._held_shares.of(instance.slots))
        moved = self._transfers.adjustment(instance.instance_id)
        return max(0, share + moved) if share else 0

    def is_usable(self, instance: Instance) -> bool:
        """Return whether the instance may be given new work at this moment."""
        configuration = self._view.configuration
        if configuration is None:
            return False
        held = configuration.instances.get(instance.instance_id)
        if held is None or not held.takes_work():
            return False
        if held.assignment.epoch != instance.assignment.epoch:
            return False
        return self._announcements.is_ready(instance.instance_id)

    def may_send(self, instance: Instance) -> bool:
        """Return whether the first byte for the instance may leave now."""
        return self._may_dispatch() and self.is_usable(instance)

    def spare_instances(self, instance: Instance) -> int:
        """Return how many instances the pool of an instance can do without."""
        with self._view.changed:
            configuration = self._view.configuration
            if configuration is None:
                return 0
            return configuration.headroom(instance.assignment.pool)

    def is_draining(self, instance_id: str) -> bool:
        """Return whether the version held gives an instance no new work."""
        configuration = self._view.configuration
        if configuration is None:
            return False
        held = configuration.instances.get(instance_id)
        return held is None or not held.takes_work()

    def _take_version(self, configuration: FleetConfiguration) -> None:
        self._held_shares = slot_shares(
            configuration.members.values(), self._node_id, self._data_centre
        )
        self._transfers.apply_version(configuration.members.values())
