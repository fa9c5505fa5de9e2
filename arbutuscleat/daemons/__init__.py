"""The daemons: they load the settings, wire the parts and handle signals."""

from .control import ControlDaemon, initialise_data_folder
from .entry import EntryDaemon

__all__ = ["ControlDaemon", "EntryDaemon", "initialise_data_folder"]
