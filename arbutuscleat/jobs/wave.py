"""Waves: machines that are due for upkeep, a bounded number at a time."""

from arbutuscleat.wire.gen_jobs.ttypes import WaveRecord


class Wave:
    """What the log has decided about one wave.

    Parameters
    ----------
    record : WaveRecord
        The operator's order, with the machines ordered and finished so far.
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
        """Return the machines whose upkeep may be ordered and is not known as begun."""
        return self.ordered - self.finished

    def is_complete(self) -> bool:
        """Return whether the upkeep of every machine is over."""
        return self.finished >= set(self.machines)

    def to_record(self) -> WaveRecord:
        """Return the record for a snapshot."""
        return WaveRecord(
            wave=self.number,
            machines=list(self.machines),
            cap=self.cap,
            due_at_ms=self.due_at_ms,
            ordered=sorted(self.ordered),
            finished=sorted(self.finished),
        )
