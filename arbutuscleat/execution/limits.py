"""Execution limits: leases, timeouts and clock tolerance.

Some of them are guarantees of the platform, such as the maximum clock drift and the
duration of an upkeep. The others are chosen by the control plane to fit them.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class ExecutionLimits:
    """Lease durations and timeouts, in seconds unless noted otherwise.

    Parameters
    ----------
    max_lease : float
        Longest lease that a worker accepts.
    lease : float
        Requested lease. It is longer than an election plus the new leader's first
        holds, so that a change of leader does not end running tasks. It is kept
        short because the tasks of an unresponsive worker are only rescheduled once
        it has expired.
    clock_drift : float
        Maximum fraction by which a worker's clock may run slow.
    margin : float
        Added to the expiry of a lease to allow for network latency.
    hold_wait : float
        How long a worker keeps a hold request open while no run ends; at most 2 s.
    busy_wait : float
        Same as `hold_wait`, for a worker that runs tasks that end by themselves.
        Half the duration of a short task, because the end of a run stays unnoticed
        while a hold whose answer is lost is pending.
    first_try : float
        Timeout of the first attempt to send an order. Workers answer within
        milliseconds.
    call : float
        Timeout of each further attempt to send an order.
    machine_lease : float
        Time that must pass before another control instance may send orders for the
        same machine.
    upkeep : float
        Duration of the upkeep of a machine.
    """

    max_lease: float = 10.0
    lease: float = 6.0
    clock_drift: float = 0.02
    margin: float = 0.5
    hold_wait: float = 1.5
    busy_wait: float = 0.5
    first_try: float = 0.3
    call: float = 0.8
    machine_lease: float = 3.0
    upkeep: float = 2.0

    def expiry_upper_bound(self, lease: float) -> float:
        """Return the seconds after which a lease has expired on any worker's clock.

        Parameters
        ----------
        lease : float
            Duration of the lease in seconds, on the worker's clock.
        """
        return lease / (1.0 - self.clock_drift) + self.margin

    def longest_expiry(self) -> float:
        """Return the seconds after which any lease granted by a leader has expired."""
        return self.expiry_upper_bound(min(self.lease, self.max_lease))
