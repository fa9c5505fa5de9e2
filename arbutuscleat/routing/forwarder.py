"""Forwarding of requests to an entry instance of another data centre.

A request is forwarded once only: the remote entry instance dispatches or refuses it
and never forwards it again.  If the answer of the remote entry instance is lost, the
outcome is unknown and the request is not sent to another one.
"""

import itertools
from abc import ABC, abstractmethod
from collections.abc import Collection, Mapping

from returns.result import Failure, Result, Success

from arbutuscleat.core import Deadline, Outcome, Refusal, RefusalReason
from arbutuscleat.telemetry import current_traceparent
from arbutuscleat.wire import ChannelPool
from arbutuscleat.wire.gen.ttypes import ForwardAnswer, ForwardRequest, HttpHeader

from .request import Answer, Request

NO_PEER = Refusal(
    RefusalReason.NO_INSTANCE_READY,
    Outcome.NOT_RUN,
    "no entry instance in a data centre with matching instances can be reached",
    1.0,
)


class Forwarder(ABC):
    """Sends requests to entry instances of other data centres."""

    @abstractmethod
    def forward(
        self, req: Request, data_centres: Collection[str], deadline: Deadline
    ) -> Result[Answer, Refusal]:
        """Forward a request to one of the given data centres.

        Parameters
        ----------
        req : Request
            The request.
        data_centres : collection of str
            Data centres that have matching instances.
        deadline : Deadline
            When the caller stops waiting.

        Returns
        -------
        Result of Answer or Refusal
            What the remote entry instance returned, or a refusal if none could be
            reached or its answer was lost.
        """


class ThriftForwarder(Forwarder):
    """Forwards over thrift to the entry instances in rotation.

    An entry instance that cannot be reached is skipped.

    Parameters
    ----------
    peers : mapping of str to list of ChannelPool
        Connections to the entry instances of each data centre.
    """

    def __init__(self, peers: Mapping[str, list[ChannelPool]]):
        self._peers = peers
        self._rotation = itertools.count()

    def forward(
        self, req: Request, data_centres: Collection[str], deadline: Deadline
    ) -> Result[Answer, Refusal]:
        """Forward a request to one of the given data centres."""
        for pool in self._rotated(data_centres):
            request = to_forward_request(req, deadline)
            result = pool.call("forward", request, deadline.remaining())
            if isinstance(result, Success):
                return from_forward_answer(result.unwrap())
            if result.failure().may_have_been_sent():
                detail = f"the answer from {pool.address} was lost"
                refusal = Refusal(RefusalReason.FORWARD_LOST, Outcome.UNKNOWN, detail)
                return Failure(refusal)
            if deadline.expired():
                break
        return Failure(NO_PEER)

    def _rotated(self, data_centres: Collection[str]) -> list[ChannelPool]:
        pools = [p for name in sorted(data_centres) for p in self._peers.get(name, [])]
        if not pools:
            return []
        start = next(self._rotation) % len(pools)
        return pools[start:] + pools[:start]


def to_forward_request(req: Request, deadline: Deadline) -> ForwardRequest:
    """Convert a request to its thrift message, with the time that remains."""
    return ForwardRequest(
        service_name=req.service,
        method=req.method,
        path=req.path,
        headers=[HttpHeader(name, value) for name, value in req.headers],
        body=req.body,
        timeout_ms=int(deadline.remaining() * 1000),
        traceparent=current_traceparent(),
        key=req.key,
        labels=dict(req.labels),
    )


def from_forward_request(request: ForwardRequest) -> Request:
    """Convert a thrift message to a request."""
    return Request(
        service=request.service_name,
        method=request.method,
        path=request.path,
        headers=tuple((item.name, item.value) for item in request.headers),
        body=request.body,
        labels=request.labels,
        key=request.key,
        timeout_seconds=request.timeout_ms / 1000.0,
    )


def to_forward_answer(result: Result[Answer, Refusal]) -> ForwardAnswer:
    """Convert an answer or a refusal to its thrift message."""
    if isinstance(result, Failure):
        refusal = result.failure()
        return ForwardAnswer(
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
            detail=refusal.detail,
        )
    answer = result.unwrap()
    return ForwardAnswer(
        outcome=Outcome.RAN.value,
        status=answer.status,
        headers=[HttpHeader(name, value) for name, value in answer.headers],
        body=answer.body,
        instance_id=answer.instance_id,
    )


def from_forward_answer(message: ForwardAnswer) -> Result[Answer, Refusal]:
    """Convert a thrift message to an answer or a refusal."""
    if message.reason:
        reason = RefusalReason(message.reason)
        return Failure(Refusal(reason, Outcome(message.outcome), message.detail, 1.0))
    headers = tuple((item.name, item.value) for item in message.headers)
    return Success(Answer(message.status, headers, message.body, message.instance_id))
