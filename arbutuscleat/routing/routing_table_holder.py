"""Holds the routing table in force and replaces it when a new version takes effect.

The next table is built from the configuration version that this process holds.  It
replaces the current table once that version is in force, that is, once the live peers
hold it as well.
"""

import threading
from collections.abc import Callable

from arbutuscleat.membership import ConfigurationView

from .routing_table import RoutingTable, build_routing_table

NO_VERSION = -1


class RoutingTableHolder:
    """Holds the routing table in force and the one that replaces it next.

    Parameters
    ----------
    view : ConfigurationView
        The configuration version that this process holds.
    in_force_version : callable
        Returns the newest version that all live peers hold as well.
    node_id, data_centre : str
        Node id and data centre of the entry instance that the table is for.
    """

    def __init__(
        self,
        view: ConfigurationView,
        in_force_version: Callable[[], int],
        node_id: str,
        data_centre: str,
    ):
        self._view = view
        self._in_force_version = in_force_version
        self._node_id = node_id
        self._data_centre = data_centre
        self._lock = threading.Lock()
        self._table: RoutingTable | None = None
        self._next: RoutingTable | None = None

    def current(self) -> RoutingTable | None:
        """Return the table in force, or None before there is one."""
        table = self._table
        if table is None or table.version != self._view.version:
            with self._lock:
                self._advance()
        return self._table

    def version(self) -> int:
        """Return the version of the table in force, or -1 before there is one."""
        table = self.current()
        return NO_VERSION if table is None else table.version

    def _advance(self) -> None:
        self._promote()
        if self._next is None and self._view.version > self._table_version():
            self._next = self._build()
            self._promote()

    def _promote(self) -> None:
        table = self._next
        if table is not None and table.version <= self._in_force_version():
            self._table = table
            self._next = None

    def _table_version(self) -> int:
        return NO_VERSION if self._table is None else self._table.version

    def _build(self) -> RoutingTable | None:
        with self._view.changed:
            configuration = self._view.configuration
            if configuration is None:
                return None
            return build_routing_table(configuration, self._node_id, self._data_centre)
