"""Held steps: which steps the caps of their teams hold back, and which is not passed.

It answers a team at its cap with jobs of skewed sizes: small tasks would take each
piece of the cap that becomes free, so that a large task or gang never starts. After
`PASS_SECONDS` nothing finite that needs less passes the one that was held first. This
is one step of a team at a time, with as long a pause between two, so that the team's
order holds for most of the time: the held step may be late, and others may not be yet.
"""

from collections.abc import Callable, Container
from dataclasses import dataclass

from arbutuscleat.wire.gen_jobs.ttypes import StepRecord

from .team_usage import Amount, size_of

PASS_SECONDS = 2.0
"""How long smaller tasks of a team may pass one that the team's cap holds back, and the
pause between two steps that are not passed. It spans a short task, so that most tasks
start without the others waiting for them."""

KEEP_SECONDS = 5.0
"""How long smaller finite tasks of a team wait at most for one that may not be passed,
in case that no worker has room for it. It spans the longest runs of most teams."""

Group = tuple[str, int, int]
"""A job, occurrence and step."""


@dataclass(frozen=True, slots=True)
class HeldStep:
    """A step that the cap of its team holds back.

    Parameters
    ----------
    team : str
        Name of the team.
    step : StepRecord
        The step.
    group : tuple of str, int and int
        The job, occurrence and step.
    together : int
        Number of its tasks that start together.
    since : float
        Monotonic time in seconds since which it is held back.
    """

    team: str
    step: StepRecord
    group: Group
    together: int
    since: float

    def needs_more_than(self, step: StepRecord, count: int, limits: Amount) -> bool:
        """Return whether it needs more of a limited resource than tasks of a step."""
        own, other = size_of(self.step), size_of(step)
        return any(
            limit and self.together * mine > count * theirs
            for limit, mine, theirs in zip(limits, own, other, strict=True)
        )


class HeldSteps:
    """The held steps of all teams; not thread-safe."""

    def __init__(self) -> None:
        self._held: dict[Group, HeldStep] = {}
        self._old: dict[str, list[HeldStep]] = {}
        """Steps held for `PASS_SECONDS` by team, the longest held first."""

        self._kept: dict[str, tuple[HeldStep, float]] = {}
        """The step that is not passed, and since when, by team."""

        self._paused_until: dict[str, float] = {}

    def begin_plan(self, active: Container[str], now: float) -> None:
        """Forget the steps of jobs that are over, and those that were kept for long.

        Parameters
        ----------
        active : container of str
            Ids of the active jobs.
        now : float
            Monotonic time in seconds.
        """
        for held, since in list(self._kept.values()):
            if held.group[0] not in active or now - since >= KEEP_SECONDS:
                self.remove(held.group, now)
        self._held = {g: held for g, held in self._held.items() if g[0] in active}
        self._old = {}
        for held in self._held.values():
            if now - held.since >= PASS_SECONDS:
                self._old.setdefault(held.team, []).append(held)

    def add(self, held: HeldStep) -> None:
        """Record that a step is held back."""
        self._held.setdefault(held.group, held)

    def remove(self, group: Group, now: float) -> None:
        """Record that tasks of a step start, or that it loses its place."""
        held = self._held.pop(group, None)
        if held is not None and held.team in self._kept:
            if self._kept[held.team][0] is held:
                del self._kept[held.team]
                self._paused_until[held.team] = now + PASS_SECONDS

    def kept(
        self, team: str, will_fit: Callable[[HeldStep], bool], now: float
    ) -> HeldStep | None:
        """Return the step that smaller tasks of a team may not pass.

        Parameters
        ----------
        team : str
            Name of the team.
        will_fit : callable
            Returns whether the cap admits a step once the team's finite runs have
            ended. Nothing waits for a step that will not fit.
        now : float
            Monotonic time in seconds.
        """
        held, _ = self._kept.get(team, (None, 0.0))
        if held is not None:
            return held if will_fit(held) else None
        if now < self._paused_until.get(team, now):
            return None
        held = next((item for item in self._old.get(team, ()) if will_fit(item)), None)
        if held is not None:
            self._kept[team] = (held, now)
        return held
