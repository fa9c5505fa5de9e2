"""Candidates: the jobs that a plan considers, with today's rank of each.

Jobs with long-running tasks come first, by their age. Then come jobs that can still
meet their objective before those that are late, by the priority of their queue and the
latest time at which they have to start.
"""

from collections.abc import Container, Mapping
from dataclasses import dataclass
from operator import attrgetter

from arbutuscleat.jobs import JobState, JobTable, Queue

from .objective import critical_path_ms, objective_at_ms
from .team_usage import team_name_of

START_DELAY_MS = 20
"""Delay of occurrences after their due time, to tolerate small clock differences."""

Rank = tuple[int, int, int, int]
"""Whether a job is finite, whether it is late, its queue's priority, and its latest
start, or its time of acceptance if it has long-running tasks."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """One occurrence of a job that is due and not done.

    Parameters
    ----------
    rank : tuple of four int
        The order of the job; the smallest comes first.
    job : JobState
        The job.
    occurrence : int
        Index of the occurrence.
    service : str
        The service whose workers run its tasks.
    team : str
        Name of its team, or `NO_TEAM`.
    is_over_rate : bool
        Whether the team had already sent more jobs than it may expect to be served.
    """

    rank: Rank
    job: JobState
    occurrence: int
    service: str
    team: str
    is_over_rate: bool

    def late_by_ms(self, now_ms: int) -> int:
        """Return how long ago the latest start was; 0 if it is to come."""
        _, is_late, _, latest_ms = self.rank
        return now_ms - latest_ms if is_late else 0


@dataclass(frozen=True, slots=True)
class _LatestStart:
    """When a job has to start at the latest, from its first step that is not done."""

    queue: Queue | None
    first: int
    at_ms: int


class CandidateFinder:
    """Finds the candidates of each plan; remembers latest starts from the last one."""

    def __init__(self) -> None:
        self._latest_starts: dict[tuple[str, int], _LatestStart] = {}

    def find(
        self, table: JobTable, services: Container[str], now_ms: int
    ) -> tuple[list[Candidate], int | None]:
        """Return the candidates by rank, and when the next occurrence is due.

        Parameters
        ----------
        table : JobTable
            The job table; the caller holds its lock.
        services : container of str
            The services that have usable workers.
        now_ms : int
            Current Unix time in milliseconds.
        """
        found = []
        next_due_ms = None
        former, self._latest_starts = self._latest_starts, {}
        for job in table.active.values():
            queue = table.queue_of(job)
            service = table.service_of(job)
            serves = service in services
            for occurrence in range(job.occurrence_count()):
                due_ms = job.due_at_ms(occurrence)
                if job.record.repeat_count:
                    due_ms += START_DELAY_MS
                if due_ms > now_ms and job.record.repeat_count:
                    if next_due_ms is None or due_ms < next_due_ms:
                        next_due_ms = due_ms
                    break
                if not serves or job.is_occurrence_done(occurrence):
                    continue
                rank = self._rank(job, occurrence, queue, now_ms, former)
                team = team_name_of(job.record)
                is_over_rate = bool(job.record.over_rate)
                found.append(
                    Candidate(rank, job, occurrence, service, team, is_over_rate)
                )
        found.sort(key=attrgetter("rank"))
        return found, next_due_ms

    def _rank(
        self,
        job: JobState,
        occurrence: int,
        queue: Queue | None,
        now_ms: int,
        former: Mapping[tuple[str, int], _LatestStart],
    ) -> Rank:
        """Return the rank of a job; `former` are the latest starts of the last plan."""
        if job.has_long_running_step():
            return (0, 0, 0, job.record.accepted_at_ms)
        first = next(
            (
                number
                for number in range(len(job.steps))
                if not job.is_step_done(occurrence, number)
            ),
            0,
        )
        key = (job.job_id, occurrence)
        latest = former.get(key)
        if latest is None or latest.queue is not queue or latest.first != first:
            at_ms = objective_at_ms(job, occurrence, queue)
            at_ms -= critical_path_ms(job.steps, first)
            latest = _LatestStart(queue, first, at_ms)
        self._latest_starts[key] = latest
        late = int(latest.at_ms < now_ms)
        priority = 0 if queue is None else queue.priority
        return (1, late, priority, latest.at_ms)
