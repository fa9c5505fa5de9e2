"""Session balancer: the leader assigns the sessions with workers to control instances.

A holder that is present is first left without the shard (the assignment names nobody);
once it has applied that entry it sends nothing more, and the next holder is assigned.
The shards of a silent holder are assigned to others after its lease has run out. So two
processes never hold the same session.
"""

import threading
from collections.abc import Iterable

from absl import logging

from arbutuscleat.consensus import Replica
from arbutuscleat.core import Clock, run_loop
from arbutuscleat.jobs import SHARD_COUNT, JobTable, SessionHolder
from arbutuscleat.scheduling import balance_sessions
from arbutuscleat.wire.gen_jobs.ttypes import (
    AssignSessions,
    JobCommand,
    SessionAssignmentChange,
)

from .leader_load import LeaderLoad
from .run_end_recorder import Propose
from .session_registry import HolderStatus, SessionRegistry

CHECK_SECONDS = 0.05
"""Interval between two checks: a hand-over between two holders takes two of them."""

STEADY_SECONDS = 2.0
"""For how long a process leads or renews its lease before shards are moved for the sake
of balance: longer than the silence after which a voter is replaced."""

MOVES_AT_ONCE = 4
"""Number of shards handed over at the same time for the sake of balance."""

MAX_LEADER_WORKERS = 64
"""Number of workers up to which the leader holds all sessions. One process carries
them, and the loss of another control instance then delays nothing. Once shared, the
sessions stay so."""

MAX_LAG_CHECKS = 20
"""Number of checks, one second in all, within which a holder must have applied what was
committed."""


class SessionBalancer:
    """Assigns the sessions while this process leads.

    Parameters
    ----------
    replica : Replica
        This process's member of the consensus group.
    table : JobTable
        The replicated job table.
    registry : SessionRegistry
        Leases and reports of the holders.
    holder : SessionHolder
        This process.
    propose : callable
        Proposes a command to the replicated log.
    clock : Clock
        Source of time.
    load : LeaderLoad
        Records by how much the checks are late.
    """

    def __init__(
        self,
        replica: Replica,
        table: JobTable,
        registry: SessionRegistry,
        holder: SessionHolder,
        propose: Propose,
        clock: Clock,
        load: LeaderLoad,
    ):
        self._replica = replica
        self._table = table
        self._registry = registry
        self._holder = holder
        self._propose = propose
        self._clock = clock
        self._load = load
        self._commit_indices: list[int] = []
        self._is_unconfirmed = False
        self._checked_at = clock.monotonic()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="session-balancer", daemon=True
        )

    def start(self) -> None:
        """Start the loop."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the loop."""
        self._stopping.set()

    def _run(self) -> None:
        run_loop(self._check, self._stopping, self._clock, CHECK_SECONDS)

    def _check(self) -> None:
        # On a saturated process the interval between two checks grows.
        now = self._clock.monotonic()
        late = now - self._checked_at - CHECK_SECONDS
        self._load.observe("wake-up delay", max(0.0, late))
        self.run_once()
        self._checked_at = self._clock.monotonic()

    def run_once(self) -> None:
        """Make the changes to the assignments that are due."""
        if not self._replica.leads():
            self._commit_indices = []
            self._is_unconfirmed = False
            return
        self._registry.observe_term(self._replica.term(), self._replica.led_since())
        self._require_recent_index()
        changes = self._due_changes()
        # Without changes this only shows that former proposals are committed or lost.
        if changes or self._is_unconfirmed:
            command = AssignSessions(changes=changes, min_fence=self._replica.term())
            self._is_unconfirmed = not self._propose(
                JobCommand(assign_sessions=command)
            )
        if not self._is_unconfirmed:
            self._registry.end_revocations()

    def _require_recent_index(self) -> None:
        indices = [*self._commit_indices, self._replica.status().commit_index]
        self._commit_indices = indices[-MAX_LAG_CHECKS:]
        if len(self._commit_indices) == MAX_LAG_CHECKS:
            self._registry.require_index(self._commit_indices[0])

    def _due_changes(self) -> list[SessionAssignmentChange]:
        live = self._registry.live_holders()
        voters = set(self._replica.voters())
        with self._table.lock:
            assignments = dict(self._table.session_assignments.by_shard)
            worker_count = len(self._table.workers)
        if not assignments and worker_count <= MAX_LEADER_WORKERS:
            return []
        current: dict[int, SessionHolder | None] = {}
        for shard in range(SHARD_COUNT):
            item = assignments.get(shard)
            current[shard] = self._holder if item is None else item.holder
        candidates = sorted(
            holder_id
            for holder_id, status in live.items()
            if holder_id.node_id in voters and not status.leaving
        )
        wanted = balance_sessions(
            current, candidates, self._holder, self._max_moves(candidates, live)
        )
        changes = []
        moves: dict[tuple[SessionHolder | None, SessionHolder | None], list[str]] = {}
        for shard, holder_id in wanted.items():
            item = assignments.get(shard)
            fence = 0 if item is None else item.fence
            target: SessionHolder | None = holder_id
            if item is not None and item.holder is not None:
                if item.holder in live:
                    target = None  # It has to stop first.
                elif not self._registry.revoke(item.holder):
                    continue
            elif item is not None and not self._has_stopped(item.former, item.index):
                continue
            moves.setdefault((current[shard], target), []).append(str(shard))
            changes.append(
                SessionAssignmentChange(
                    shard=shard,
                    holder=None if target is None else target.to_record(),
                    expected_fence=fence,
                )
            )
        for (before, after), shards in moves.items():
            logging.info(
                "session shards %s: holder %s, before %s",
                ",".join(shards),
                after or "nobody",
                before or "nobody",
            )
        return changes

    def _has_stopped(self, former: SessionHolder | None, index: int) -> bool:
        return (
            former is None
            or self._registry.has_applied(former, index)
            or self._registry.revoke(former)
        )

    def _max_moves(
        self,
        candidates: Iterable[SessionHolder],
        live: dict[SessionHolder, HolderStatus],
    ) -> int:
        """Return how many shards may be moved for the sake of balance now."""
        led_for = self._clock.monotonic() - self._replica.led_since()
        is_steady = led_for >= STEADY_SECONDS and all(
            live[holder_id].seconds >= STEADY_SECONDS for holder_id in candidates
        )
        return MOVES_AT_ONCE if is_steady else 0
