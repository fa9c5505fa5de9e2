"""Sources of the configuration: control's state machine, or a peer's replica."""

import threading
from abc import ABC, abstractmethod

from arbutuscleat.wire.gen.ttypes import ConfigDelta, Configuration


class ConfigurationSource(ABC):
    """Something that holds a configuration and some of its deltas.

    Attributes
    ----------
    changed : threading.Condition
        Held by whoever calls the methods; notified on every new version.
    """

    changed: threading.Condition

    @property
    @abstractmethod
    def version(self) -> int:
        """The version held; -1 before the first one."""

    @abstractmethod
    def full(self) -> Configuration | None:
        """Return the whole configuration."""

    @abstractmethod
    def deltas_since(self, version: int) -> list[ConfigDelta] | None:
        """Return the deltas behind `version`, or None when some are gone."""
