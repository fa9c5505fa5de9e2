"""A channel that calls the peer's handler in the same process, with faults."""

import copy

from returns.result import Failure, Success

from arbutuscleat.wire import CallError, CallErrorKind, decode, encode


class FakeChannel:
    """A connection to a handler in the same process.

    Parameters
    ----------
    handler : callable
        Returns the handler, or None while its process is not running.

    Attributes
    ----------
    is_cut : bool
        Whether every call fails: before the request is sent, or, if set during the
        call, after it was handled.
    plan : dict
        Faults and hooks for the next call only.  A true value of "cut" fails the call
        before the request is sent; a true value of "lost" handles the request and
        loses the answer.  "before", "between" and "after" hold callables without
        arguments: "before" runs before the handler, the other two run in this order
        between the handler's answer and its delivery.
    calls : int
        Number of calls so far.
    """

    def __init__(self, handler):
        self._handler = handler
        self.is_cut = False
        self.plan = {}
        self.calls = 0

    def call(self, method, request, timeout):
        plan, self.plan = self.plan, {}
        self.calls += 1
        if self.is_cut or plan.get("cut"):
            return Failure(CallError(CallErrorKind.CONNECT, "cut"))
        request.request_id = self.calls
        sent = decode(type(request), encode(request))
        plan.get("before", _no_op)()
        handler = self._handler()
        if handler is None:
            return Failure(CallError(CallErrorKind.CONNECT, "not running"))
        answer = getattr(handler, method)(sent)
        # The hooks may change state that the answer refers to.
        snapshot = copy.deepcopy(answer)
        plan.get("between", _no_op)()
        plan.get("after", _no_op)()
        if self.is_cut or plan.get("lost"):
            return Failure(CallError(CallErrorKind.LOST, "lost"))
        return Success(snapshot)

    def close(self):
        pass


def _no_op():
    pass
