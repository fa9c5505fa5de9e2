"""The interface for reading a configuration and its recent deltas.

It is implemented by the state machine of the control instances and by the replica
that each entry instance keeps.
"""

import threading
from abc import ABC, abstractmethod

from arbutuscleat.wire.gen.ttypes import ConfigDelta, Configuration


class ConfigurationSource(ABC):
    """A configuration together with its most recent deltas.

    Attributes
    ----------
    changed : threading.Condition
        Callers of the methods must hold it.  It is notified on every new version.
    """

    changed: threading.Condition

    @property
    @abstractmethod
    def version(self) -> int:
        """The current configuration version; -1 if there is none yet."""

    @abstractmethod
    def full(self) -> Configuration | None:
        """Return the complete configuration, or None if there is none yet."""

    @abstractmethod
    def deltas_since(self, version: int) -> list[ConfigDelta] | None:
        """Return the deltas after `version`, or None if some were discarded."""
