"""The planner: the task of the leading control instance that decides by itself."""

import threading
from collections.abc import Callable

from absl import logging
from returns.result import Failure, Result

from arbutuscleat.consensus import ProposalError
from arbutuscleat.core import Clock
from arbutuscleat.state import ControlMachine
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen.ttypes import Command

from .claim_horizon import ClaimHorizon
from .member_watch import MemberWatch
from .mover import Mover

ROUND_SECONDS = 0.25
PROPOSE_SECONDS = 2.0

Propose = Callable[[bytes, float], Result[object, ProposalError]]


class Planner:
    """Looks at the state in rounds and proposes what is due.

    Parameters
    ----------
    machine : ControlMachine
        The replicated state.
    watch, mover, horizon
        What decides.
    leads : callable
        Tells whether this control instance leads and is up to date.
    led_since : callable
        Returns when it became leader.
    propose : callable
        Puts a command through the log.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        machine: ControlMachine,
        watch: MemberWatch,
        mover: Mover,
        horizon: ClaimHorizon,
        leads: Callable[[], bool],
        led_since: Callable[[], float],
        propose: Propose,
        clock: Clock,
    ):
        self._machine = machine
        self._watch = watch
        self._mover = mover
        self._horizon = horizon
        self._leads = leads
        self._led_since = led_since
        self._propose = propose
        self._clock = clock
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="planner", daemon=True)

    def start(self) -> None:
        """Start the task."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the task."""
        self._stopping.set()

    def round(self) -> int:
        """Decide once; return the number of commands proposed."""
        if not self._leads():
            return 0
        with self._machine.changed:
            commands = self._decide()
        for command in commands:
            result = self._propose(encode(command), PROPOSE_SECONDS)
            if isinstance(result, Failure):
                logging.warning("not proposed: %s", result.failure().kind.value)
                break
        return len(commands)

    def _decide(self) -> list[Command]:
        configuration = self._machine.configuration
        return [
            *self._watch.decide(configuration, self._led_since()),
            *self._mover.decide(configuration),
            *self._horizon.decide(),
        ]

    def _run(self) -> None:
        while not self._clock.sleep(self._stopping, ROUND_SECONDS):
            self.round()
