"""The thrift handler of an entry instance for calls of other entry instances."""

from collections.abc import Callable

from returns.result import Result

from arbutuscleat.core import Refusal, RequestTracker
from arbutuscleat.membership import PeerExchange
from arbutuscleat.telemetry import Tracing
from arbutuscleat.wire.gen.ttypes import (
    BorrowAnswer,
    BorrowRequest,
    FetchAnswer,
    FetchRequest,
    ForwardAnswer,
    ForwardRequest,
    HttpHeader,
    KeptAnswer,
    KeptAnswerRequest,
    ShareAnswer,
    ShareRequest,
)

from .answer_cache import AnswerCache
from .forwarder import from_forward_request, to_forward_answer
from .request import Answer, Request
from .slot_borrower import SlotBorrower


class EntryService:
    """Handles calls of the other entry instances.

    Parameters
    ----------
    exchange : PeerExchange
        Exchanges state with the peers of this data centre.
    serve : callable
        Serves a request in this data centre, without forwarding it again.
    answer_cache : AnswerCache
        Answers of finished requests.
    borrower : SlotBorrower
        Lends slots to peers.
    tracing : Tracing
        Records one span for each hop.
    in_progress : RequestTracker
        Counts the requests that shutdown waits for.
    """

    def __init__(
        self,
        exchange: PeerExchange,
        serve: Callable[[Request], Result[Answer, Refusal]],
        answer_cache: AnswerCache,
        borrower: SlotBorrower,
        tracing: Tracing,
        in_progress: RequestTracker,
    ):
        self._exchange = exchange
        self._serve = serve
        self._answer_cache = answer_cache
        self._borrower = borrower
        self._tracing = tracing
        self._in_progress = in_progress

    def share(self, request: ShareRequest) -> ShareAnswer:
        """Process the share request of a peer; grant a lease if it is up to date."""
        return self._exchange.share(request)

    def fetch(self, request: FetchRequest) -> FetchAnswer:
        """Return the configuration to a peer that holds an older version."""
        return self._exchange.fetch(request)

    def borrow(self, request: BorrowRequest) -> BorrowAnswer:
        """Lend slots to a peer whose own slots are all in use."""
        return self._borrower.lend(request)

    def forward(self, request: ForwardRequest) -> ForwardAnswer:
        """Serve a request that was forwarded from another data centre."""
        span = self._tracing.span("forwarded", request.traceparent)
        with self._in_progress.track(), span:
            answer = to_forward_answer(self._serve(from_forward_request(request)))
        answer.request_id = request.request_id
        return answer

    def kept(self, request: KeptAnswerRequest) -> KeptAnswer:
        """Return the cached answer of a finished request, if it is still cached."""
        answer = self._answer_cache.get(request.key)
        if answer is None:
            return KeptAnswer(request_id=request.request_id, held=False)
        return KeptAnswer(
            request_id=request.request_id,
            held=True,
            status=answer.status,
            headers=[HttpHeader(name, value) for name, value in answer.headers],
            body=answer.body,
            instance_id=answer.instance_id,
        )
