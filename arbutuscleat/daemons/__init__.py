"""The daemons: settings in, parts wired, signals handled, exit code out."""

from .control import ControlDaemon, initialise_data_folder
from .entry import EntryDaemon

__all__ = ["ControlDaemon", "EntryDaemon", "initialise_data_folder"]
