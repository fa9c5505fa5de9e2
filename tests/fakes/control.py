"""A control client without a network or consensus."""

import threading

from returns.result import Failure, Success

from arbutuscleat.membership import ControlError, ControlErrorKind
from arbutuscleat.state import ControlStateMachine
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen.ttypes import (
    ChangeResult,
    ClaimLookupAnswer,
    ClaimRecord,
    ProposeAnswer,
    Status,
    StatusAnswer,
)


class FakeControl:
    """Applies each proposal to a state machine immediately, unless a fault is set.

    Attributes
    ----------
    machine : ControlStateMachine
        State to which the proposals are applied.
    faults : list of str or None
        One item is taken from the front for each call: "no-quorum" (not proposed),
        "lost" (applied, but the answer is lost), "dropped" (not applied, and the answer
        is lost), or None for no fault.  A lookup fails with any fault.
    commands : list of Command
        The applied commands, in order.
    """

    def __init__(self):
        self.machine = ControlStateMachine()
        self.faults = []
        self.commands = []
        self._index = 0
        self._lock = threading.Lock()

    def propose(self, command, timeout):
        with self._lock:
            fault = self.faults.pop(0) if self.faults else None
            if fault == "no-quorum":
                return Failure(ControlError(ControlErrorKind.NO_QUORUM, "injected"))
            value = None
            if fault != "dropped":
                self._index += 1
                self.commands.append(command)
                value = self.machine.apply(self._index, encode(command))
            if fault in ("lost", "dropped"):
                return Failure(ControlError(ControlErrorKind.UNKNOWN, "injected"))
            answer = ProposeAnswer(status=Status.OK)
            if isinstance(value, ChangeResult):
                answer.change = value
            elif isinstance(value, ClaimRecord):
                answer.claim = value
            return Success(answer)

    def lookup(self, key, timeout):
        fault = self.faults.pop(0) if self.faults else None
        if fault is not None:
            return Failure(ControlError(ControlErrorKind.NO_QUORUM, "injected"))
        return Success(ClaimLookupAnswer(claim=self.machine.claim(key)))

    def status(self, change_id, timeout):
        return Success(
            StatusAnswer(
                status=Status.OK,
                node_id="control-1",
                leader="control-1",
                term=1,
                commit_index=self._index,
                version=self.machine.configuration.version,
                entries=[],
                change=self.machine.change_result(change_id),
            )
        )
