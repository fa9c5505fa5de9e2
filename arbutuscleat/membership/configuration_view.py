"""The configuration view: an entry instance's replica of the configuration.

Its version only goes up.  Readers get an immutable routing table elsewhere; here
the replica is kept in step with control.
"""

import threading
from collections import deque

from absl import logging

from arbutuscleat.state import FleetConfiguration
from arbutuscleat.wire.gen.ttypes import ConfigDelta, Configuration, FetchAnswer

DELTAS_KEPT = 1_024


class ConfigurationView:
    """A replica of the configuration.

    Attributes
    ----------
    changed : threading.Condition
        Guards the configuration; notified on every new version.
    """

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self._configuration: FleetConfiguration | None = None
        self._deltas: deque[ConfigDelta] = deque(maxlen=DELTAS_KEPT)

    @property
    def version(self) -> int:
        """The version held; -1 before the first one."""
        configuration = self._configuration
        return -1 if configuration is None else configuration.version

    @property
    def configuration(self) -> FleetConfiguration | None:
        """The configuration, None before the first; read with `changed` held."""
        return self._configuration

    def take(self, answer: FetchAnswer) -> bool:
        """Take over what a source sent; return whether the version went up."""
        with self.changed:
            before = self.version
            if answer.full is not None:
                self._take_full(answer.full)
            for delta in answer.deltas or ():
                self._take_delta(delta)
            rose = self.version > before
            if rose:
                self.changed.notify_all()
            return rose

    def deltas_since(self, version: int) -> list[ConfigDelta] | None:
        """Return the deltas behind `version`, or None when some are gone."""
        missing = self.version - version
        if missing < 0 or missing > len(self._deltas):
            return None
        return list(self._deltas)[len(self._deltas) - missing :]

    def full(self) -> Configuration | None:
        """Return the whole configuration as a record; `changed` is held."""
        configuration = self._configuration
        return None if configuration is None else configuration.to_record()

    def _take_full(self, record: Configuration) -> None:
        if record.version <= self.version:
            return  # A source that lags behind what is held.
        self._configuration = FleetConfiguration.from_record(record)
        self._deltas.clear()

    def _take_delta(self, delta: ConfigDelta) -> None:
        configuration = self._configuration
        if configuration is None or delta.version != configuration.version + 1:
            return  # Held already, or a gap that the next fetch closes.
        configuration.replay(delta.command)
        if configuration.version != delta.version:
            logging.error("delta %d did not raise the version", delta.version)
            self._configuration = None
            return
        self._deltas.append(delta)
