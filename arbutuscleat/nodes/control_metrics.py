"""Gauges of a control node: its replicated log, its jobs and its workers."""

from collections import Counter

from arbutuscleat.consensus import Replica, Role
from arbutuscleat.core import Clock
from arbutuscleat.execution import Executor, MachineWaits
from arbutuscleat.jobs import SUSPECT_CRASHES, JobTable
from arbutuscleat.metrics import labelled
from arbutuscleat.scheduling import CopyReason

from .team_metrics import team_gauges


class ControlMetrics:
    """Gauges that are computed each time the metrics are read.

    Parameters
    ----------
    replica : Replica
        This process's member of the consensus group.
    table : JobTable
        The replicated state of that replica.
    executor : Executor
        Holds the sessions with workers; there are none unless this process leads.
    clock : Clock
        Source of time.
    machine_waits : MachineWaits, optional
        The services that wait for machines, if this process orders machines.
    """

    def __init__(
        self,
        replica: Replica,
        table: JobTable,
        executor: Executor,
        clock: Clock,
        machine_waits: MachineWaits | None = None,
    ):
        self._machine_waits = machine_waits
        self._replica = replica
        self._table = table
        self._executor = executor
        self._clock = clock

    def read(self) -> dict[str, float]:
        """Return the values of all gauges by labelled name."""
        status = self._replica.status()
        gauges: dict[str, float] = {
            "leads": status.role is Role.LEADER,
            "term": status.term,
            "commit_index": status.commit_index,
            "replica_failed": status.role is Role.FAILED,
        }
        with self._table.lock:
            gauges |= self._table_gauges()
            gauges |= self._wait_gauges()
            gauges |= team_gauges(self._table, self._executor.step_waits.waits())
            gauges |= self._copy_gauges()
            sessions = list(self._executor.sessions.values())
        gauges["worker_sessions"] = len(sessions)
        gauges["worker_sessions_silent"] = sum(
            not item.is_responsive() for item in sessions
        )
        if self._machine_waits is not None:
            gauges |= self._machine_waits.gauges
        return gauges

    def _table_gauges(self) -> dict[str, float]:
        table = self._table
        now_ms = self._clock.now_ms()
        gauges: dict[str, float] = {
            "configuration_version": table.config.version if table.config else -1,
            "jobs_held": len(table.jobs),
            "jobs_active": len(table.active),
            "cancelled_ids": len(table.cancelled_ids),
            "checkpoint_bytes": table.checkpoints.held_bytes,
            "workers": len(table.workers),
            "tasks_crashed": len(table.crash_counts.tasks),
            "tasks_suspected": sum(
                task.crashes >= SUSPECT_CRASHES
                for task in table.crash_counts.tasks.values()
            ),
        }
        queues = table.config.queues if table.config else {}
        waiting: Counter[str] = Counter({name: 0 for name in queues})
        oldest: Counter[str] = Counter({name: 0 for name in queues})
        for job in table.active.values():
            if not job.started and not job.record.repeat_count:
                found = table.queue_of(job)
                queue = job.record.queue if found is None else found.name
                waiting[queue] += 1
                wait_ms = now_ms - job.record.accepted_at_ms
                oldest[queue] = max(oldest[queue], wait_ms)
        for queue, count in waiting.items():
            gauges[labelled("jobs_waiting", queue=queue)] = count
            gauges[labelled("oldest_wait_seconds", queue=queue)] = oldest[queue] / 1000
        running: Counter[str] = Counter()
        for (worker_id, _), tasks in table.runs.items():
            worker = table.workers.get(worker_id)
            running[worker.service_name if worker else "unknown"] += len(tasks)
        for service, count in running.items():
            gauges[labelled("tasks_running", service=service)] = count
        return gauges

    def _copy_gauges(self) -> dict[str, float]:
        copies = self._executor.copies
        return {
            labelled(name, reason=reason): counts[reason]
            for name, counts in (
                ("copies_started", copies.started),
                ("copies_won", copies.won),
                ("copies_lost", copies.lost),
            )
            for reason in CopyReason
        }

    def _wait_gauges(self) -> dict[str, float]:
        """Return number and longest wait of the steps with waiting tasks."""
        now = self._clock.monotonic()
        steps: Counter[tuple[str, str]] = Counter()
        oldest: dict[tuple[str, str], float] = {}
        for wait in self._executor.step_waits.waits():
            kind = "long-running" if wait.is_long_running else "finite"
            reason = "not compared" if wait.reason is None else str(wait.reason)
            steps[kind, reason] += 1
            oldest[kind, reason] = max(
                oldest.get((kind, reason), 0.0), now - wait.since
            )
        gauges: dict[str, float] = {}
        for (kind, reason), count in steps.items():
            labels = {"kind": kind, "reason": reason}
            gauges[labelled("steps_waiting", **labels)] = count
            gauges[labelled("steps_waiting_oldest_seconds", **labels)] = oldest[
                kind, reason
            ]
        return gauges
