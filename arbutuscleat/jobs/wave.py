"""Waves: upkeep of a set of machines, a bounded number of them at a time.

An operator orders a wave.  The leader orders the upkeep of each machine and records
each order, and its confirmation by the provider, in the replicated log.
"""

from collections.abc import Sequence

from arbutuscleat.wire.gen_jobs.ttypes import WaveRecord

WAVE_BYTES = 1_024
MACHINE_BYTES = 256
"""A name, in the list and in the sets of those ordered and finished."""


def wave_bytes(machines: Sequence[str]) -> int:
    """Return the memory that a wave of these machines takes, in bytes."""
    return WAVE_BYTES + sum(MACHINE_BYTES + len(name) for name in machines)


class Wave:
    """The replicated state of one wave.

    Parameters
    ----------
    record : WaveRecord
        The operator's order, with the machines ordered and finished so far.

    Attributes
    ----------
    cap : int
        Maximum number of machines that may be under upkeep at the same time.
    due_at_ms : int
        Unix millisecond by which the wave should be complete.
    ordered : set of str
        Machines whose upkeep may have been ordered.
    finished : set of str
        Machines whose upkeep the provider has confirmed, or that no longer exist.
    """

    __slots__ = ("number", "machines", "cap", "due_at_ms", "ordered", "finished")

    def __init__(self, record: WaveRecord):
        self.number: int = record.wave
        self.machines: tuple[str, ...] = tuple(record.machines)
        self.cap: int = record.cap
        self.due_at_ms: int = record.due_at_ms
        self.ordered: set[str] = set(record.ordered or ())
        self.finished: set[str] = set(record.finished or ())

    def under_way(self) -> set[str]:
        """Return the machines ordered for upkeep that is not known to have begun."""
        return self.ordered - self.finished

    def unfinished(self) -> set[str]:
        """Return the machines that are not finished."""
        return set(self.machines) - self.finished

    def is_complete(self) -> bool:
        """Return whether every machine of the wave is finished."""
        return self.finished >= set(self.machines)

    def size(self) -> int:
        """Return the memory that the wave takes, by estimate, in bytes."""
        return wave_bytes(self.machines)

    def forget_machines(self) -> None:
        """Free the memory of a complete wave, of which only that is asked."""
        self.machines = ()
        self.ordered = set()
        self.finished = set()

    def to_record(self) -> WaveRecord:
        """Return the wave in its snapshot format."""
        return WaveRecord(
            wave=self.number,
            machines=list(self.machines),
            cap=self.cap,
            due_at_ms=self.due_at_ms,
            ordered=sorted(self.ordered),
            finished=sorted(self.finished),
        )
