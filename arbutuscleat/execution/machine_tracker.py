"""Machine watches: what a leader has seen of machines over time.

The provider's list shows one moment; how long a machine has been idle, and whether it
is back from its upkeep, follows from several.
"""

from collections.abc import Iterable, Mapping

from arbutuscleat.core import Clock
from arbutuscleat.jobs import JobTable

from .provider import MachineState

UPKEEP_MARGIN_SECONDS = 0.5
"""Beyond the time that upkeep takes, after which a machine that the list shows as up
is back though the list never showed it as away."""


class MachineTracker:
    """Machines under upkeep and idle ones.

    Parameters
    ----------
    table : JobTable
        The replicated table.
    clock : Clock
        Source of time.
    upkeep : float
        Seconds that the upkeep of a machine takes.
    """

    def __init__(self, table: JobTable, clock: Clock, upkeep: float):
        self._table = table
        self._clock = clock
        self._upkeep = upkeep
        self._under_upkeep: dict[str, float] = {}
        self._seen_down: set[str] = set()
        self._idle_since: dict[str, float] = {}

    def reset(self) -> None:
        """Forget everything: this process has just begun to lead or no longer does."""
        self._under_upkeep = {}
        self._seen_down = set()
        self._idle_since = {}

    def update(self, by_name: Mapping[str, MachineState]) -> None:
        """Take a new list of the machines."""
        now = self._clock.monotonic()
        for machine, state in by_name.items():
            if state.in_upkeep:  # Perhaps by an order of a former leader.
                self._under_upkeep.setdefault(machine, now)
        self._update_upkeep(by_name)
        self._update_idle(by_name.values())

    def record_upkeep(self, machine: str) -> None:
        """Note that the upkeep of a machine has been ordered."""
        self._under_upkeep[machine] = self._clock.monotonic()

    def is_under_upkeep(self, machine: str) -> bool:
        """Return whether a machine is under upkeep."""
        return machine in self._under_upkeep

    def idle_seconds(self, machine: str) -> float:
        """Return how long nothing has run on a machine; negative while it does."""
        now = self._clock.monotonic()
        return now - self._idle_since.get(machine, now + 1.0)

    def cpu_in_use(self, worker_id: str) -> int:
        """Return the processor in use on a worker, 0 when nothing runs there."""
        with self._table.lock:
            record = self._table.workers.get(worker_id)
            if record is None:
                return 0
            runs = self._table.runs.get((worker_id, record.born_ms), {})
            used = 0
            for key in runs:
                job = self._table.jobs.get(key.job_id)
                used += 1 if job is None else max(1, job.steps[key.step].cpu)
            return used

    def _update_upkeep(self, by_name: Mapping[str, MachineState]) -> None:
        now = self._clock.monotonic()
        min_seconds = self._upkeep + UPKEEP_MARGIN_SECONDS
        for machine, since in list(self._under_upkeep.items()):
            state = by_name.get(machine)
            if state is not None and not state.is_up:
                self._seen_down.add(machine)
            elif (
                state is None or machine in self._seen_down or now - since > min_seconds
            ):
                del self._under_upkeep[machine]
                self._seen_down.discard(machine)

    def _update_idle(self, machines: Iterable[MachineState]) -> None:
        now = self._clock.monotonic()
        for item in machines:
            if self.cpu_in_use(item.worker_id):
                self._idle_since.pop(item.machine, None)
            else:
                self._idle_since.setdefault(item.machine, now)
