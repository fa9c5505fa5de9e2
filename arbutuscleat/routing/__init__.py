"""Routing of requests: candidate lookup, admission, claims, dispatch and forwarding."""

from .admission import NO_INSTANCE_READY, AdmissionController
from .answer_cache import AnswerCache
from .answer_fetcher import AnswerFetcher, ThriftAnswerFetcher
from .claim_closer import ClaimCloser
from .claims import (
    Claim,
    ClaimDenied,
    ClaimRegistry,
    LogClaimRegistry,
    claim_key,
    content_digest,
)
from .endpoint_client import DispatchError, DispatchErrorKind, EndpointClient
from .entry_service import EntryService
from .forwarder import Forwarder, ThriftForwarder
from .local_capacity import LocalCapacity
from .outlier_detector import (
    ConsecutiveFailuresRule,
    FailureRule,
    OutlierDetector,
    SuccessRateRule,
)
from .request import Answer, Request
from .retry_budget import RetryBudget
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
from .slot_borrower import SlotBorrower
from .slot_shares import SlotShares, slot_shares
from .slot_transfers import SlotTransfers

__all__ = [
    "AdmissionController",
    "Answer",
    "AnswerCache",
    "AnswerFetcher",
    "Candidates",
    "Claim",
    "ClaimCloser",
    "ClaimDenied",
    "ClaimRegistry",
    "ConsecutiveFailuresRule",
    "DispatchError",
    "DispatchErrorKind",
    "EndpointClient",
    "EntryService",
    "FailureRule",
    "Forwarder",
    "LocalCapacity",
    "LogClaimRegistry",
    "NO_INSTANCE_READY",
    "OutlierDetector",
    "Placement",
    "Request",
    "RetryBudget",
    "Route",
    "Router",
    "RouterParts",
    "RoutingTable",
    "RoutingTableHolder",
    "RunTimes",
    "Slot",
    "SlotBorrower",
    "SlotOffer",
    "SlotShares",
    "SlotTransfers",
    "SuccessRateRule",
    "ThriftAnswerFetcher",
    "ThriftForwarder",
    "build_routing_table",
    "claim_key",
    "content_digest",
    "slot_shares",
]
