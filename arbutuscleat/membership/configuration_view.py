"""The configuration view: the replica of the configuration on an entry instance.

Its version never decreases.  Listeners process a version (to whom leases may be
granted, which instances drain) before it is published, because acknowledging a
version promises that it is already being followed.
"""

import threading
from collections import deque
from collections.abc import Callable

from absl import logging

from arbutuscleat.state import ConfigurationSource, FleetConfiguration
from arbutuscleat.wire.gen.ttypes import ConfigDelta, Configuration, FetchAnswer

from .view_store import ViewStore

MAX_DELTAS = 1_024
NO_VERSION = -1

Listener = Callable[[FleetConfiguration], None]


class ConfigurationView(ConfigurationSource):
    """A replica of the configuration.

    Parameters
    ----------
    store : ViewStore or None
        Storage that preserves the view across restarts; None on an instance without
        a disk.
    """

    def __init__(self, store: ViewStore | None = None):
        self.changed = threading.Condition()
        self._store = store
        self._configuration: FleetConfiguration | None = None
        self._deltas: deque[ConfigDelta] = deque(maxlen=MAX_DELTAS)
        self._version = NO_VERSION
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Call `listener` with each new configuration before it is published."""
        self._listeners.append(listener)

    def restore(self) -> None:
        """Load the configuration and deltas from the disk, if there are any."""
        if self._store is None:
            return
        with self.changed:
            record, deltas = self._store.load()
            if record is not None:
                self._apply_full(record)
            for delta in deltas:
                self._apply_delta(delta)
            self._publish()

    @property
    def version(self) -> int:
        """The published version; -1 before the first one."""
        return self._version

    @property
    def configuration(self) -> FleetConfiguration | None:
        """The configuration, or None before the first; hold `changed` to read it."""
        return self._configuration

    def apply(self, answer: FetchAnswer) -> bool:
        """Apply the answer to a fetch; return whether the version increased."""
        with self.changed:
            before = self._version
            if answer.full is not None and self._apply_full(answer.full):
                self._save_full(answer.full)
            applied = [d for d in answer.deltas or () if self._apply_delta(d)]
            self._save_deltas(applied)
            self._publish()
            return self._version > before

    def full(self) -> Configuration | None:
        """Return the complete configuration as a record; the caller holds `changed`."""
        configuration = self._configuration
        return None if configuration is None else configuration.to_record()

    def deltas_since(self, version: int) -> list[ConfigDelta] | None:
        """Return the deltas after `version`, or None if some were discarded."""
        missing = self._version - version
        if missing < 0 or missing > len(self._deltas):
            return None
        return list(self._deltas)[len(self._deltas) - missing :]

    def _apply_full(self, record: Configuration) -> bool:
        if record.version <= self._held_version():
            return False  # The source lags behind this replica.
        self._configuration = FleetConfiguration.from_record(record)
        self._deltas.clear()
        return True

    def _apply_delta(self, delta: ConfigDelta) -> bool:
        configuration = self._configuration
        if configuration is None or delta.version != configuration.version + 1:
            return False  # Already applied, or a gap that the next fetch fills.
        configuration.replay(delta.command)
        if configuration.version != delta.version:
            logging.error(
                "delta %d produced another version; discarding the configuration",
                delta.version,
            )
            self._configuration = None
            return False
        self._deltas.append(delta)
        return True

    def _held_version(self) -> int:
        configuration = self._configuration
        return NO_VERSION if configuration is None else configuration.version

    def _publish(self) -> None:
        configuration = self._configuration
        if configuration is None or configuration.version <= self._version:
            return
        for listener in self._listeners:
            listener(configuration)
        self._version = configuration.version
        self.changed.notify_all()

    def _save_full(self, record: Configuration) -> None:
        if self._store is not None:
            self._store.save_full(record)

    def _save_deltas(self, deltas: list[ConfigDelta]) -> None:
        if self._store is not None and deltas:
            self._store.save_deltas(deltas)
            if self._store.needs_compaction():
                record = self.full()
                assert record is not None
                self._store.save_full(record)
