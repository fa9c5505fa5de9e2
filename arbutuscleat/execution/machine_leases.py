"""Machine leases: when this control instance may send orders for a machine.

Orders for one machine from two control instances must be separated by the duration of
a lease. An instance therefore commits itself to the log as the holder of a machine
before it sends an order, and sends the order shortly after that entry. A new leader
can immediately order machines that have no holder, or that it holds itself. For any
other machine it waits until a lease has passed since it saw the entry of the former
holder or became the leader.

Without these entries a new leader would have to wait for a lease before its first
orders. If the leader is lost during a load peak, machines are needed immediately.
"""

from collections.abc import Iterable, Mapping

from arbutuscleat.core import Clock

ORDER_SECONDS = 0.5
"""Maximum delay between the log entry of a holder and its order, in seconds. It allows
for a few dozen successive calls to the provider."""


class MachineLeases:
    """Tracks the holders of machines in the log and when they were first seen.

    Parameters
    ----------
    holder : str
        Name under which this process sends orders.
    clock : Clock
        Source of time.
    lease : float
        Minimum time between the orders of two holders for one machine, in seconds.
    """

    def __init__(self, holder: str, clock: Clock, lease: float):
        self.holder = holder
        self._clock = clock
        self._lease = lease
        self._seen: dict[str, tuple[str, int]] = {}
        self._seen_at: dict[str, float] = {}
        self._logged_at: dict[str, float] = {}

    def observe(self, holders: Mapping[str, tuple[str, int]]) -> None:
        """Record the time at which new holder entries of the log are first seen.

        Parameters
        ----------
        holders : mapping of str to tuple of str and int
            The latest holder of each machine and the log index of its entry.
        """
        now = self._clock.monotonic()
        for machine, entry in holders.items():
            if self._seen.get(machine) != entry:
                self._seen[machine] = entry
                self._seen_at[machine] = now

    def may_hold(self, machine: str, led_since: float) -> bool:
        """Return whether this leader may record itself as the holder of a machine.

        Parameters
        ----------
        machine : str
            The machine.
        led_since : float
            Monotonic time at which this process became the leader, in seconds.
        """
        entry = self._seen.get(machine)
        if entry is None or entry[0] == self.holder:
            return True
        now = self._clock.monotonic()
        if now - led_since > self._lease:
            return True
        return now - self._seen_at[machine] > self._lease + ORDER_SECONDS

    def record_logged(self, machines: Iterable[str], asked_at: float) -> None:
        """Record that this holder's entry for some machines has been committed.

        Parameters
        ----------
        machines : iterable of str
            The machines.
        asked_at : float
            Monotonic time at which the entry was proposed, in seconds.
        """
        for machine in machines:
            self._logged_at[machine] = asked_at

    def may_order(self, machine: str) -> bool:
        """Return whether the entry for a machine is recent enough to send an order."""
        logged_at = self._logged_at.get(machine, float("-inf"))
        return self._clock.monotonic() - logged_at <= ORDER_SECONDS

    def reset(self) -> None:
        """Discard this process's own entries, after it has lost the leadership."""
        self._logged_at = {}
