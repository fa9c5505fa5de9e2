"""Settings: the settings files of the daemons as validated models.

A settings file is JSON with comments (JSON5).  The names of the model fields are the
keys of the file.  Keys that end in ``_ms`` are in milliseconds.
"""

from .control import (
    ConsensusSettings,
    ControlSettings,
    MaintenanceSettings,
    PlatformSettings,
)
from .entry import (
    AnnouncementSettings,
    EntrySettings,
    LimitSettings,
    ServiceSettings,
)
from .fields import (
    ClientLimitSettings,
    EntryNode,
    Listen,
    LogSettings,
    Node,
    ProcessSettings,
    TraceSettings,
)
from .loader import SettingsError, load_settings, parse_settings

__all__ = [
    "AnnouncementSettings",
    "ClientLimitSettings",
    "ConsensusSettings",
    "ControlSettings",
    "EntryNode",
    "EntrySettings",
    "LimitSettings",
    "Listen",
    "LogSettings",
    "MaintenanceSettings",
    "Node",
    "PlatformSettings",
    "ProcessSettings",
    "ServiceSettings",
    "SettingsError",
    "TraceSettings",
    "load_settings",
    "parse_settings",
]
