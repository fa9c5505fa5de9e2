"""Channels that call the peer's handler directly, with faults and delays."""

import copy

from returns.result import Failure, Success

from arbutuscleat.wire import CallError, CallErrorKind, decode, encode


class FakeChannel:
    """One connection to a handler in the same process.

    `plan` may hold, for the next call only: "cut" (never sent), "lost" (handled,
    the answer lost), and `before`, `between`, `after`: callables run before the
    request arrives, while it is answered, and before the answer arrives.
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
        plan.get("before", _nothing)()
        handler = self._handler()
        if handler is None:
            return Failure(CallError(CallErrorKind.CONNECT, "not running"))
        answer = getattr(handler, method)(sent)
        kept = copy.deepcopy(answer)
        plan.get("between", _nothing)()
        plan.get("after", _nothing)()
        if self.is_cut or plan.get("lost"):
            return Failure(CallError(CallErrorKind.LOST, "lost"))
        return Success(kept)

    def close(self):
        pass


def _nothing():
    pass
