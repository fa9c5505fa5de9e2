"""End logs: how the ends of one worker's runs get into the replicated log."""

from collections.abc import Callable, Sequence

from absl import logging

from arbutuscleat.core import Clock
from arbutuscleat.jobs import RunOutcome, TaskKey
from arbutuscleat.jobs.task import WorkerIncarnation
from arbutuscleat.wire.gen_jobs.ttypes import EndRecord, JobCommand, RunEnds

from .worker_client import FinishedRun

Propose = Callable[[JobCommand], bool]
"""Puts a command through the log; False when it is not known to be in it."""


class EndLog:
    """Logs the ends that a worker lists, and those that control concludes.

    Parameters
    ----------
    incarnation : WorkerIncarnation
        The worker's id and start.
    propose : callable
        Puts a command through the log.
    clock : Clock
        Source of time.
    """

    def __init__(self, incarnation: WorkerIncarnation, propose: Propose, clock: Clock):
        self._incarnation = incarnation
        self._propose = propose
        self._clock = clock

    def log_listed(self, ends: Sequence[FinishedRun]) -> bool:
        """Log ends that the worker lists; False when they are not known to be in."""
        records = [
            self._record(end.key, end.number, end.outcome, end.checkpoint)
            for end in ends
        ]
        if not self._put(records):
            return False
        for end in ends:
            if end.outcome is not RunOutcome.DONE:
                logging.info(
                    "run %d of %s at %s ended as %s",
                    end.number,
                    end.key,
                    self._incarnation[0],
                    end.outcome.name.lower(),
                )
        return True

    def log_lost(self, lost: Sequence[tuple[TaskKey, int]], reason: str) -> None:
        """Log runs that have ended without an end of their own."""
        for key, number in lost:
            logging.info(
                "run %d of %s at %s is lost: %s",
                number,
                key,
                self._incarnation[0],
                reason,
            )
        self._put(
            [self._record(key, number, RunOutcome.LOST, "") for key, number in lost]
        )

    def _record(
        self, key: TaskKey, number: int, outcome: RunOutcome, checkpoint: str
    ) -> EndRecord:
        return EndRecord(
            run=key.run_record(number, self._incarnation),
            outcome=int(outcome),
            checkpoint=checkpoint,
        )

    def _put(self, records: list[EndRecord]) -> bool:
        ends = RunEnds(ends=records, at_ms=self._clock.now_ms())
        return self._propose(JobCommand(ends=ends))
