"""The planner: the task of the leading control instance that decides by itself."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from absl import logging
from returns.result import Failure, Result

from arbutuscleat.consensus import ProposalError
from arbutuscleat.core import Clock
from arbutuscleat.state import ControlStateMachine
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen.ttypes import Command

from .claim_horizon import ClaimHorizon
from .maintenance_controller import MaintenanceController
from .member_failure_detector import MemberFailureDetector
from .mover import Mover
from .wave_planner import WavePlanner

ROUND_SECONDS = 0.25
PROPOSE_SECONDS = 2.0

Propose = Callable[[bytes, float], Result[object, ProposalError]]


@dataclass(frozen=True)
class PlannerParts:
    """What decides, each on one matter."""

    failure_detector: MemberFailureDetector
    mover: Mover
    maintenance_controller: MaintenanceController
    waves: WavePlanner
    horizon: ClaimHorizon


class Planner:
    """Looks at the state in rounds and proposes what is due.

    Parameters
    ----------
    machine : ControlStateMachine
        The replicated state.
    parts : PlannerParts
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
        machine: ControlStateMachine,
        parts: PlannerParts,
        leads: Callable[[], bool],
        led_since: Callable[[], float],
        propose: Propose,
        clock: Clock,
    ):
        self._machine = machine
        self._parts = parts
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
        # The platform may be slow, so it is asked with no lock held.
        self._parts.maintenance_controller.request_reboots(self._machine.configuration)
        return len(commands)

    def _decide(self) -> list[Command]:
        configuration = self._machine.configuration
        parts = self._parts
        return [
            *parts.failure_detector.decide(configuration, self._led_since()),
            *parts.mover.decide(configuration),
            *parts.maintenance_controller.decide(configuration),
            *parts.waves.decide(configuration),
            *parts.horizon.decide(),
        ]

    def _run(self) -> None:
        while not self._clock.sleep(self._stopping, ROUND_SECONDS):
            self.round()
