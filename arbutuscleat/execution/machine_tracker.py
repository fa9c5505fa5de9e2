"""Machine tracking: upkeep, idle and outage times from successive machine lists.

One list of the provider only shows the present state of the machines. How long a
machine has been idle or without a usable worker, and whether it has returned from its
upkeep, can only be derived from several lists.
"""

from collections.abc import Iterable, Mapping

from absl import logging

from arbutuscleat.core import Clock
from arbutuscleat.jobs import JobTable
from arbutuscleat.scheduling import WaitReason, WorkerView

from .machine_absences import MachineAbsences
from .provider import MachineState

UPKEEP_MARGIN_SECONDS = 0.5
"""Added to the duration of an upkeep. A machine that is still listed as up after this
time has returned, even if no list ever showed it as down."""

OUT_OF_SERVICE_SECONDS = 3.0
"""Time without a usable worker after which a machine provides no capacity. It is longer
than a move and the first answer of the new worker, and than most network failures."""

LONG_UPKEEP_FACTOR = 2.0
"""Multiple of the duration of an upkeep after which one that has not ended is logged
first, and again each time it has doubled."""


class MachineTracker:
    """Tracks which machines are under upkeep and how long machines are idle.

    Parameters
    ----------
    table : JobTable
        The replicated job table.
    clock : Clock
        Source of time.
    upkeep : float
        Duration of the upkeep of a machine, in seconds.
    absences : MachineAbsences
        The machines that no longer exist; observed before each update.
    """

    def __init__(
        self, table: JobTable, clock: Clock, upkeep: float, absences: MachineAbsences
    ):
        self._absences = absences
        self._table = table
        self._clock = clock
        self._upkeep = upkeep
        self._under_upkeep: dict[str, float] = {}
        self._seen_down: set[str] = set()
        self._log_at: dict[str, float] = {}
        """When each upkeep that has not ended is logged next, in monotonic seconds."""

        self._idle_since: dict[str, float] = {}
        self._unusable_since: dict[str, tuple[str, float]] = {}
        """Service of each machine without a usable worker, and since when."""

        self._out_of_service: set[str] = set()

    def reset(self) -> None:
        """Discard all observations, after this process gained or lost leadership."""
        self._under_upkeep = {}
        self._seen_down = set()
        self._log_at = {}
        self._idle_since = {}
        self._unusable_since = {}
        self._out_of_service = set()

    def update(
        self,
        by_name: Mapping[str, MachineState],
        views: Mapping[str, WorkerView],
        standby: str,
    ) -> None:
        """Update the state from a new list of the machines.

        Parameters
        ----------
        by_name : mapping of str to MachineState
            The machines by name.
        views : mapping of str to WorkerView
            The workers by id.
        standby : str
            The service whose machines are off and have no worker; empty if none.
        """
        now = self._clock.monotonic()
        for machine, state in by_name.items():
            if state.in_upkeep:  # A former leader may have ordered it.
                self._under_upkeep.setdefault(machine, now)
        self._update_upkeep(by_name)
        self._update_idle(by_name.values())
        serving = {
            machine: state
            for machine, state in by_name.items()
            if not standby or state.service_name != standby
        }
        self._update_unusable(serving, views)

    def record_upkeep(self, machine: str) -> None:
        """Record that the upkeep of a machine has been ordered."""
        self._under_upkeep[machine] = self._clock.monotonic()
        self._log_at.pop(machine, None)

    def under_upkeep(self) -> set[str]:
        """Return the machines that are under upkeep."""
        return set(self._under_upkeep)

    def upkeep_seconds(self) -> list[float]:
        """Return for how long each machine has been under upkeep, in seconds."""
        now = self._clock.monotonic()
        return [now - since for since in self._under_upkeep.values()]

    def is_under_upkeep(self, machine: str) -> bool:
        """Return whether a machine is under upkeep."""
        return machine in self._under_upkeep

    def idle_seconds(self, machine: str) -> float:
        """Return the seconds since a machine became idle; negative if it is busy."""
        now = self._clock.monotonic()
        return now - self._idle_since.get(machine, now + 1.0)

    def is_in_service(self, machine: str) -> bool:
        """Return whether a machine has a usable worker, or had one a moment ago.

        A machine that has just come into the pool of a service is in service, too.
        """
        return machine not in self._out_of_service

    def has_finite_runs(self, worker_id: str) -> bool:
        """Return whether a worker has runs that end by themselves."""
        with self._table.lock:
            record = self._table.workers.get(worker_id)
            if record is None:
                return False
            jobs = self._table.jobs
            return any(
                key.job_id in jobs and not jobs[key.job_id].steps[key.step].long_running
                for key in self._table.runs.get((worker_id, record.born_ms), {})
            )

    def cpu_in_use(self, worker_id: str) -> int:
        """Return the CPU reserved on a worker in thousandths of a core; 0 if idle.

        Every run counts as at least 1, so that a busy worker never shows 0.
        """
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
            if state is None:
                has_ended = self._absences.is_gone(machine)
            elif state.is_up:
                has_ended = machine in self._seen_down or now - since > min_seconds
            else:
                has_ended = False
                self._seen_down.add(machine)
            if has_ended:
                del self._under_upkeep[machine]
                self._seen_down.discard(machine)
                self._log_at.pop(machine, None)
            else:
                self._log_long_upkeep(machine, now - since, now)

    def _log_long_upkeep(self, machine: str, age: float, now: float) -> None:
        """Log a machine that keeps a place of its wave's cap for too long.

        It keeps the place: the provider may still be at work on it.
        """
        if age < LONG_UPKEEP_FACTOR * self._upkeep:
            return
        if now >= self._log_at.get(machine, 0.0):
            self._log_at[machine] = now + age
            logging.info("machine %s: still under upkeep after %.1f s", machine, age)

    def _update_idle(self, machines: Iterable[MachineState]) -> None:
        now = self._clock.monotonic()
        for item in machines:
            if self.cpu_in_use(item.worker_id):
                self._idle_since.pop(item.machine, None)
            else:
                self._idle_since.setdefault(item.machine, now)

    def _update_unusable(
        self, by_name: Mapping[str, MachineState], views: Mapping[str, WorkerView]
    ) -> None:
        now = self._clock.monotonic()
        for machine in list(self._unusable_since):
            if machine not in by_name:
                del self._unusable_since[machine]
                self._out_of_service.discard(machine)
        for machine, state in by_name.items():
            if machine in self._under_upkeep or _has_usable_worker(state, views):
                self._unusable_since.pop(machine, None)
                self._out_of_service.discard(machine)
                continue
            service_name, since = self._unusable_since.get(machine, ("", now))
            if service_name != state.service_name:
                self._unusable_since[machine] = (state.service_name, now)
                self._out_of_service.discard(machine)
            elif (
                now - since > OUT_OF_SERVICE_SECONDS
                and machine not in self._out_of_service
            ):
                self._out_of_service.add(machine)
                logging.info(
                    "machine %s of service %s: no usable worker for %.1f s",
                    machine,
                    service_name,
                    now - since,
                )


def _has_usable_worker(state: MachineState, views: Mapping[str, WorkerView]) -> bool:
    """Return whether the worker of a machine accepts runs, but for our own drains."""
    view = views.get(state.worker_id)
    if not state.is_up or view is None:
        return False
    if view.max_new_runs == 0 or view.rejects_starts:
        return False
    return view.usable or view.unusable_because is WaitReason.DRAINING
