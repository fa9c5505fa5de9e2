"""Local capacity: how many requests this process may run on an instance now.

Requests are routed by the configuration version in force, the newest one that all live
peers hold.  This process may already hold a newer version that forbids an instance or
gives this process a smaller share.  Both versions are checked and the smaller share
counts, so that the shares of all members never exceed the slots of an instance while a
new version is being distributed.
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
    """Computes how many slots of each instance this process may use.

    Parameters
    ----------
    node_id, data_centre : str
        Node id and data centre of this process.
    view : ConfigurationView
        The configuration version that this process holds.
    announcements : AnnouncementTable
        Which endpoints are ready.
    outliers : OutlierDetector
        Which instances are ejected.
    transfers : SlotTransfers
        Slots lent to and borrowed from other members.
    may_dispatch : callable
        Returns whether this process may dispatch now, see `DispatchRights`.
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
        view.add_listener(self._apply_version)

    def limit(self, offer: SlotOffer) -> int:
        """Return how many requests this process may run on an offered instance."""
        instance = offer.instance
        if not self._outliers.may_use(instance.instance_id):
            return 0
        if not self.is_usable(instance):
            return 0
        share = min(offer.share, self._held_shares.of(instance.slots))
        adjustment = self._transfers.adjustment(instance.instance_id)
        return max(0, share + adjustment) if share else 0

    def is_usable(self, instance: Instance) -> bool:
        """Return whether an instance accepts new requests now.

        It has to accept work in the version held, with the same assignment epoch, and
        its endpoint has to be ready.
        """
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
        """Return whether a request may be sent to the instance now."""
        return self._may_dispatch() and self.is_usable(instance)

    def spare_instances(self, instance: Instance) -> int:
        """Return the headroom of an instance's pool: how many it can lose."""
        with self._view.changed:
            configuration = self._view.configuration
            if configuration is None:
                return 0
            return configuration.headroom(instance.assignment.pool)

    def is_draining(self, instance_id: str) -> bool:
        """Return whether an instance gets no new work in the version held.

        An instance that the version does not list counts as draining.
        """
        configuration = self._view.configuration
        if configuration is None:
            return False
        held = configuration.instances.get(instance_id)
        return held is None or not held.takes_work()

    def _apply_version(self, configuration: FleetConfiguration) -> None:
        self._held_shares = slot_shares(
            configuration.members.values(), self._node_id, self._data_centre
        )
        self._transfers.apply_version(configuration.members.values())
