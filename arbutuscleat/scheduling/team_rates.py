"""How many jobs each team has sent lately, compared with its weight.

Kept by the leader in memory only: a new leader starts with empty windows, so that a
change of leader gives each team at most one more allowance. What has been accepted
beyond a rate is marked in the replicated log.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from itertools import islice

from arbutuscleat.jobs import Team


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Number of jobs that a team may send in any window.

    Parameters
    ----------
    window : float
        Length of the window in seconds. The defaults are the platform's: bursts of some
        seconds are part of a team's rate.
    slack : float
        Number of jobs in a window beyond the team's weight times its length, so that
        small teams may send a few at once.
    """

    window: float = 5.0
    slack: float = 20.0

    def allowance(self, team: Team) -> float:
        """Return the number of jobs that a team may send in a window."""
        return team.weight * self.window + self.slack


class TeamRates:
    """The jobs accepted within each team's rate in the last window.

    Only accepted jobs use up the allowance, each id once. Jobs beyond the rate use up
    none, so that a team which sends too much has its rate served.

    Parameters
    ----------
    limit : RateLimit, optional
        The allowance of each team.
    """

    def __init__(self, limit: RateLimit | None = None):
        self._limit = RateLimit() if limit is None else limit
        self._accepted: dict[str, dict[str, float]] = {}

    def is_over(self, team: Team, job_id: str, reserved: int, now: float) -> bool:
        """Return whether a job is beyond the rate of its team.

        Parameters
        ----------
        team : Team
            The team.
        job_id : str
            The job.
        reserved : int
            Number of other jobs of the team that were rejected and asked to come about
            now; they go before new ones.
        now : float
            Monotonic time in seconds.
        """
        accepted = self._window(team, now)
        if job_id in accepted:
            return False
        return len(accepted) + reserved + 1 > self._limit.allowance(team)

    def record(self, team: Team, job_id: str, now: float) -> None:
        """Record that a job within the rate is accepted."""
        self._window(team, now).setdefault(job_id, now)

    def free_at(self, team: Team, now: float) -> float:
        """Return the monotonic time at which the team may send another job."""
        accepted = self._window(team, now)
        most = int(self._limit.allowance(team))
        if len(accepted) < most:
            return now
        first = len(accepted) - max(1, most)
        times = islice(accepted.values(), max(0, first), None)
        return next(times, now) + self._limit.window

    def keep_only(self, teams: Mapping[str, Team]) -> None:
        """Forget teams that are no longer configured."""
        for name in self._accepted.keys() - teams.keys():
            del self._accepted[name]

    def _window(self, team: Team, now: float) -> dict[str, float]:
        """Return the jobs accepted in the last window, in order of time."""
        accepted = self._accepted.setdefault(team.name, {})
        while accepted:
            oldest = next(iter(accepted))
            if now - accepted[oldest] < self._limit.window:
                break
            del accepted[oldest]
        return accepted
