"""The router: one request from arrival to answer, written straight down.

receive -> candidates -> slot -> claim -> dispatch -> answer.  Outcomes are
derived here and nowhere else: `not-run` only as long as no byte has left.
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
LOOKUP_SECONDS = 0.25
FETCH_SECONDS = 1.0
FIRST_FAILING_STATUS = 500

# Refusals of this data centre that another one may not have to make.
FORWARDED_REASONS = frozenset(
    {
        RefusalReason.NO_INSTANCE_READY,
        RefusalReason.POOL_FULL,
        RefusalReason.ISOLATED,
    }
)


@dataclass(frozen=True)
class RouterParts:
    """What a router is made of.

    Parameters
    ----------
    table : callable
        Returns the routing table in force, None before the first.
    may_dispatch : callable
        Tells whether this process holds the right to dispatch.
    may_send : callable
        Tells whether the first byte for an instance may leave now.
    spare_instances : callable
        Returns how many instances the pool of an instance can do without.
    is_idempotent : callable
        Tells whether a method of a service may run more than once.
    admission, outliers, retries, claims, ender, kept, fetcher, forwarder, endpoints
        The parts that do the work.
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
    """Serves the requests of callers.

    Parameters
    ----------
    parts : RouterParts
        What the router is made of.
    clock : Clock
        Source of time.
    tracing : Tracing
        One span for each hop.
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
        """Return the whole answer of one endpoint, here or in another data centre."""
        return self._serve(req, forwards=True)

    def serve_locally(self, req: Request) -> Result[Answer, Refusal]:
        """Return the whole answer of one endpoint of this data centre."""
        return self._serve(req, forwards=False)

    # ---- steps ----

    def _serve(self, req: Request, forwards: bool) -> Result[Answer, Refusal]:
        deadline = Deadline.after(self._clock, req.timeout_seconds)
        table = self._parts.table()
        if table is None:
            return _refuse(RefusalReason.NOT_READY, "no configuration is held yet", 1.0)
        if not table.has_service(req.service):
            detail = f"no pool serves {req.service!r}"
            return _refuse(RefusalReason.UNKNOWN_SERVICE, detail)
        found = table.candidates(req.service, req.labels)

        def find_offers() -> Sequence[SlotOffer]:
            newest = self._parts.table() or table
            return newest.candidates(req.service, req.labels).offers

        if not found.offers and not found.other_data_centres:
            detail = "no instance matches the job's labels"
            return _refuse(RefusalReason.NO_INSTANCE_MATCHES, detail)
        result = self._serve_local(req, find_offers, deadline)
        if forwards and found.other_data_centres and _may_forward(result):
            with self._tracing.span("forward"):
                result = self._parts.forwarder.forward(
                    req, found.other_data_centres, deadline
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
            return Failure(self._refuse_keyed(req, slot.failure()))
        # Without a key no other attempt can exist, so there is nothing to claim.
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
            return self._without_claim(claim, claimed.failure())
        result = self._attempt(req, find_offers, slot, deadline, may_repeat=False)
        if isinstance(result, Success):
            self._parts.answer_cache.put(claim.key, result.unwrap())
            self._parts.claim_closer.finish(claim)
        elif result.failure().outcome is Outcome.NOT_RUN:
            return Failure(self._release(claim, result.failure()))
        return result

    def _without_claim(
        self, claim: Claim, denied: ClaimDenied
    ) -> Result[Answer, Refusal]:
        refusal = denied.refusal
        if refusal.reason is RefusalReason.NO_QUORUM:
            # It may yet be committed, but nothing will ever be sent for it.
            self._parts.claim_closer.release(claim)
        if denied.answer_owner:
            answer = self._parts.fetcher.fetch(
                denied.answer_owner, claim.key, FETCH_SECONDS
            )
            if answer is not None:
                return Success(answer)
        return Failure(refusal)

    def _release(self, claim: Claim, refusal: Refusal) -> Refusal:
        """Say `not-run` only once the key is certainly free again."""
        if self._parts.claims.release(claim, LOOKUP_SECONDS):
            return refusal
        self._parts.claim_closer.release(claim)
        return _unknown(refusal)

    def _refuse_keyed(self, req: Request, refusal: Refusal) -> Refusal:
        """Say `not-run` only if no earlier attempt holds the key."""
        if refusal.outcome is not Outcome.NOT_RUN:
            return refusal
        if self._parts.claims.is_free(req, LOOKUP_SECONDS):
            return refusal
        return _unknown(refusal)

    def _take_slot(
        self, req: Request, find_offers: FindOffers, deadline: Deadline
    ) -> Result[Slot, Refusal]:
        if not find_offers():
            return Failure(NO_INSTANCE_READY)
        if not self._parts.may_dispatch():
            detail = "this instance holds no right to dispatch"
            return _refuse(RefusalReason.ISOLATED, detail, 1.0)
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
        """Send a request, to another instance again if that may be done."""
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
            refusal = _failed(error, sent)
            if (sent and not may_repeat) or len(tried) >= MAX_INSTANCES_TRIED:
                return Failure(refusal)
            if deadline.expired() or not self._parts.retries.try_withdraw():
                return Failure(refusal)
            again = self._take_slot(req, _without(find_offers, tried), deadline)
            if isinstance(again, Failure):
                return Failure(refusal)
            slot = again.unwrap()
            self._metrics.count("retries")

    def _dispatch(
        self, req: Request, slot: Slot, deadline: Deadline
    ) -> Result[Answer, DispatchError]:
        """Send a request once and give the slot back."""
        instance = slot.instance
        started = self._clock.monotonic()
        try:
            with self._tracing.span("dispatch") as span:
                span.set_attribute("instance", instance.instance_id)
                # Once more, since the process may have been frozen meanwhile.
                if not self._parts.may_send(instance):
                    detail = "the right to send to this instance has ended"
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
            failed = result.unwrap().status >= FIRST_FAILING_STATUS
            self._parts.admission.run_times.observe(req.service, seconds)
        self._parts.outliers.observe(
            instance.instance_id,
            failed,
            lambda: self._parts.spare_instances(instance),
        )
        self._metrics.observe("dispatch", seconds, service=req.service)


_REASONS = {
    DispatchErrorKind.NOT_SENT: RefusalReason.CONNECT_FAILED,
    DispatchErrorKind.LOST: RefusalReason.ANSWER_LOST,
    DispatchErrorKind.CROSSED: RefusalReason.ANSWER_CROSSED,
    DispatchErrorKind.TOO_LARGE: RefusalReason.ANSWER_TOO_LARGE,
}


def _without(find_offers: FindOffers, tried: set[str]) -> FindOffers:
    """Return the offers of instances that were not tried yet."""
    return lambda: [o for o in find_offers() if o.instance.instance_id not in tried]


def _may_forward(result: Result[Answer, Refusal]) -> bool:
    if isinstance(result, Success):
        return False
    refusal = result.failure()
    return refusal.reason in FORWARDED_REASONS


def _refuse(
    reason: RefusalReason, detail: str, retry_after: float | None = None
) -> Failure[Refusal]:
    return Failure(Refusal(reason, Outcome.NOT_RUN, detail, retry_after))


def _unknown(refusal: Refusal) -> Refusal:
    return Refusal(refusal.reason, Outcome.UNKNOWN, refusal.detail, refusal.retry_after)


def _failed(error: DispatchError, sent: bool) -> Refusal:
    outcome = Outcome.UNKNOWN if sent else Outcome.NOT_RUN
    return Refusal(_REASONS[error.kind], outcome, error.detail)
