"""Machine waits: machines that services need and do not get, as gauges and log lines.

A service waits for a machine for as long as none can be moved to it, or as long as a
move does not end. Neither shows in the reasons of its waiting tasks, which name the
limits of the workers that it has.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from absl import logging

from arbutuscleat.metrics import labelled
from arbutuscleat.scheduling import UnplacedTasks

from .machine_moves import MachineMove

LOG_AFTER_SECONDS = 2.0
"""Duration after which a wait is logged first, and again each time it has doubled."""

Group = tuple[str, int, int]
"""A job, occurrence and step."""


class MachineWaits:
    """Observes services that wait for machines; any thread may read the gauges."""

    def __init__(self) -> None:
        self._since: dict[Group, float] = {}
        self._log_at: dict[Group, float] = {}
        self.gauges: Mapping[str, float] = {}
        """Values of the latest observation by labelled name."""

    def reset(self) -> None:
        """Discard all observations, after this process gained or lost leadership."""
        self._since = {}
        self._log_at = {}
        self.gauges = {}

    def observe(
        self,
        unmet: Iterable[tuple[str, UnplacedTasks]],
        moves: Iterable[MachineMove],
        out_of_service: Iterable[str],
        drain_seconds: Sequence[float],
        upkeep_seconds: Sequence[float],
        now: float,
    ) -> None:
        """Update the gauges, and log the waits that last.

        Parameters
        ----------
        unmet : iterable of tuple of str and UnplacedTasks
            Tasks that need a machine that is not there, by name of the service.
        moves : iterable of MachineMove
            The moves that are planned or under way.
        out_of_service : iterable of str
            Service of each machine without a usable worker.
        drain_seconds : sequence of float
            For how long each draining worker has been draining, in seconds.
        upkeep_seconds : sequence of float
            For how long each machine under upkeep has been so, in seconds.
        now : float
            Monotonic time in seconds.
        """
        unmet = list(unmet)
        groups = {tasks.group for _, tasks in unmet}
        self._since = {group: self._since.get(group, now) for group in groups}
        self._log_at = {k: v for k, v in self._log_at.items() if k in groups}
        gauges: dict[str, float] = {
            "workers_draining": len(drain_seconds),
            "workers_draining_oldest_seconds": max(drain_seconds, default=0.0),
            "machines_in_upkeep": len(upkeep_seconds),
            "machines_in_upkeep_oldest_seconds": max(upkeep_seconds, default=0.0),
        }
        for service_name, tasks in unmet:
            age = now - self._since[tasks.group]
            _add(gauges, "tasks_without_machine", service_name, tasks.count, age)
            self._log_if_due(service_name, tasks, age, now)
        for move in moves:
            age = now - move.planned_at
            _add(gauges, "machines_moving", move.service_name, 1, age)
        for service_name, count in Counter(out_of_service).items():
            gauges[labelled("machines_out_of_service", service=service_name)] = count
        self.gauges = gauges

    def _log_if_due(
        self, service_name: str, tasks: UnplacedTasks, age: float, now: float
    ) -> None:
        log_at = self._log_at.get(tasks.group, 0.0)
        if age < LOG_AFTER_SECONDS or now < log_at:
            return
        self._log_at[tasks.group] = now + age
        step = tasks.step
        logging.info(
            "service %s: no machine for %.1f s for job %s, occurrence %d, step %d: "
            "%d tasks with CPU %d, %d MB, %d accelerators, label '%s' fit nowhere",
            service_name,
            age,
            *tasks.group,
            tasks.count,
            step.cpu,
            step.mem_mb,
            step.gpu,
            step.required_label or "",
        )


def _add(
    gauges: dict[str, float], name: str, service_name: str, count: int, age: float
) -> None:
    """Add to a number of waits, and raise the longest of them, in seconds."""
    number = labelled(name, service=service_name)
    oldest = labelled(f"{name}_oldest_seconds", service=service_name)
    gauges[number] = gauges.get(number, 0) + count
    gauges[oldest] = max(gauges.get(oldest, 0.0), age)
