"""An endpoint client without a network, with injected faults."""

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
    """Answers requests, and counts the runs of each key.

    Attributes
    ----------
    faults : list of DispatchErrorKind or None
        One item is taken from the front for each request; None is no fault.  A request
        that fails has run, unless the fault is NOT_SENT.
    runs : Counter
        Number of runs by idempotency key, or by path for requests without a key.
    instances : list of str
        Ids of the instances that requests were sent to, in order.
    before_answer : callable
        Called with each request before its answer or failure is returned.
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
