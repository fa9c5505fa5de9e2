"""Log lines of refused jobs, limited for each team."""

import threading

from absl import logging

from arbutuscleat.core import Clock
from arbutuscleat.jsonlogs import LogRateLimiter
from arbutuscleat.scheduling import Rejection

LINES_PER_SECOND = 10
"""Lines for each team: enough to see its queues and causes. Refusals at a flood come at
hundreds a second, and the limit of the call site is shared by all teams."""


class RefusalLog:
    """Logs refused jobs, so that the flood of one team does not displace other lines.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._limit: LogRateLimiter[str] = LogRateLimiter(LINES_PER_SECOND)

    def record(
        self, job_id: str, queue_name: str, team_name: str | None, rejection: Rejection
    ) -> None:
        """Log a refused job, and how many lines of earlier ones were left out."""
        if team_name is not None:
            with self._lock:
                now = self._clock.monotonic()
                admitted, suppressed = self._limit.admit(team_name, now)
            for name, count in suppressed.items():
                logging.info("%d refused jobs of team %s not logged", count, name)
            if not admitted:
                return
        logging.info(
            "job %s of queue %s%s refused: %s; retry after %d ms",
            job_id,
            queue_name,
            "" if team_name is None else f", team {team_name}",
            rejection.reason,
            rejection.retry_after_ms,
        )
