"""Announcements of endpoints, and an entry instance's link to control."""

from .announcement_table import Announcement, AnnouncementTable
from .configuration_view import ConfigurationView
from .control_client import ControlClient
from .control_error import ControlError, ControlErrorKind
from .control_service import ControlService
from .peer_exchange import PeerExchange
from .reporter import Reporter
from .subscription import Subscription

__all__ = [
    "Announcement",
    "AnnouncementTable",
    "ConfigurationView",
    "ControlClient",
    "ControlError",
    "ControlErrorKind",
    "ControlService",
    "PeerExchange",
    "Reporter",
    "Subscription",
]
