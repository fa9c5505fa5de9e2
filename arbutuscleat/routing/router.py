"""The router: takes one request from arrival to answer.

The steps are: find candidate instances, acquire a slot, claim the idempotency key,
dispatch, return the answer.  Only this module determines the outcome of a dispatch.  A
refusal has the outcome `not-run` only if no byte was sent to an endpoint, in this
attempt or, if the request has a key, in an earlier one.
"""

import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from arbutuscleat.core import Clock, Deadline, Instance, Outcome, Refusal, RefusalReason
from arbutuscleat.metrics import Metrics
from arbutuscleat.telemetry import Tracing

from .admission import NO_INSTANCE_READY, AdmissionController, FindOffers
from .answer_cache import AnswerCache
from .answer_fetcher import AnswerFetcher
from .claim_closer import ClaimCloser
from .claims import Claim, ClaimDenied, ClaimRegistry, claim_key
from .endpoint_client import DispatchError, DispatchErrorKind, EndpointClient
from .forwarder import Forwarder
from .outlier_detector import OutlierDetector
from .request import Answer, Request
from .retry_budget import RetryBudget
from .routing_table import RoutingTable
from .slot import Slot, SlotOffer

MAX_INSTANCES_TRIED = 2
LOOKUP_TIMEOUT_SECONDS = 0.25
FETCH_TIMEOUT_SECONDS = 1.0
MIN_FAILURE_STATUS = 500
"""HTTP status from which on an answer counts as a failure of the instance."""

# Requests refused for these reasons may succeed in another data centre.
FORWARDED_REASONS = frozenset(
    {
        RefusalReason.NO_INSTANCE_READY,
        RefusalReason.POOL_FULL,
        RefusalReason.ISOLATED,
    }
)


@dataclass(frozen=True)
class RouterParts:
    """The collaborators of a router.

    Parameters
    ----------
    table : callable
        Returns the routing table in force, or None before there is one.
    may_dispatch : callable
        Returns whether this process may dispatch now, see `DispatchRights`.
    may_send : callable
        Returns whether a request may be sent to an instance now.
    spare_instances : callable
        Returns how many instances the pool of an instance can lose.
    is_idempotent : callable
        Returns whether a method of a service may run more than once.
    admission : AdmissionController
        Assigns slots of instances.
    outliers : OutlierDetector
        Ejects failing instances.
    retries : RetryBudget
        Limits retries.
    claims : ClaimRegistry
        Makes claims before a non-idempotent request is sent.
    claim_closer : ClaimCloser
        Closes claims in the background.
    answer_cache : AnswerCache
        Answers of finished requests, for resends.
    fetcher : AnswerFetcher
        Fetches the cached answer of an earlier run from the owner of its claim.
    forwarder : Forwarder
        Forwards requests to other data centres.
    endpoints : EndpointClient
        Sends requests to endpoints.
    """

    table: Callable[[], RoutingTable | None]
    may_dispatch: Callable[[], bool]
    may_send: Callable[[Instance], bool]
    spare_instances: Callable[[Instance], int]
    is_idempotent: Callable[[str, str], bool]
    admission: AdmissionController
    outliers: OutlierDetector
    retries: RetryBudget
    claims: ClaimRegistry
    claim_closer: ClaimCloser
    answer_cache: AnswerCache
    fetcher: AnswerFetcher
    forwarder: Forwarder
    endpoints: EndpointClient


class Router:
    """Serves requests of callers.

    Parameters
    ----------
    parts : RouterParts
        The collaborators of the router.
    clock : Clock
        Source of time.
    tracing : Tracing
        Records one span for each hop.
    metrics : Metrics
        Counters and latencies.
    """

    def __init__(
        self, parts: RouterParts, clock: Clock, tracing: Tracing, metrics: Metrics
    ):
        self._parts = parts
        self._clock = clock
        self._tracing = tracing
        self._metrics = metrics

    def serve(self, req: Request) -> Result[Answer, Refusal]:
        """Serve a request in this data centre, or forward it to another one.

        Returns
        -------
        Result of Answer or Refusal
            The complete answer of one endpoint, or why there is none.
        """
        return self._serve(req, allow_forward=True)

    def serve_locally(self, req: Request) -> Result[Answer, Refusal]:
        """Serve a request in this data centre only; see `serve`."""
        return self._serve(req, allow_forward=False)

    # ---- steps ----

    def _serve(self, req: Request, allow_forward: bool) -> Result[Answer, Refusal]:
        deadline = Deadline.after(self._clock, req.timeout_seconds)
        table = self._parts.table()
        if table is None:
            return _refusal(
                RefusalReason.NOT_READY, "no configuration has been received yet", 1.0
            )
        if not table.has_service(req.service):
            detail = f"no pool serves {req.service!r}"
            return _refusal(RefusalReason.UNKNOWN_SERVICE, detail)
        candidates = table.candidates(req.service, req.labels)

        def find_offers() -> Sequence[SlotOffer]:
            newest = self._parts.table() or table
            return newest.candidates(req.service, req.labels).offers

        if not candidates.offers and not candidates.other_data_centres:
            detail = "no instance matches the job's labels"
            return _refusal(RefusalReason.NO_INSTANCE_MATCHES, detail)
        result = self._serve_local(req, find_offers, deadline)
        if allow_forward and candidates.other_data_centres and _may_forward(result):
            with self._tracing.span("forward"):
                result = self._parts.forwarder.forward(
                    req, candidates.other_data_centres, deadline
                )
        return result

    def _serve_local(
        self, req: Request, find_offers: FindOffers, deadline: Deadline
    ) -> Result[Answer, Refusal]:
        idempotent = self._parts.is_idempotent(req.service, req.method)
        slot = self._take_slot(req, find_offers, deadline)
        if isinstance(slot, Failure):
            if idempotent or not req.key:
                return slot
            return Failure(self._check_earlier_attempts(req, slot.failure()))
        # Without a key there can be no other attempt, so there is nothing to claim.
        if idempotent or not req.key:
            return self._attempt(req, find_offers, slot.unwrap(), deadline, idempotent)
        return self._serve_claimed(req, find_offers, slot.unwrap(), deadline)

    def _serve_claimed(
        self,
        req: Request,
        find_offers: FindOffers,
        slot: Slot,
        deadline: Deadline,
    ) -> Result[Answer, Refusal]:
        claim = Claim(claim_key(req), uuid.uuid4().hex)
        with self._tracing.span("claim"):
            claimed = self._parts.claims.begin(
                req, claim.claim_id, deadline.remaining()
            )
        if isinstance(claimed, Failure):
            self._parts.admission.release(slot)
            return self._handle_denied_claim(claim, claimed.failure())
        result = self._attempt(req, find_offers, slot, deadline, may_repeat=False)
        if isinstance(result, Success):
            self._parts.answer_cache.put(claim.key, result.unwrap())
            self._parts.claim_closer.finish(claim)
        elif result.failure().outcome is Outcome.NOT_RUN:
            return Failure(self._release_claim(claim, result.failure()))
        return result

    def _handle_denied_claim(
        self, claim: Claim, denied: ClaimDenied
    ) -> Result[Answer, Refusal]:
        """Return the cached answer of an earlier run, or the refusal."""
        refusal = denied.refusal
        if refusal.reason is RefusalReason.NO_QUORUM:
            # The claim may still be committed, but nothing is ever sent for it.
            self._parts.claim_closer.release(claim)
        if denied.answer_owner:
            answer = self._parts.fetcher.fetch(
                denied.answer_owner, claim.key, FETCH_TIMEOUT_SECONDS
            )
            if answer is not None:
                return Success(answer)
        return Failure(refusal)

    def _release_claim(self, claim: Claim, refusal: Refusal) -> Refusal:
        """Return the refusal, with outcome `not-run` only if the key is free again."""
        if self._parts.claims.release(claim, LOOKUP_TIMEOUT_SECONDS):
            return refusal
        self._parts.claim_closer.release(claim)
        return _with_unknown_outcome(refusal)

    def _check_earlier_attempts(self, req: Request, refusal: Refusal) -> Refusal:
        """Return the refusal, with outcome `not-run` only if nobody holds the key.

        An earlier attempt that holds the key may have run the request.
        """
        if refusal.outcome is not Outcome.NOT_RUN:
            return refusal
        if self._parts.claims.is_free(req, LOOKUP_TIMEOUT_SECONDS):
            return refusal
        return _with_unknown_outcome(refusal)

    def _take_slot(
        self, req: Request, find_offers: FindOffers, deadline: Deadline
    ) -> Result[Slot, Refusal]:
        if not find_offers():
            return Failure(NO_INSTANCE_READY)
        if not self._parts.may_dispatch():
            detail = "this entry instance lacks valid leases or is not registered"
            return _refusal(RefusalReason.ISOLATED, detail, 1.0)
        with self._tracing.span("queue"):
            return self._parts.admission.acquire(req, find_offers, deadline)

    def _attempt(
        self,
        req: Request,
        find_offers: FindOffers,
        slot: Slot,
        deadline: Deadline,
        may_repeat: bool,
    ) -> Result[Answer, Refusal]:
        """Dispatch a request, and retry on another instance if that is safe.

        A retry is safe if nothing was sent, or if `may_repeat` says that the request
        may run more than once.
        """
        tried: set[str] = set()
        sent = False
        while True:
            tried.add(slot.instance_id)
            result = self._dispatch(req, slot, deadline)
            if isinstance(result, Success):
                self._parts.retries.deposit()
                return Success(result.unwrap())
            error = result.failure()
            sent = sent or error.kind is not DispatchErrorKind.NOT_SENT
            refusal = _dispatch_refusal(error, sent)
            if (sent and not may_repeat) or len(tried) >= MAX_INSTANCES_TRIED:
                return Failure(refusal)
            if deadline.expired() or not self._parts.retries.try_withdraw():
                return Failure(refusal)
            next_slot = self._take_slot(req, _excluding(find_offers, tried), deadline)
            if isinstance(next_slot, Failure):
                return Failure(refusal)
            slot = next_slot.unwrap()
            self._metrics.count("retries")

    def _dispatch(
        self, req: Request, slot: Slot, deadline: Deadline
    ) -> Result[Answer, DispatchError]:
        """Send a request once and release the slot."""
        instance = slot.instance
        started = self._clock.monotonic()
        try:
            with self._tracing.span("dispatch") as span:
                span.set_attribute("instance", instance.instance_id)
                # Checked again because the process may have been suspended since the
                # slot was acquired.
                if not self._parts.may_send(instance):
                    detail = "the leases have expired or the instance is not usable"
                    return Failure(DispatchError(DispatchErrorKind.NOT_SENT, detail))
                self._parts.outliers.record_dispatch(instance.instance_id)
                result = self._parts.endpoints.send(
                    instance, req, uuid.uuid4().hex, deadline.remaining()
                )
            self._observe(req, instance, result, self._clock.monotonic() - started)
            return result
        finally:
            self._parts.admission.release(slot)

    def _observe(
        self,
        req: Request,
        instance: Instance,
        result: Result[Answer, DispatchError],
        seconds: float,
    ) -> None:
        failed = not isinstance(result, Success)
        if isinstance(result, Success):
            failed = result.unwrap().status >= MIN_FAILURE_STATUS
            self._parts.admission.run_times.observe(req.service, seconds)
        self._parts.outliers.observe(
            instance.instance_id,
            failed,
            lambda: self._parts.spare_instances(instance),
        )
        self._metrics.observe("dispatch", seconds, service=req.service)


_REASON_BY_ERROR = {
    DispatchErrorKind.NOT_SENT: RefusalReason.CONNECT_FAILED,
    DispatchErrorKind.LOST: RefusalReason.ANSWER_LOST,
    DispatchErrorKind.CROSSED: RefusalReason.ANSWER_CROSSED,
    DispatchErrorKind.TOO_LARGE: RefusalReason.ANSWER_TOO_LARGE,
}


def _excluding(find_offers: FindOffers, tried: set[str]) -> FindOffers:
    """Return a function that finds offers of instances that were not tried yet."""
    return lambda: [o for o in find_offers() if o.instance.instance_id not in tried]


def _may_forward(result: Result[Answer, Refusal]) -> bool:
    if isinstance(result, Success):
        return False
    refusal = result.failure()
    return refusal.reason in FORWARDED_REASONS


def _refusal(
    reason: RefusalReason, detail: str, retry_after: float | None = None
) -> Failure[Refusal]:
    return Failure(Refusal(reason, Outcome.NOT_RUN, detail, retry_after))


def _with_unknown_outcome(refusal: Refusal) -> Refusal:
    return Refusal(refusal.reason, Outcome.UNKNOWN, refusal.detail, refusal.retry_after)


def _dispatch_refusal(error: DispatchError, sent: bool) -> Refusal:
    outcome = Outcome.UNKNOWN if sent else Outcome.NOT_RUN
    return Refusal(_REASON_BY_ERROR[error.kind], outcome, error.detail)
