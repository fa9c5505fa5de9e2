"""Reservation: capacity of one worker that is kept for a step until it becomes free."""

from arbutuscleat.wire.gen_jobs.ttypes import StepRecord


class Reservation:
    """Capacity that finite tasks of other steps may not delay.

    Parameters
    ----------
    group : tuple of str, int and int
        The job, occurrence and step that the capacity is reserved for.
    free_in_ms : int
        Milliseconds until the capacity is expected to be free.
    cpu, mem_mb, gpu : int
        What the worker will then have beyond the reserved capacity.

    Attributes
    ----------
    cpu, mem_mb, gpu : int
        What is left of it beside the tasks started since.
    """

    __slots__ = ("group", "free_in_ms", "cpu", "mem_mb", "gpu")

    def __init__(
        self,
        group: tuple[str, int, int],
        free_in_ms: int,
        cpu: int,
        mem_mb: int,
        gpu: int,
    ):
        self.group = group
        self.free_in_ms = free_in_ms
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.gpu = gpu

    def permits(self, step: StepRecord, group: tuple[str, int, int]) -> bool:
        """Return whether a task of `step` may start before the reserved ones.

        It may if it is expected to end before the capacity is free, or if it needs no
        more than what is left beyond it.
        """
        if group == self.group or step.long_running or self._ends_before(step):
            return True  # A long-running task never waits for a reservation.
        return (
            (step.fills or step.cpu <= self.cpu)
            and step.mem_mb <= self.mem_mb
            and step.gpu <= self.gpu
        )

    def take(self, step: StepRecord, tasks: int) -> None:
        """Count the start of `tasks` tasks of `step`."""
        if not self._ends_before(step):
            self.cpu -= 0 if step.fills else tasks * step.cpu
            self.mem_mb -= tasks * step.mem_mb
            self.gpu -= tasks * step.gpu

    def _ends_before(self, step: StepRecord) -> bool:
        return not step.long_running and 0 < step.estimated_ms < self.free_in_ms
