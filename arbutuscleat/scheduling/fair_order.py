"""Fair order: whose job is next while a service has too little room for all.

It answers floods: one team, or several, send many times their usual, in jobs of skewed
sizes, while the others go on as ever. Room goes by weight. A team's share of a service
is the largest part that it uses of any of its resources, its dominant share (Ghodsi et
al., Dominant Resource Fairness, NSDI 2011). Its fair share is the part of its weight in
the weights of all teams that use the service or have jobs for it. The order is:

1. jobs with long-running tasks;
2. jobs within what their team may expect to be served, before those beyond it;
3. jobs that can meet their objective, before late ones;
4. teams below their fair share, before the others; these by share over weight;
5. priority of the queue and latest start.

Inside a team the order is 1, 2, 3 and 5. A step starts completely, as a job is worth
nothing before its last task, but for steps that bring a team above its fair share and
take more than `MAX_TURN` at once: these continue after the other teams' turns. What
teams leave unused is lent: nobody is kept from room that nobody else takes, and no run
is ended for another team.

While a service can get more machines, its room is not scarce but on its way: shares
that a growing pool has at the moment decide nothing, and the order is that without 4.

A job is starved if its team is below half of its fair share and its latest start was
`STARVED_MS` ago. It is compared as one that is not late, of a team below its share, and
gets a reservation if no worker has room, so no team waits for ever.
"""

import heapq
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from math import inf

from arbutuscleat.jobs import TaskKey, Team
from arbutuscleat.wire.gen_jobs.ttypes import StepRecord

from .candidates import Candidate
from .team_usage import NO_TEAM, Amount, TeamUsage, size_of

DEPRIVED = 0.5
"""Part of its fair share below which a team counts as deprived. Teams at their fair
shares do not fall below it when a few of their runs end."""

STARVED_MS = 8_000
"""How long after its latest start a job of a deprived team is starved. Short jobs have
lost their value by then, so until then jobs that have one come first."""

MAX_TURN = 0.25
"""Largest part of a service that one turn takes for a team above its fair share.
Callers expect wider steps to run in waves."""


class TeamShare:
    """What one team uses of one service while a plan is made.

    Parameters
    ----------
    used : sequence of int
        CPU in thousandths of a core, memory in MB and accelerators in use.
    totals : tuple of three int
        The same of all usable workers of the service.
    fair : float
        The team's fair share, from 0 to 1. A team without a weight has none.

    Attributes
    ----------
    dominant : float
        The largest part of any resource in use.
    """

    __slots__ = ("used", "dominant", "_totals", "_fair")

    def __init__(self, used: Sequence[int], totals: Amount, fair: float):
        self.used = list(used)
        self._totals = totals
        self._fair = fair
        self._measure()

    def record_start(self, step: StepRecord) -> None:
        """Add a task of a step to what is in use."""
        for position, size in enumerate(size_of(step)):
            self.used[position] += size
        self._measure()

    def _measure(self) -> None:
        self.dominant = max(
            used / total if total else 0.0
            for used, total in zip(self.used, self._totals, strict=True)
        )

    @property
    def level(self) -> float:
        """The dominant share relative to the fair share; 1 where they are the same."""
        return self.dominant / self._fair if self._fair else inf

    def is_deprived(self) -> bool:
        """Return whether the team is far below its fair share of a shared service."""
        is_idle = not self.dominant
        return self._fair < 1.0 and (is_idle or self.level < DEPRIVED)


Shares = Mapping[tuple[str, str], TeamShare]
"""Shares by service and team."""


def service_shares(
    candidates: Iterable[Candidate],
    usage: TeamUsage,
    teams: Mapping[str, Team],
    totals: Mapping[str, Amount],
    can_grow: Callable[[str], bool] = lambda service: False,
) -> Shares:
    """Return the share of each team that uses a service or has jobs for it.

    Parameters
    ----------
    candidates : iterable of Candidate
        The jobs.
    usage : TeamUsage
        What the runs in the table use.
    teams : mapping of str to Team
        The configured teams. Jobs without a team count as one with the mean weight,
        those of a removed team have no weight.
    totals : mapping of str to tuple of three int
        CPU, memory and accelerators of the usable workers of each service.
    can_grow : callable, optional
        Returns whether a service can get more machines. Each team's fair share is then
        all of it.
    """
    weights = {name: team.weight for name, team in teams.items()}
    weights[NO_TEAM] = sum(weights.values()) / max(1, len(weights))
    names: dict[str, set[str]] = {}
    for candidate in candidates:
        names.setdefault(candidate.service, set()).add(candidate.team)
    shares = {}
    for service, found in names.items():
        usages = usage.by_service.get(service, {})
        found |= {name for name, item in usages.items() if any(item.used)}
        total = sum(weights.get(name, 0.0) for name in found)
        grows = can_grow(service)
        for name in found:
            used = usages[name].used if name in usages else (0, 0, 0)
            fair = weights.get(name, 0.0) / total if total else 1.0 / len(found)
            fair = 1.0 if grows else fair
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
        "_dominant",
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
        self._dominant = 0.0 if share is None else share.dominant

    def record_start(self, step: StepRecord, key: TaskKey) -> None:
        """Record that a task of a step starts."""
        self.planned.add(key)
        if self._share is not None:
            self._share.record_start(step)

    def is_over(self) -> bool:
        """Return whether the next task has to wait for the turns of other teams.

        If so, the candidate has another turn later in the plan.
        """
        share = self._share
        if share is not None and self._is_contested and share.level >= 1.0:
            self.is_interrupted = share.dominant - self._dominant >= MAX_TURN
        return self.is_interrupted

    def is_starved(self, now_ms: int) -> bool:
        """Return whether the job has waited for so long that it gets a reservation."""
        return self._share is not None and _is_starved(
            self.candidate, self._share, now_ms
        )


def fair_turns(
    candidates: Iterable[Candidate], shares: Shares, now_ms: int
) -> Iterator[Turn]:
    """Yield the turns of candidates; starts of one turn change who is next.

    Parameters
    ----------
    candidates : iterable of Candidate
        The jobs, by rank.
    shares : mapping of tuple of str and str to TeamShare
        Shares by service and team; empty if the order does not depend on them.
    now_ms : int
        Current Unix time in milliseconds.
    """
    if not shares:
        for candidate in sorted(candidates, key=_rank_in_team):
            yield Turn(candidate)
        return
    queues: dict[tuple[str, str], deque[Candidate]] = {}
    for candidate in sorted(candidates, key=_rank_in_team):
        queues.setdefault((candidate.service, candidate.team), deque()).append(
            candidate
        )
    waiting = Counter(service for service, _ in queues)
    heap = [
        (_key(queue[0], shares[name], now_ms), name) for name, queue in queues.items()
    ]
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
            heapq.heapreplace(heap, (_key(queue[0], shares[name], now_ms), name))
        else:
            heapq.heappop(heap)
            waiting[name[0]] -= 1


def _rank_in_team(candidate: Candidate) -> tuple[int, bool, int, int, int]:
    finite, late, priority, latest_ms = candidate.rank
    return (finite, candidate.is_over_rate, late, priority, latest_ms)


def _key(
    candidate: Candidate, share: TeamShare, now_ms: int
) -> tuple[int, bool, int, float, int, int]:
    finite, late, priority, latest_ms = candidate.rank
    level, is_over_rate = share.level, candidate.is_over_rate
    if late and _is_starved(candidate, share, now_ms):
        late, level = 0, 0.0
        is_over_rate = is_over_rate and share.dominant > 0.0
    level = level if level >= 1.0 else 0.0
    return (finite, is_over_rate, late, level, priority, latest_ms)


def _is_starved(candidate: Candidate, share: TeamShare, now_ms: int) -> bool:
    return candidate.late_by_ms(now_ms) >= STARVED_MS and share.is_deprived()
