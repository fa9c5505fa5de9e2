"""The routing table in force, rebuilt when the configuration has changed."""

import threading

from arbutuscleat.membership import ConfigurationView

from .routing_table import RoutingTable, build_routing_table


class RoutingTableHolder:
    """Holds the routing table of the newest configuration.

    Parameters
    ----------
    view : ConfigurationView
        The replica of the configuration.
    node_id, data_centre : str
        The entry instance that the table is for.
    """

    def __init__(self, view: ConfigurationView, node_id: str, data_centre: str):
        self._view = view
        self._node_id = node_id
        self._data_centre = data_centre
        self._lock = threading.Lock()
        self._table: RoutingTable | None = None

    def current(self) -> RoutingTable | None:
        """Return the routing table, or None before the first configuration."""
        table = self._table
        if table is not None and table.version == self._view.version:
            return table
        with self._lock, self._view.changed:
            configuration = self._view.configuration
            if configuration is None:
                return None
            if self._table is None or self._table.version != configuration.version:
                self._table = build_routing_table(
                    configuration, self._node_id, self._data_centre
                )
            return self._table
