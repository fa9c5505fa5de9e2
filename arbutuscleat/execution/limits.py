"""Limits of execution: what the platform promises, and what control makes of it."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ExecutionLimits:
    """Times that leases and orders go by, in seconds.

    Parameters
    ----------
    max_lease : float
        The longest lease that a worker takes.
    lease : float
        The lease asked for: longer than an election with its first holds takes, so
        a change of leader ends no work; short, since the tasks of a silent worker
        start elsewhere only after it.
    clock_drift : float
        How much slower a worker's clock may run, as a share.
    margin : float
        Added to the end of a lease for the way to the worker.
    hold_wait : float
        How long a worker keeps a hold open while nothing ends; at most 2 s.
    busy_wait : float
        The same for a worker with tasks that end: half a short task, since ends stay
        unseen while a hold without an answer lasts.
    first_try : float
        Time limit of the first try of an order: workers answer in milliseconds.
    call : float
        Time limit of one order that is sent again.
    machine_lease : float
        Time after which orders for a machine may come from another control instance.
    upkeep : float
        How long the upkeep of a machine takes.
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
        """Return the seconds after which a lease has ended on the slowest clock."""
        return lease / (1.0 - self.clock_drift) + self.margin
