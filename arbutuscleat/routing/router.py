"""The router: one request from arrival to answer, written straight down.

receive -> candidates -> slot -> claim -> dispatch -> answer.  Outcomes are
derived here and nowhere else: `not-run` only as long as no byte has left.
"""

import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from arbutuscleat.core import Clock, Deadline, Instance, Outcome, Refusal, RefusalReason
from arbutuscleat.telemetry import Metrics, Tracing

from .admission import NO_INSTANCE_READY, Admission
from .claims import Claim, ClaimRegistry
from .endpoint_client import DispatchError, DispatchErrorKind, EndpointClient
from .request import Answer, Request
from .routing_table import RoutingTable
from .run_times import RunTimes
from .slot import Slot, SlotOffer

MAX_INSTANCES_TRIED = 2
RELEASE_SECONDS = 2.0


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
    admission, claims, endpoints, run_times
        The parts that do the work.
    is_idempotent : callable
        Tells whether a method of a service may run more than once.
    """

    table: Callable[[], RoutingTable | None]
    may_dispatch: Callable[[], bool]
    may_send: Callable[[Instance], bool]
    admission: Admission
    claims: ClaimRegistry
    endpoints: EndpointClient
    run_times: RunTimes
    is_idempotent: Callable[[str, str], bool]


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
        """Return the whole answer of one endpoint, or why there is none."""
        deadline = Deadline.after(self._clock, req.timeout_seconds)
        found = self._find_offers(req)
        if isinstance(found, Failure):
            return found
        if self._parts.is_idempotent(req.service, req.method):
            return self._serve_idempotent(req, found.unwrap(), deadline)
        return self._serve_once(req, found.unwrap(), deadline)

    # ---- steps ----

    def _find_offers(self, req: Request) -> Result[Sequence[SlotOffer], Refusal]:
        table = self._parts.table()
        if table is None:
            return _refuse(RefusalReason.NOT_READY, "no configuration is held yet", 1.0)
        if not table.knows(req.service):
            detail = f"no pool serves {req.service!r}"
            return _refuse(RefusalReason.UNKNOWN_SERVICE, detail)
        found = table.candidates(req.service, req.labels)
        if not found.offers and not found.elsewhere:
            detail = "no instance matches the job's labels"
            return _refuse(RefusalReason.NO_INSTANCE_MATCHES, detail)
        return Success(found.offers)

    def _serve_idempotent(
        self, req: Request, offers: Sequence[SlotOffer], deadline: Deadline
    ) -> Result[Answer, Refusal]:
        tried: set[str] = set()
        sent = False
        result: Result[Answer, Refusal] = Failure(NO_INSTANCE_READY)
        while len(tried) < MAX_INSTANCES_TRIED:
            left = [o for o in offers if o.instance.instance_id not in tried]
            slot = self._take_slot(req, left, deadline)
            if isinstance(slot, Failure):
                return result if sent else slot
            tried.add(slot.unwrap().instance_id)
            answer = self._dispatch(req, slot.unwrap(), deadline)
            if isinstance(answer, Success):
                return Success(answer.unwrap())
            sent = sent or answer.failure().kind is not DispatchErrorKind.NOT_SENT
            result = Failure(_failed(answer.failure(), sent))
            if deadline.expired():
                break
        return result

    def _serve_once(
        self, req: Request, offers: Sequence[SlotOffer], deadline: Deadline
    ) -> Result[Answer, Refusal]:
        slot = self._take_slot(req, offers, deadline)
        if isinstance(slot, Failure):
            return self._without_claim(req, slot.failure())
        with self._tracing.span("claim"):
            claim_id = uuid.uuid4().hex
            claimed = self._parts.claims.begin(req, claim_id, deadline.remaining())
        if isinstance(claimed, Failure):
            self._parts.admission.release(slot.unwrap())
            return claimed
        answer = self._dispatch(req, slot.unwrap(), deadline)
        if isinstance(answer, Success):
            self._parts.claims.finish(claimed.unwrap(), RELEASE_SECONDS)
            return Success(answer.unwrap())
        return Failure(self._end_claim(claimed.unwrap(), answer.failure()))

    def _without_claim(self, req: Request, refusal: Refusal) -> Result[Answer, Refusal]:
        """Refuse before claiming; an earlier attempt under the key may have run."""
        if not req.key or refusal.outcome is not Outcome.NOT_RUN:
            return Failure(refusal)
        return Failure(
            Refusal(
                refusal.reason, Outcome.UNKNOWN, refusal.detail, refusal.retry_after
            )
        )

    def _end_claim(self, claim: Claim, error: DispatchError) -> Refusal:
        if error.kind is not DispatchErrorKind.NOT_SENT:
            return _failed(error, sent=True)
        released = self._parts.claims.release(claim, RELEASE_SECONDS)
        return _failed(error, sent=not released)

    def _take_slot(
        self, req: Request, offers: Sequence[SlotOffer], deadline: Deadline
    ) -> Result[Slot, Refusal]:
        if not self._parts.may_dispatch():
            detail = "this instance holds no right to dispatch"
            return _refuse(RefusalReason.ISOLATED, detail, 1.0)
        with self._tracing.span("queue"):
            return self._parts.admission.acquire(req.service, offers, deadline)

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
                return self._parts.endpoints.send(
                    instance, req, uuid.uuid4().hex, deadline.remaining()
                )
        finally:
            seconds = self._clock.monotonic() - started
            self._parts.run_times.observe(req.service, seconds)
            self._metrics.observe("dispatch", seconds, service=req.service)
            self._parts.admission.release(slot)


_REASONS = {
    DispatchErrorKind.NOT_SENT: RefusalReason.CONNECT_FAILED,
    DispatchErrorKind.LOST: RefusalReason.ANSWER_LOST,
    DispatchErrorKind.CROSSED: RefusalReason.ANSWER_CROSSED,
    DispatchErrorKind.TOO_LARGE: RefusalReason.ANSWER_TOO_LARGE,
}


def _refuse(
    reason: RefusalReason, detail: str, retry_after: float | None = None
) -> Failure[Refusal]:
    return Failure(Refusal(reason, Outcome.NOT_RUN, detail, retry_after))


def _failed(error: DispatchError, sent: bool) -> Refusal:
    outcome = Outcome.UNKNOWN if sent else Outcome.NOT_RUN
    return Refusal(_REASONS[error.kind], outcome, error.detail)
