"""Machine leases: which machines this process may order now.

Orders of two control instances for one machine must stand apart by a lease.  The
holder is written into the log before the order, and an order follows its entry within
a short time.  So a new leader may at once order a machine that nobody or it itself
ordered last; for others it waits, from when it saw the entry or began to lead.

It answers a loss of the leader in a turn of a queue, when machines are needed at once.
"""

from collections.abc import Iterable, Mapping

from arbutuscleat.core import Clock

ORDER_SECONDS = 0.5
"""How long after its entry in the log an order may be sent: some dozen calls to the
provider, one after another."""


class MachineLeases:
    """Keeps when orders for machines were last seen in the log.

    Parameters
    ----------
    holder : str
        Name under which this process gives orders.
    clock : Clock
        Source of time.
    lease : float
        Seconds that must lie between the orders of two holders for one machine.
    """

    def __init__(self, holder: str, clock: Clock, lease: float):
        self.holder = holder
        self._clock = clock
        self._lease = lease
        self._seen: dict[str, tuple[str, int]] = {}
        self._seen_at: dict[str, float] = {}
        self._logged_at: dict[str, float] = {}

    def observe(self, holders: Mapping[str, tuple[str, int]]) -> None:
        """Note the entries of the log that are new.

        Parameters
        ----------
        holders : mapping of str to tuple of str and int
            The latest holder of each machine and the index of its entry.
        """
        now = self._clock.monotonic()
        for machine, entry in holders.items():
            if self._seen.get(machine) != entry:
                self._seen[machine] = entry
                self._seen_at[machine] = now

    def may_hold(self, machine: str, led_since: float) -> bool:
        """Return whether this leader may write itself down as holder."""
        entry = self._seen.get(machine)
        if entry is None or entry[0] == self.holder:
            return True
        now = self._clock.monotonic()
        if now - led_since > self._lease:
            return True
        return now - self._seen_at[machine] > self._lease + ORDER_SECONDS

    def record_logged(self, machines: Iterable[str], asked_at: float) -> None:
        """Note that this holder's entry for machines, asked for then, is in the log."""
        for machine in machines:
            self._logged_at[machine] = asked_at

    def may_order(self, machine: str) -> bool:
        """Return whether the entry for a machine is fresh enough for an order."""
        logged_at = self._logged_at.get(machine, float("-inf"))
        return self._clock.monotonic() - logged_at <= ORDER_SECONDS

    def reset(self) -> None:
        """Note that this process no longer leads."""
        self._logged_at = {}
