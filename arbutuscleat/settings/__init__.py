"""Settings: validated models of the JSON-with-comments files."""

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
