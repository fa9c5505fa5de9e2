"""Fair order: whose job is next while a service has too little room for all.

It answers floods: one team, or several, send many times their usual, in jobs of skewed
sizes, while the others go on as ever. Room goes by weight. A team's share of a service
is the largest part that it uses of any of its resources, its dominant share (Ghodsi et
al., Dominant Resource Fairness, NSDI 2011). Its fair share is the part of its weight in
the weights of all teams that use the service or have jobs for it. The order is:

1. jobs with long-running tasks;
2. jobs within what their team may expect to be served, before those beyond it;
3. jobs that can meet their objective, before late ones;
4. teams whose next task leaves them within their fair share, before the others; these
   by share over weight;
5. priority of the queue and latest start.

A late job of a team below half of its fair share is compared as one that is not late,
of a team within its share, so it starts once a run ends that leaves enough room; if
none does for `RESERVE_AFTER_MS`, the planner reserves room for it. A team that uses
nothing is compared as if it had sent no more than it may expect. So no team waits for
ever.

Inside a team the order is 1, 2, 3 and 5. Within its fair share a team starts a step
completely, as a job is worth nothing before its last task. Beyond it the team gets one
task or gang at a time, as long as others have jobs to compare. What these leave unused
is lent: nobody is kept from room that nobody else takes, and no run is ended for
another team.
"""

import heapq
from collections import Counter, deque
from collections.abc import Iterable, Iterator, Mapping, Sequence

from arbutuscleat.jobs import TaskKey, Team
from arbutuscleat.wire.gen_jobs.ttypes import StepRecord

from .candidates import Candidate
from .team_usage import NO_TEAM, Amount, TeamUsage, size_of

MIN_WEIGHT_FRACTION = 0.01
"""Smallest weight of a team, as part of the largest one. A team without a weight gets
room last, but a hundredth of it while others want all."""

DEPRIVED = 0.5
"""Part of its fair share below which a team counts as deprived. Teams at their fair
shares do not fall below it when the largest of their runs end."""


RESERVE_AFTER_MS = 1_000
"""How long after its latest start a job of a deprived team gets a reservation. Before
that, most runs that end leave enough room, and no reservation is needed."""

ROUNDING = 1e-9
"""Tolerance for rounding when shares are compared."""

NOTHING: Amount = (0, 0, 0)


class TeamShare:
    """What one team uses of one service while a plan is made.

    Parameters
    ----------
    used : sequence of int
        CPU in thousandths of a core, memory in MB and accelerators in use.
    totals : tuple of three int
        The same of all usable workers of the service.
    fair : float
        The team's fair share, from 0 to 1.

    Attributes
    ----------
    level : float
        The dominant share relative to the fair share; 1 where they are the same.
    """

    __slots__ = ("used", "level", "_totals", "_fair")

    def __init__(self, used: Sequence[int], totals: Amount, fair: float):
        self.used = list(used)
        self._totals = totals
        self._fair = fair
        self.level = self._level(NOTHING)

    def record_start(self, step: StepRecord) -> None:
        """Add a task of a step to what is in use."""
        for position, size in enumerate(size_of(step)):
            self.used[position] += size
        self.level = self._level(NOTHING)

    def exceeds(self, step: StepRecord) -> bool:
        """Return whether one more task of a step is beyond the fair share."""
        return self.level >= 1.0 or self._level(size_of(step)) > 1.0 + ROUNDING

    def _level(self, more: Amount) -> float:
        dominant = 0.0
        for used, size, total in zip(self.used, more, self._totals, strict=True):
            if total:
                dominant = max(dominant, (used + size) / total)
        return dominant / self._fair

    def is_deprived(self) -> bool:
        """Return whether the team is far below its fair share of a shared service."""
        return self._fair < 1.0 and self.level < DEPRIVED


Shares = Mapping[tuple[str, str], TeamShare]
"""Shares by service and team."""


def service_shares(
    candidates: Iterable[Candidate],
    usage: TeamUsage,
    teams: Mapping[str, Team],
    totals: Mapping[str, Amount],
) -> Shares:
    """Return the share of each team that uses a service or has jobs for it.

    Parameters
    ----------
    candidates : iterable of Candidate
        The jobs.
    usage : TeamUsage
        What the runs in the table use.
    teams : mapping of str to Team
        The configured teams. Jobs without a team count as one with the mean weight.
    totals : mapping of str to tuple of three int
        CPU, memory and accelerators of the usable workers of each service.
    """
    weights = {name: team.weight for name, team in teams.items()}
    weights[NO_TEAM] = sum(weights.values()) / max(1, len(weights))
    smallest = MIN_WEIGHT_FRACTION * max(weights.values()) or 1.0
    names: dict[str, set[str]] = {}
    for candidate in candidates:
        names.setdefault(candidate.service, set()).add(candidate.team)
    shares = {}
    for service, found in names.items():
        usages = usage.by_service.get(service, {})
        found |= {name for name, item in usages.items() if any(item.used)}
        weight_of = {name: max(smallest, weights.get(name, 0.0)) for name in found}
        total_weight = sum(weight_of.values())
        for name, weight in weight_of.items():
            used = usages[name].used if name in usages else (0, 0, 0)
            fair = weight / total_weight
            shares[service, name] = TeamShare(used, totals[service], fair)
    return shares


class Turn:
    """The turn of a candidate to start tasks.

    Parameters
    ----------
    candidate : Candidate
        The job.
    share : TeamShare, optional
        The share of its team; None if the configuration has no teams.
    is_contested : bool, default=False
        Whether other teams have jobs for the service that are to be compared.
    planned : set of TaskKey, optional
        Tasks that former turns of the candidate start in this plan.

    Attributes
    ----------
    planned : set of TaskKey
        The same, with the tasks of this turn.
    """

    __slots__ = (
        "candidate",
        "planned",
        "is_interrupted",
        "_share",
        "_is_contested",
        "_started",
    )

    def __init__(
        self,
        candidate: Candidate,
        share: TeamShare | None = None,
        is_contested: bool = False,
        planned: set[TaskKey] | None = None,
    ):
        self.candidate = candidate
        self.planned = set() if planned is None else planned
        self.is_interrupted = False
        self._share = share
        self._is_contested = is_contested
        self._started = False

    def record_start(self, step: StepRecord, key: TaskKey) -> None:
        """Record that a task of a step starts."""
        self._started = True
        self.planned.add(key)
        if self._share is not None:
            self._share.record_start(step)

    def is_over(self, step: StepRecord) -> bool:
        """Return whether the next task, of this step, has to wait for other teams.

        If so, the candidate has another turn later in the plan.
        """
        if self._started and self._is_contested and self._share is not None:
            self.is_interrupted = self._share.exceeds(step)
        return self.is_interrupted

    def is_deprived(self) -> bool:
        """Return whether the team is far below its fair share of the service."""
        return self._share is not None and self._share.is_deprived()


def fair_turns(candidates: Iterable[Candidate], shares: Shares) -> Iterator[Turn]:
    """Yield the turns of candidates; starts of one turn change who is next.

    Parameters
    ----------
    candidates : iterable of Candidate
        The jobs, by rank.
    shares : mapping of tuple of str and str to TeamShare
        Shares by service and team; empty if the configuration has no teams.
    """
    if not shares:
        for candidate in candidates:
            yield Turn(candidate)
        return
    queues: dict[tuple[str, str], deque[Candidate]] = {}
    for candidate in sorted(candidates, key=_rank_in_team):
        queues.setdefault((candidate.service, candidate.team), deque()).append(
            candidate
        )
    waiting = Counter(service for service, _ in queues)
    heap = [(_key(queue[0], shares[name]), name) for name, queue in queues.items()]
    heapq.heapify(heap)
    planned: dict[tuple[str, str], set[TaskKey]] = {}
    while heap:
        name = heap[0][1]
        queue = queues[name]
        is_contested = waiting[name[0]] > 1
        turn = Turn(queue[0], shares[name], is_contested, planned.pop(name, None))
        yield turn
        if turn.is_interrupted:
            planned[name] = turn.planned
        else:
            queue.popleft()
        if queue:
            heapq.heapreplace(heap, (_key(queue[0], shares[name]), name))
        else:
            heapq.heappop(heap)
            waiting[name[0]] -= 1


def _rank_in_team(candidate: Candidate) -> tuple[int, bool, int, int, int]:
    finite, late, priority, latest_ms = candidate.rank
    return (finite, candidate.is_over_rate, late, priority, latest_ms)


def _key(
    candidate: Candidate, share: TeamShare
) -> tuple[int, bool, int, bool, float, int, int]:
    finite, late, priority, latest_ms = candidate.rank
    level = share.level
    if late and share.is_deprived():
        late, exceeds = 0, False
    else:
        exceeds = level >= 1.0 or share.exceeds(_next_step(candidate))
    return (
        finite,
        candidate.is_over_rate and level > 0.0,
        late,
        exceeds,
        level if exceeds else 0.0,
        priority,
        latest_ms,
    )


def _next_step(candidate: Candidate) -> StepRecord:
    """Return the first step that is not done; the first one if all are."""
    job, occurrence = candidate.job, candidate.occurrence
    for number, step in enumerate(job.steps):
        if not job.is_step_done(occurrence, number):
            return step
    return job.steps[0]
