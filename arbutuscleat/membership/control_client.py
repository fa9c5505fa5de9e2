"""The way from an entry instance to the leading control instance."""

import threading
from collections.abc import Sequence
from typing import Any

from returns.result import Failure, Result, Success

from arbutuscleat.core import Clock, Deadline
from arbutuscleat.wire import ChannelPool
from arbutuscleat.wire.gen.ttypes import (
    ClaimLookup,
    ClaimLookupAnswer,
    Command,
    ProposeAnswer,
    ProposeRequest,
    Status,
    StatusAnswer,
    StatusRequest,
)

from .control_error import ControlError, ControlErrorKind

RETRY_INTERVAL_SECONDS = 0.05
ATTEMPT_TIMEOUT_SECONDS = 2.0


class ControlClient:
    """Proposes commands to whichever control instance leads.

    Commands carry ids of their own, so a proposal whose answer was lost is sent
    again: the state machine gives the first result.

    Parameters
    ----------
    channels : mapping of str to ChannelPool
        The control instances by node id.
    clock : Clock
        Source of time.
    """

    def __init__(self, channels: dict[str, ChannelPool], clock: Clock):
        self._channels = channels
        self._names: Sequence[str] = list(channels)
        self._clock = clock
        self._leader = self._names[0]
        self._pause = threading.Event()

    def propose(
        self, command: Command, timeout: float
    ) -> Result[ProposeAnswer, ControlError]:
        """Put `command` through the log and return its result."""
        deadline = Deadline.after(self._clock, timeout)
        may_be_sent = False
        while not deadline.expired():
            request = ProposeRequest(
                command=command, timeout_ms=int(deadline.remaining() * 1000)
            )
            name = self._leader
            seconds = min(deadline.remaining(), ATTEMPT_TIMEOUT_SECONDS)
            answer = self._channels[name].call("propose", request, seconds)
            if isinstance(answer, Success):
                found = answer.unwrap()
                if found.status == Status.OK:
                    return Success(found)
                may_be_sent = may_be_sent or found.status == Status.UNKNOWN
                self._switch_leader(name, found.leader)
            else:
                may_be_sent = may_be_sent or answer.failure().sent()
                self._switch_leader(name, "")
            self._clock.sleep(self._pause, RETRY_INTERVAL_SECONDS)
        kind = ControlErrorKind.UNKNOWN if may_be_sent else ControlErrorKind.NO_QUORUM
        return Failure(ControlError(kind, "no control instance leads a quorum"))

    def status(
        self, change_id: str, timeout: float
    ) -> Result[StatusAnswer, ControlError]:
        """Return the status of the leading control instance."""
        return self._call_leader("status", StatusRequest(change_id=change_id), timeout)

    def lookup(
        self, key: str, timeout: float
    ) -> Result[ClaimLookupAnswer, ControlError]:
        """Return the claim of a key as the leading control instance has it."""
        request = ClaimLookup(key=key, timeout_ms=int(timeout * 1000))
        return self._call_leader("lookup", request, timeout)

    def _call_leader(self, method: str, request: Any, timeout: float) -> Result:
        deadline = Deadline.after(self._clock, timeout)
        while not deadline.expired():
            name = self._leader
            seconds = min(deadline.remaining(), ATTEMPT_TIMEOUT_SECONDS)
            answer = self._channels[name].call(method, request, seconds)
            if isinstance(answer, Success) and answer.unwrap().status == Status.OK:
                return answer
            hint = answer.unwrap().leader if isinstance(answer, Success) else ""
            self._switch_leader(name, hint)
            self._clock.sleep(self._pause, RETRY_INTERVAL_SECONDS)
        detail = "no control instance leads a quorum"
        return Failure(ControlError(ControlErrorKind.NO_QUORUM, detail))

    def close(self) -> None:
        """Close the connections."""
        for pool in self._channels.values():
            pool.close()

    def _switch_leader(self, tried: str, hint: str) -> None:
        """Turn to the hinted leader, or to the next instance in the row."""
        if hint in self._channels and hint != tried:
            self._leader = hint
        elif self._leader == tried:
            position = self._names.index(tried) + 1
            self._leader = self._names[position % len(self._names)]
