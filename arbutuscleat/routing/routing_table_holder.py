"""The routing table in force.

A table is built from the version held.  It replaces the one in force once that
version is in force, that is, held by the live peers as well.
"""

import threading
from collections.abc import Callable

from arbutuscleat.membership import ConfigurationView

from .routing_table import RoutingTable, build_routing_table

NO_VERSION = -1


class RoutingTableHolder:
    """Holds the routing table in force and the next one.

    Parameters
    ----------
    view : ConfigurationView
        The version held.
    in_force_version : callable
        Returns the newest version that the live peers hold as well.
    node_id, data_centre : str
        The entry instance that the table is for.
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
        """Return the table in force, or None before the first."""
        table = self._table
        if table is None or table.version != self._view.version:
            with self._lock:
                self._advance()
        return self._table

    def version(self) -> int:
        """Return the version of the table in force; -1 before the first."""
        table = self.current()
        return NO_VERSION if table is None else table.version

    def _advance(self) -> None:
        self._promote()
        if self._next is None and self._view.version > self._table_version():
            self._next = self._build()
            self._promote()

    def _promote(self) -> None:
        waiting = self._next
        if waiting is not None and waiting.version <= self._in_force_version():
            self._table = waiting
            self._next = None

    def _table_version(self) -> int:
        return NO_VERSION if self._table is None else self._table.version

    def _build(self) -> RoutingTable | None:
        with self._view.changed:
            configuration = self._view.configuration
            if configuration is None:
                return None
            return build_routing_table(configuration, self._node_id, self._data_centre)
