"""Demand history: whether demand was observed long enough to park idle machines.

Queues have load peaks. Until a leader has observed batch demand for some time, it
cannot tell whether an idle machine will be needed within the next seconds. This
applies to the first load peak, and to one during which the leader is lost.
"""

SETTLE_SECONDS = 2.0
"""How long batch demand is observed before machines are parked. By then, callers that
were refused while there was no leader have retried."""


class DemandHistory:
    """Records since when this leader has observed batch demand."""

    def __init__(self) -> None:
        self._since: float | None = None

    def reset(self) -> None:
        """Discard the history, after this process gained or lost leadership."""
        self._since = None

    def observe(self, now: float, has_batch_jobs: bool) -> None:
        """Record one observation.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        has_batch_jobs : bool
            Whether there is an active job that ends by itself. The demand of
            long-running jobs is constant and therefore not considered.
        """
        if self._since is None and has_batch_jobs:
            self._since = now

    def is_settled(self, now: float) -> bool:
        """Return whether idle machines may be parked.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        return self._since is not None and now - self._since > SETTLE_SECONDS
