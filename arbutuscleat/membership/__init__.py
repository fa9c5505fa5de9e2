"""Membership: endpoint announcements, dispatch leases, and links to control and peers.

Entry instances collect the announcements of endpoints, replicate the configuration
from the control instances, and hold the leases that permit them to dispatch work.
"""

from .ack_table import AckTable, MemberStatus
from .announcement_table import Announcement, AnnouncementTable
from .configuration_fetch import answer_fetch
from .configuration_view import ConfigurationView
from .control_client import ControlClient
from .control_error import ControlError, ControlErrorKind
from .control_service import ControlService
from .dispatch_rights import DispatchRights
from .in_force_tracker import InForceTracker
from .member_registration import MemberRegistration
from .peer_exchange import PeerExchange
from .reporter import Reporter
from .subscription import Subscription
from .view_store import ViewStore

__all__ = [
    "AckTable",
    "Announcement",
    "AnnouncementTable",
    "ConfigurationView",
    "ControlClient",
    "ControlError",
    "ControlErrorKind",
    "ControlService",
    "DispatchRights",
    "InForceTracker",
    "MemberRegistration",
    "MemberStatus",
    "PeerExchange",
    "Reporter",
    "Subscription",
    "ViewStore",
    "answer_fetch",
]
