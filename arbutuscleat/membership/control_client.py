"""The client that entry instances use to call the leading control instance."""

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
    """Proposes commands to the control instance that currently leads.

    Every command carries its own id, so a proposal whose answer was lost can be
    retried: the state machine returns the result of the first attempt.

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
        """Propose `command` until it is committed, and return its result.

        Parameters
        ----------
        command : Command
            The command to propose.
        timeout : float
            Total time for all attempts, in seconds.

        Returns
        -------
        Result of ProposeAnswer
            Fails with UNKNOWN if an attempt may have been committed, and with
            NO_QUORUM if none was proposed.
        """
        deadline = Deadline.after(self._clock, timeout)
        maybe_sent = False
        while not deadline.expired():
            request = ProposeRequest(
                command=command, timeout_ms=int(deadline.remaining() * 1000)
            )
            name = self._leader
            seconds = min(deadline.remaining(), ATTEMPT_TIMEOUT_SECONDS)
            answer = self._channels[name].call("propose", request, seconds)
            if isinstance(answer, Success):
                proposed = answer.unwrap()
                if proposed.status == Status.OK:
                    return Success(proposed)
                maybe_sent = maybe_sent or proposed.status == Status.UNKNOWN
                self._switch_leader(name, proposed.leader)
            else:
                maybe_sent = maybe_sent or answer.failure().may_have_been_sent()
                self._switch_leader(name, "")
            self._clock.sleep(self._pause, RETRY_INTERVAL_SECONDS)
        kind = ControlErrorKind.UNKNOWN if maybe_sent else ControlErrorKind.NO_QUORUM
        return Failure(ControlError(kind, "no control instance leads a quorum"))

    def status(
        self, change_id: str, timeout: float
    ) -> Result[StatusAnswer, ControlError]:
        """Return the status of the leading control instance.

        Parameters
        ----------
        change_id : str
            Change whose result the answer includes; may be empty.
        timeout : float
            Total time for all attempts, in seconds.
        """
        return self._call_leader("status", StatusRequest(change_id=change_id), timeout)

    def lookup(
        self, key: str, timeout: float
    ) -> Result[ClaimLookupAnswer, ControlError]:
        """Return the claim of a key according to the leading control instance.

        Parameters
        ----------
        key : str
            The idempotency key.
        timeout : float
            Total time for all attempts, in seconds.
        """
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
        """Close the connections to all control instances."""
        for pool in self._channels.values():
            pool.close()

    def _switch_leader(self, tried: str, hint: str) -> None:
        """Switch to the hinted leader, or to the next control instance in turn."""
        if hint in self._channels and hint != tried:
            self._leader = hint
        elif self._leader == tried:
            position = self._names.index(tried) + 1
            self._leader = self._names[position % len(self._names)]
