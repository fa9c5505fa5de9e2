"""The path of a request: placement, admission, claim, dispatch."""

from .admission import Admission
from .claims import Claim, ClaimRegistry, LogClaimRegistry, content_digest
from .endpoint_client import DispatchError, DispatchErrorKind, EndpointClient
from .local_capacity import LocalCapacity
from .request import Answer, Request
from .router import Router, RouterParts
from .routing_table import (
    Candidates,
    Placement,
    Route,
    RoutingTable,
    build_routing_table,
)
from .routing_table_holder import RoutingTableHolder
from .run_times import RunTimes
from .slot import Slot, SlotOffer
from .slot_shares import SlotShares, slot_shares

__all__ = [
    "Admission",
    "Answer",
    "Candidates",
    "Claim",
    "ClaimRegistry",
    "DispatchError",
    "DispatchErrorKind",
    "EndpointClient",
    "LocalCapacity",
    "LogClaimRegistry",
    "Placement",
    "Request",
    "Route",
    "Router",
    "RouterParts",
    "RoutingTable",
    "RoutingTableHolder",
    "RunTimes",
    "Slot",
    "SlotOffer",
    "SlotShares",
    "build_routing_table",
    "content_digest",
    "slot_shares",
]
