"""Demand histories: whether a leader has seen enough demand to let machines go.

It answers the first turn of a queue, and one in which the leader was lost: before a
turn has been seen, idle machines say nothing about the seconds to come.
"""

SETTLE_SECONDS = 2.0
"""How long demand that comes in turns is watched before machines are let go: callers
that were refused while there was no leader have come back by then."""


class DemandHistory:
    """Since when demand that comes in turns has been seen."""

    def __init__(self) -> None:
        self._since: float | None = None

    def reset(self) -> None:
        """Note that this process has not led since now."""
        self._since = None

    def observe(self, now: float, has_batch_jobs: bool) -> None:
        """Take one look.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        has_batch_jobs : bool
            Whether there is a job that ends by itself; lasting ones stay the same.
        """
        if self._since is None and has_batch_jobs:
            self._since = now

    def is_settled(self, now: float) -> bool:
        """Return whether idle machines may be let go."""
        return self._since is not None and now - self._since > SETTLE_SECONDS
