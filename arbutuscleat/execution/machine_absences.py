"""Machine absences: which machines no longer exist, from successive machine lists.

The provider may answer with a part of its machines, for instance while it starts. A
machine that one list leaves out may still be there, so only a number of lists in a row
show that it is gone. Lists that fail, and empty ones, show nothing.
"""

from collections.abc import Collection, Iterable

from absl import logging

MAX_LISTS_WITHOUT_MACHINE = 40
"""Number of lists in a row that leave a machine out, after which it no longer exists:
at least 10 s at the interval of the machine controller."""


class MachineAbsences:
    """Counts for how many lists in a row expected machines have been left out."""

    def __init__(self) -> None:
        self._lists_without: dict[str, int] = {}

    def reset(self) -> None:
        """Discard all counts, after this process gained or lost leadership."""
        self._lists_without = {}

    def observe(self, expected: Iterable[str], listed: Collection[str]) -> None:
        """Observe a list that is not empty.

        Parameters
        ----------
        expected : iterable of str
            The machines that should be in the list.
        listed : collection of str
            The machines in it.
        """
        missing = {machine for machine in expected if machine not in listed}
        added = sorted(missing - self._lists_without.keys())
        if added:
            logging.info("missing from the list of machines: %s", ", ".join(added))
        self._lists_without = {
            machine: self._lists_without.get(machine, 0) + 1 for machine in missing
        }

    def is_gone(self, machine: str) -> bool:
        """Return whether a machine no longer exists."""
        return self._lists_without.get(machine, 0) >= MAX_LISTS_WITHOUT_MACHINE
