"""Emulated machine provider, which executes orders immediately and records them."""

import threading
from collections.abc import Callable

from arbutuscleat.execution import MachineOrderOutcome, MachineState, MaySend, Provider


class ProviderModel(Provider):
    """A healthy provider.

    Parameters
    ----------
    machines : list of MachineState
        The initial machines.
    replace_worker : callable
        Called with a machine and a service; replaces the worker of the machine by one
        of the service, and returns the id of the new worker.
    """

    def __init__(
        self,
        machines: list[MachineState],
        replace_worker: Callable[[str, str], str],
    ):
        self._lock = threading.Lock()
        self._machines = {item.machine: item for item in machines}
        self._replace_worker = replace_worker
        self.upkeeps: list[tuple[str, int]] = []
        self.moves: list[tuple[str, str]] = []

    def machines(self) -> list[MachineState]:
        """Return all machines."""
        with self._lock:
            return list(self._machines.values())

    def note_order(self, machine: str, holder: str, fence: int) -> None:
        """Do nothing; called with the sender of each order, before it is executed."""

    def upkeep(
        self, machine: str, wave: int, fence: int, may_send: MaySend = lambda: True
    ) -> MachineOrderOutcome:
        """Replace the worker of a machine, once for each wave."""
        if not may_send():
            return MachineOrderOutcome.LATER
        with self._lock:
            state = self._machines.get(machine)
            if state is None:
                return MachineOrderOutcome.REFUSED
            if (machine, wave) not in self.upkeeps:
                self.upkeeps.append((machine, wave))
                self._replace(state, state.service_name)
            return MachineOrderOutcome.DONE

    def move(
        self,
        machine: str,
        service_name: str,
        fence: int,
        may_send: MaySend = lambda: True,
    ) -> MachineOrderOutcome:
        """Replace the worker of a machine by one in another pool."""
        if not may_send():
            return MachineOrderOutcome.LATER
        with self._lock:
            state = self._machines.get(machine)
            if state is None:
                return MachineOrderOutcome.REFUSED
            if state.service_name != service_name:
                self.moves.append((machine, service_name))
                self._replace(state, service_name)
            return MachineOrderOutcome.DONE

    def _replace(self, state: MachineState, service_name: str) -> None:
        self._machines[state.machine] = MachineState(
            machine=state.machine,
            service_name=service_name,
            is_up=True,
            worker_id=self._replace_worker(state.machine, service_name),
            labels=state.labels,
            cpu=state.cpu,
        )
