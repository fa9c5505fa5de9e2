"""Session reporter: renews the lease of this process and reports on its sessions.

It asks the leader at least every `RENEW_SECONDS`, and at once when the condition of a
worker has changed, so that the leader schedules by what is known here.
"""

import threading

from arbutuscleat.consensus import Replica
from arbutuscleat.core import Clock, run_loop
from arbutuscleat.execution import SessionLease, SessionReports
from arbutuscleat.jobs import SessionHolder
from arbutuscleat.wire.gen_jobs.ttypes import (
    RenewRequest,
    Verdict,
    WorkerConditionRecord,
)

from .leader_client import LeaderClient

RENEW_SECONDS = 0.3
"""Longest interval between two requests: a quarter of the lease."""

CHECK_SECONDS = 0.025
"""Interval between two looks at the conditions of the workers."""

CALL_SECONDS = 0.5
"""Timeout of a request."""


class SessionReporter:
    """Sends the reports of this process to the leader.

    Parameters
    ----------
    leader : LeaderClient
        Calls the leader.
    replica : Replica
        This process's member of the consensus group.
    holder : SessionHolder
        This process.
    lease : SessionLease
        The lease that is renewed.
    reports : SessionReports
        Describes the sessions.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        leader: LeaderClient,
        replica: Replica,
        holder: SessionHolder,
        lease: SessionLease,
        reports: SessionReports,
        clock: Clock,
    ):
        self._leader = leader
        self._replica = replica
        self._holder = holder
        self._lease = lease
        self._reports = reports
        self._clock = clock
        self._sequence = 0
        self._renew_at = float("-inf")
        self._is_complete = True
        self._is_leaving = False
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="session-reporter", daemon=True
        )

    def start(self) -> None:
        """Start the loop."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the loop; the lease runs out."""
        self._stopping.set()

    def leave(self) -> None:
        """Ask the leader to assign the sessions of this process to others."""
        self._is_leaving = True
        self._renew_at = float("-inf")

    def _run(self) -> None:
        run_loop(self.run_once, self._stopping, self._clock, CHECK_SECONDS)

    def run_once(self) -> None:
        """Send a report if one is due."""
        current = self._reports.current()
        if self._is_complete:
            self._reports.forget()
        changes = self._reports.changes(current)
        if changes or self._clock.monotonic() >= self._renew_at:
            self._renew(current, changes)

    def _renew(
        self,
        current: dict[str, WorkerConditionRecord],
        changes: list[WorkerConditionRecord],
    ) -> None:
        asked_at = self._clock.monotonic()
        self._sequence += 1
        request = RenewRequest(
            holder=self._holder.to_record(),
            sequence=self._sequence,
            applied_index=self._replica.status().commit_index,
            leaving=self._is_leaving,
            complete=self._is_complete,
            conditions=changes,
        )
        answer = self._leader.call("renew", request, CALL_SECONDS).answer
        if answer is None or answer.verdict != Verdict.DONE:
            self._is_complete = True
            return
        if answer.granted:
            self._lease.renew(asked_at)
        self._reports.acknowledge(current)
        self._is_complete = answer.wants_complete
        is_settled = answer.granted and not self._is_complete
        self._renew_at = asked_at + (RENEW_SECONDS if is_settled else 0.0)
