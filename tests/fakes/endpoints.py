"""Endpoints that answer as the test says."""

import threading
from collections import Counter

from returns.result import Failure, Success

from arbutuscleat.routing import (
    Answer,
    DispatchError,
    DispatchErrorKind,
    EndpointClient,
)


class FakeEndpoints(EndpointClient):
    """Counts every run of every key; fails as `faults` says, from its front.

    A fault is a `DispatchErrorKind`; all but NOT_SENT have run the request.
    """

    def __init__(self):
        self.faults = []
        self.runs = Counter()
        self.instances = []
        self.before_answer = lambda req: None
        self._lock = threading.Lock()

    def send(self, instance, req, request_id, timeout):
        with self._lock:
            fault = self.faults.pop(0) if self.faults else None
            self.instances.append(instance.instance_id)
            if fault is not DispatchErrorKind.NOT_SENT:
                self.runs[req.key or req.path] += 1
        self.before_answer(req)
        if fault is not None:
            return Failure(DispatchError(fault, "injected"))
        return Success(Answer(200, (), req.body or b"done", instance.instance_id))

    def close(self):
        pass
