"""The planner: the reconcile loop of the leading control instance.

In each round it derives the commands that are due from the replicated state, and
proposes them to the log.  A control instance that does not lead proposes nothing.
"""

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

ROUND_INTERVAL_SECONDS = 0.25
PROPOSE_TIMEOUT_SECONDS = 2.0

Propose = Callable[[bytes, float], Result[object, ProposalError]]


@dataclass(frozen=True)
class PlannerParts:
    """The parts of the planner, each of which decides on one matter.

    Parameters
    ----------
    failure_detector : MemberFailureDetector
        Marks silent entry instances as suspect or down.
    mover : Mover
        Moves instances between pools.
    maintenance_controller : MaintenanceController
        Advances instances through maintenance.
    waves : WavePlanner
        Grants maintenance to instances.
    horizon : ClaimHorizon
        Advances the horizon before which claims are forgotten.
    """

    failure_detector: MemberFailureDetector
    mover: Mover
    maintenance_controller: MaintenanceController
    waves: WavePlanner
    horizon: ClaimHorizon


class Planner:
    """Runs the parts in rounds and proposes their commands.

    Parameters
    ----------
    machine : ControlStateMachine
        The replicated state.
    parts : PlannerParts
        The parts that decide which commands are due.
    leads : callable
        Returns whether this control instance leads and is up to date, which it is once
        an entry of its term is committed.
    led_since : callable
        Returns when it became leader, in monotonic seconds.
    propose : callable
        Proposes an encoded command with a timeout in seconds, and returns its result.
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
        """Start the thread that runs the rounds."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to stop, without waiting for it."""
        self._stopping.set()

    def round(self) -> int:
        """Run one round.

        Returns
        -------
        int
            Number of commands that were due.  The rest of a round is dropped when a
            proposal fails; what is still due is decided again in the next round.
        """
        if not self._leads():
            return 0
        with self._machine.changed:
            commands = self._decide()
        for command in commands:
            result = self._propose(encode(command), PROPOSE_TIMEOUT_SECONDS)
            if isinstance(result, Failure):
                logging.warning(
                    "planner: proposal failed: %s", result.failure().kind.value
                )
                break
        # The platform may be slow, so it is called without holding the lock.
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
        while not self._clock.sleep(self._stopping, ROUND_INTERVAL_SECONDS):
            self.round()
