"""The thrift handler of an entry instance."""

from collections.abc import Callable

from returns.result import Result

from arbutuscleat.core import InProgress, Refusal
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
    """Answers the other entry instances.

    Parameters
    ----------
    exchange : PeerExchange
        Answers the peers of this data centre.
    serve : callable
        Serves a request here, without forwarding it again.
    kept : AnswerCache
        Answers of finished requests.
    borrower : SlotBorrower
        Gives slots to peers.
    tracing : Tracing
        One span for each hop.
    in_progress : InProgress
        Counts the requests that a stop waits for.
    """

    def __init__(
        self,
        exchange: PeerExchange,
        serve: Callable[[Request], Result[Answer, Refusal]],
        kept: AnswerCache,
        borrower: SlotBorrower,
        tracing: Tracing,
        in_progress: InProgress,
    ):
        self._exchange = exchange
        self._serve = serve
        self._kept = kept
        self._borrower = borrower
        self._tracing = tracing
        self._in_progress = in_progress

    def share(self, request: ShareRequest) -> ShareAnswer:
        """Take what a peer says."""
        return self._exchange.share(request)

    def fetch(self, request: FetchRequest) -> FetchAnswer:
        """Answer a peer whose version is older."""
        return self._exchange.fetch(request)

    def borrow(self, request: BorrowRequest) -> BorrowAnswer:
        """Give slots to a peer that is short."""
        return self._borrower.lend(request)

    def forward(self, request: ForwardRequest) -> ForwardAnswer:
        """Serve a request that another data centre has forwarded."""
        span = self._tracing.span("forwarded", request.traceparent)
        with self._in_progress.one(), span:
            answer = to_forward_answer(self._serve(from_forward_request(request)))
        answer.request_id = request.request_id
        return answer

    def kept(self, request: KeptAnswerRequest) -> KeptAnswer:
        """Answer with a kept answer, if it is still held."""
        answer = self._kept.get(request.key)
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
