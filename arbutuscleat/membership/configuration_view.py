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
        self._has_failed_save = False

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
        """Apply the answer to a fetch; return whether the version increased.

        A version that cannot be saved is not published, because an instance with a
        disk must not return with an older one. It is saved with the next answer.
        """
        with self.changed:
            before = self._version
            is_full = answer.full is not None and self._apply_full(answer.full)
            applied = [d for d in answer.deltas or () if self._apply_delta(d)]
            try:
                self._save(is_full, applied)
            except OSError as exc:
                self._has_failed_save = True
                logging.error(
                    "configuration version %d cannot be saved, version %d stays: %s",
                    self._held_version(),
                    before,
                    exc,
                )
                return False
            self._publish()
            return self._version > before

    def has_failed_save(self) -> bool:
        """Return whether the disk refused the latest version."""
        return self._has_failed_save

    def full(self) -> Configuration | None:
        """Return the complete configuration as a record; the caller holds `changed`."""
        configuration = self._configuration
        return None if configuration is None else configuration.to_record()

    def deltas_since(self, version: int) -> list[ConfigDelta] | None:
        """Return the deltas after `version`, or None if some were discarded."""
        found = [d for d in self._deltas if version < d.version <= self._version]
        return found if len(found) == self._version - version else None

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

    def _save(self, is_full: bool, applied: list[ConfigDelta]) -> None:
        """Save what an answer has changed; after a failed save, everything."""
        if self._store is None:
            return
        if is_full or self._has_failed_save:
            self._save_full()
        elif applied:
            self._store.save_deltas(applied)
            if self._store.needs_compaction():
                self._save_full()
        self._has_failed_save = False

    def _save_full(self) -> None:
        record = self.full()
        if record is not None and self._store is not None:
            self._store.save_full(record)
