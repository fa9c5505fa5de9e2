"""Machine moves: which machines are drained for a move, and when a move is given up.

A worker is drained from the plan of a move until its machine leaves. While no order can
be sent or none is confirmed, it would stay drained although tasks wait for it, so each
move has a time limit. The machine then has a pause before it may be planned anew.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from absl import logging

from arbutuscleat.core import Clock

from .machine_pauses import (
    ORDER_TIMEOUT_SECONDS,
    PAUSE_SECONDS,
    REFUSED_PAUSE_SECONDS,
    MachinePauses,
)
from .machine_tracker import MachineTracker
from .provider import MachineOrderOutcome, MachineState

MOVE_TIMEOUT_SECONDS = 10.0
"""How long a machine that is down counts as moving: several times a move."""

BUSY_PAUSE_SECONDS = 0.4
"""Pause of a machine without a worker after "busy": another one is tried before it."""


@dataclass(slots=True)
class MachineMove:
    """A move that is planned or under way.

    Parameters
    ----------
    service_name : str
        The target service.
    planned_at : float
        Monotonic time at which the move was planned, in seconds.
    is_under_way : bool
        Whether an order for it may have been executed.
    """

    service_name: str
    planned_at: float
    is_under_way: bool = False


class MachineMoves:
    """Tracks the moves of machines until they arrive or are given up.

    Parameters
    ----------
    clock : Clock
        Source of time.
    tracker : MachineTracker
        Reports whether machines are idle.
    pauses : MachinePauses
        Machines of which no move is planned.
    """

    def __init__(self, clock: Clock, tracker: MachineTracker, pauses: MachinePauses):
        self._clock = clock
        self._tracker = tracker
        self._moves: dict[str, MachineMove] = {}
        self._pauses = pauses

    def reset(self) -> None:
        """Discard all moves."""
        self._moves = {}

    def get(self, machine: str) -> MachineMove | None:
        """Return the move of a machine, or None if there is none."""
        return self._moves.get(machine)

    def machines(self) -> set[str]:
        """Return the machines that are to be drained for a move, or are moving."""
        return set(self._moves)

    def moves(self) -> list[MachineMove]:
        """Return the moves that are planned or under way."""
        return list(self._moves.values())

    def may_plan(self, machine: str) -> bool:
        """Return whether a move of a machine may be planned now."""
        return machine not in self._moves and not self._pauses.is_paused(machine)

    def is_cancellable(self, machine: str) -> bool:
        """Return whether the move of a machine has not been ordered yet."""
        move = self._moves.get(machine)
        return move is not None and not move.is_under_way

    def cancel(self, machine: str) -> None:
        """Discard a move that has not been ordered."""
        move = self._moves.pop(machine)
        logging.info(
            "move of machine %s to service %s cancelled: it is needed where it is",
            machine,
            move.service_name,
        )

    def plan(self, machine: str, service_name: str) -> None:
        """Record a planned move."""
        self._moves[machine] = MachineMove(service_name, self._clock.monotonic())

    def update(self, by_name: Mapping[str, MachineState]) -> None:
        """Discard the moves that have ended, or that have to be given up.

        Parameters
        ----------
        by_name : mapping of str to MachineState
            All machines by name, from a new list.
        """
        now = self._clock.monotonic()
        for machine, move in list(self._moves.items()):
            state = by_name.get(machine)
            if state is None or state.service_name == move.service_name:
                del self._moves[machine]
            elif not state.is_up:
                age = now - move.planned_at
                if not move.is_under_way or age >= MOVE_TIMEOUT_SECONDS:
                    del self._moves[machine]  # It went down for another reason.
            elif now - move.planned_at >= ORDER_TIMEOUT_SECONDS and (
                # A machine without a worker may wait: nothing is drained.
                move.is_under_way or state.worker_id
            ):
                self._give_up(machine, "not executed", PAUSE_SECONDS)
            elif self._tracker.cpu_in_use(state.worker_id):
                del self._moves[machine]  # A run has started there meanwhile.

    def record_outcome(
        self, state: MachineState, outcome: MachineOrderOutcome | None
    ) -> None:
        """Record the outcome of an order, or None if it was not sent.

        A machine without a worker that is busy has a short pause: nothing is drained,
        and a service waits for it.
        """
        machine = state.machine
        if outcome is MachineOrderOutcome.REFUSED:
            self._give_up(machine, "refused", REFUSED_PAUSE_SECONDS)
        elif outcome is MachineOrderOutcome.BUSY:
            pause_seconds = PAUSE_SECONDS if state.worker_id else BUSY_PAUSE_SECONDS
            self._give_up(machine, "the machine is busy", pause_seconds)
        elif outcome in (MachineOrderOutcome.DONE, MachineOrderOutcome.UNKNOWN):
            self._moves[machine].is_under_way = True

    def _give_up(self, machine: str, reason: str, pause_seconds: float) -> None:
        now = self._clock.monotonic()
        move = self._moves.pop(machine)
        self._pauses.begin(machine, pause_seconds)
        logging.info(
            "move of machine %s to service %s given up after %.1f s: %s",
            machine,
            move.service_name,
            now - move.planned_at,
            reason,
        )
