"""What a control node tells of itself: its log, its jobs and its workers."""

from collections import Counter

from arbutuscleat.consensus import Replica, Role
from arbutuscleat.core import Clock
from arbutuscleat.execution import Executor
from arbutuscleat.jobs import JobTable
from arbutuscleat.metrics import labelled


class ControlMetrics:
    """Gauges that are worked out when the metrics are shown.

    Parameters
    ----------
    replica : Replica
        This process's member of the consensus group.
    table : JobTable
        Its state.
    executor : Executor
        Its sessions with workers; there are none unless it leads.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, replica: Replica, table: JobTable, executor: Executor, clock: Clock
    ):
        self._replica = replica
        self._table = table
        self._executor = executor
        self._clock = clock

    def read(self) -> dict[str, float]:
        """Return all gauges by name and labels."""
        status = self._replica.status()
        found: dict[str, float] = {
            "leads": status.role is Role.LEADER,
            "term": status.term,
            "commit_index": status.commit_index,
        }
        with self._table.lock:
            found |= self._read_table()
            sessions = list(self._executor.sessions.values())
        found["worker_sessions"] = len(sessions)
        found["worker_sessions_silent"] = sum(
            not item.is_responsive() for item in sessions
        )
        return found

    def _read_table(self) -> dict[str, float]:
        table = self._table
        now_ms = self._clock.now_ms()
        found: dict[str, float] = {
            "configuration_version": table.config.version if table.config else -1,
            "jobs_held": len(table.jobs),
            "jobs_active": len(table.active),
            "workers": len(table.workers),
        }
        queues = table.config.queues if table.config else {}
        waiting: Counter[str] = Counter({name: 0 for name in queues})
        oldest: Counter[str] = Counter({name: 0 for name in queues})
        for job in table.active.values():
            if not job.started and not job.record.repeat_count:
                queue = job.record.queue
                waiting[queue] += 1
                wait_ms = now_ms - job.record.accepted_at_ms
                oldest[queue] = max(oldest[queue], wait_ms)
        for queue, count in waiting.items():
            found[labelled("jobs_waiting", queue=queue)] = count
            found[labelled("oldest_wait_seconds", queue=queue)] = oldest[queue] / 1000
        running: Counter[str] = Counter()
        for (worker_id, _), tasks in table.runs.items():
            worker = table.workers.get(worker_id)
            running[worker.service_name if worker else "unknown"] += len(tasks)
        for service, count in running.items():
            found[labelled("tasks_running", service=service)] = count
        return found
