"""Run ends: record the ends of a worker's runs in the replicated log."""

from collections.abc import Callable, Sequence

from absl import logging

from arbutuscleat.core import Clock
from arbutuscleat.jobs import RunOutcome, TaskKey
from arbutuscleat.jobs.task import WorkerIncarnation
from arbutuscleat.wire.gen_jobs.ttypes import EndRecord, JobCommand, RunEnds

from .worker_client import FinishedRun

Propose = Callable[[JobCommand], bool]
"""Proposes a command to the replicated log; False if its commit is not confirmed."""


class RunEndRecorder:
    """Records the ends that a worker reports, and the runs that are found lost.

    Parameters
    ----------
    incarnation : WorkerIncarnation
        The worker's incarnation: its id and start time.
    propose : callable
        Proposes a command to the replicated log.
    clock : Clock
        Source of time.
    """

    def __init__(self, incarnation: WorkerIncarnation, propose: Propose, clock: Clock):
        self._incarnation = incarnation
        self._propose = propose
        self._clock = clock

    def record_reported(self, ends: Sequence[FinishedRun]) -> bool:
        """Record ends reported by the worker.

        Returns
        -------
        bool
            False if the commit of the records is not confirmed.
        """
        records = [
            self._record(end.key, end.number, end.outcome, end.checkpoint)
            for end in ends
        ]
        if not self._propose_ends(records):
            return False
        for end in ends:
            if end.outcome is not RunOutcome.DONE:
                logging.info(
                    "run %d of %s on worker %s ended with outcome %s",
                    end.number,
                    end.key,
                    self._incarnation[0],
                    end.outcome.name.lower(),
                )
        return True

    def record_lost(
        self,
        lost: Sequence[tuple[TaskKey, int]],
        reason: str,
        unresponsive: bool = False,
    ) -> bool:
        """Record runs as lost that ended, or never began, without a reported end.

        Parameters
        ----------
        lost : sequence of tuple of TaskKey and int
            The tasks and the numbers of their runs.
        reason : str
            The reason, for the log message.
        unresponsive : bool, default=False
            Whether their lease has expired on a worker that does not respond, and that
            may have crashed.

        Returns
        -------
        bool
            False if the commit of the records is not confirmed.
        """
        for key, number in lost:
            logging.info(
                "run %d of %s on worker %s is lost: %s",
                number,
                key,
                self._incarnation[0],
                reason,
            )
        records = [self._record(key, n, RunOutcome.LOST, "") for key, n in lost]
        for record in records:
            record.unresponsive = unresponsive or None
        return self._propose_ends(records)

    def _record(
        self, key: TaskKey, number: int, outcome: RunOutcome, checkpoint: str
    ) -> EndRecord:
        return EndRecord(
            run=key.run_record(number, self._incarnation),
            outcome=int(outcome),
            checkpoint=checkpoint,
        )

    def _propose_ends(self, records: list[EndRecord]) -> bool:
        ends = RunEnds(ends=records, at_ms=self._clock.now_ms())
        return self._propose(JobCommand(ends=ends))
