"""What the tasks of one replica share, and the steps between roles.

Two locks: `disk_lock` orders everything that is written to the disk and is held
while writing; `lock` guards memory and is never held for longer than a record
of a few bytes takes to sync.  `disk_lock` is always taken before `lock`.
"""

import random
import threading
from typing import Any

from absl import logging

from arbutuscleat.core import Clock, InvariantError
from arbutuscleat.wire.gen.ttypes import EntryKind, LogEntry, SnapshotRecord, VoteRecord

from .config import ReplicaConfig
from .disk import Disk
from .log import Log
from .membership_log import EMPTY_SET, MembershipLog
from .progress import Progress
from .proposal import PendingProposal
from .role import Role
from .state_machine import StateMachine
from .stores import load_snapshot, load_vote, save_vote


class ReplicaState:
    """Durable and volatile state of one replica.

    Parameters
    ----------
    node_id, incarnation : str
        Identity of the replica.
    cfg : ReplicaConfig
        Timing and size limits.
    disk : Disk
        The data folder.
    state_machine : StateMachine
        What the committed commands act upon.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of election timeouts.
    """

    def __init__(
        self,
        node_id: str,
        incarnation: str,
        cfg: ReplicaConfig,
        disk: Disk,
        state_machine: StateMachine,
        clock: Clock,
        rng: random.Random,
    ):
        self.node_id = node_id
        self.incarnation = incarnation
        self.cfg = cfg
        self.disk = disk
        self.state_machine = state_machine
        self.clock = clock
        self._rng = rng
        self.disk_lock = threading.Lock()
        self.lock = threading.Lock()
        # Wakes the tasks of the peers when there is something to send.
        self.send_ready = threading.Condition(self.lock)
        # Wakes the writer when entries wait for it.
        self.write_ready = threading.Condition(self.lock)
        # Wakes those who wait for a quorum to be heard.
        self.peer_answered = threading.Condition(self.lock)
        self.stopping = threading.Event()
        self.role = Role.FOLLOWER
        self.leader = ""
        self.failure = ""
        self.round = 0
        self.votes: set[str] = set()
        self.progress: dict[str, Progress] = {}
        self.pending_proposals: dict[int, PendingProposal] = {}
        self.led_since = float("-inf")
        # A leader may have been heard just before a restart: no pre-vote is given
        # against it until it has been silent for the shortest timeout.
        self.last_heard = clock.monotonic()
        # Whether this replica led the newest term it knows of before it started.
        self.was_leader = False
        self._load()
        self._started_at = clock.monotonic()
        self.election_due = self._next_election()

    def _load(self) -> None:
        vote = load_vote(self.disk)
        self.term: int = vote.term
        self.voted_for: str = vote.voted_for
        self.was_leader = bool(vote.led)
        self.snapshot = load_snapshot(self.disk) or SnapshotRecord(
            last_index=0, last_term=0, replicas=EMPTY_SET, data=b""
        )
        if self.snapshot.data:
            self.state_machine.restore(self.snapshot.data)
        base = self.snapshot.last_index
        self.commit_index = base
        self.applied_index = base
        self.log = Log(self.disk, base, self.snapshot.last_term)
        self.membership = MembershipLog(self.snapshot.replicas, base)
        first = max(base, self.log.base_index) + 1
        self.membership.add(self.log.slice(first, self.log.last_index, 1 << 62))

    # ---- reading, with `lock` held ----

    def is_voter(self) -> bool:
        """Return whether the log lists this very incarnation as a voter."""
        record = self.membership.record(self.node_id)
        if record is None or not record.voter:
            return False
        return record.incarnation == self.incarnation

    def hears_leader(self) -> bool:
        """Return whether a leader was heard within the shortest timeout."""
        silence = self.clock.monotonic() - self.last_heard
        return silence < self.cfg.election_seconds

    def known_leader(self) -> str:
        """Return the leader, or nothing when it has been silent for an election.

        A replica that is no voter never stands for election, so it would name a leader
        that it was cut off from for ever.
        """
        silence = self.clock.monotonic() - self.last_heard
        longest = self.cfg.election_seconds * self.cfg.election_spread
        if self.role is not Role.LEADER and silence > longest:
            return ""
        return self.leader

    def quorum_heard_since(self, moment: float) -> bool:
        """Return whether a majority answered a request sent at or after `moment`."""
        heard = 0
        for voter in self.membership.voters():
            if voter == self.node_id:
                heard += 1
            elif voter in self.progress:
                heard += self.progress[voter].acknowledged_at >= moment
        return heard >= self.membership.quorum()

    def leads(self) -> bool:
        """Return whether this replica leads and hears a quorum."""
        if self.role is not Role.LEADER:
            return False
        since = self.clock.monotonic() - self.cfg.election_seconds
        return self.quorum_heard_since(since)

    # ---- changing, with `lock` held ----

    def fail(self, exc: OSError) -> None:
        """Stop taking part: a failed write or sync is final."""
        self.failure = str(exc)
        self.role = Role.FAILED
        self.leader = ""
        logging.error("replica %s: the disk failed: %s", self.node_id, exc)
        self.send_ready.notify_all()

    def reset_election_timer(self) -> None:
        """Put the next election off by a random timeout."""
        self.election_due = self._next_election()

    def become_follower(self, leader: str) -> None:
        """Follow `leader`, or nobody yet when it is empty."""
        if self.role is Role.LEADER:
            logging.info("replica %s: no longer leads term %d", self.node_id, self.term)
        self.role = Role.FOLLOWER
        self.leader = leader
        self.reset_election_timer()
        self.send_ready.notify_all()
        self.peer_answered.notify_all()

    def become_leader(self) -> None:
        """Lead the current term; its first entry commits the earlier ones."""
        now = self.clock.monotonic()
        self.role = Role.LEADER
        self.leader = self.node_id
        self.led_since = now
        for progress in self.progress.values():
            progress.next_index = self.log.last_index + 1
            progress.match_index = 0
            progress.acknowledged_at = now
            progress.send_at = now
            progress.snapshot_index = 0
            progress.unlisted_incarnation = ""
        logging.info("replica %s: leads term %d", self.node_id, self.term)
        self.append(EntryKind.NO_OPERATION, b"")
        self.write_ready.notify()

    def append(self, kind: int, payload: bytes) -> LogEntry:
        """Add an entry of the current term; `write_unsynced` makes it durable."""
        entry = LogEntry(
            index=self.log.last_index + 1, term=self.term, kind=kind, payload=payload
        )
        self.log.append(entry)
        self.membership.add([entry])
        self.send_ready.notify_all()
        return entry

    def advance_commit(self) -> None:
        """Commit what a majority of voters has synced, then apply it."""
        matches = []
        for voter in self.membership.voters():
            if voter == self.node_id:
                matches.append(self.log.synced_index)
            elif voter in self.progress:
                matches.append(self.progress[voter].match_index)
            else:
                matches.append(0)
        if not matches:
            return
        matches.sort(reverse=True)
        index = matches[self.membership.quorum() - 1]
        # Only an entry of the own term is committed by counting.
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_to(index)

    def commit_to(self, index: int) -> None:
        """Commit and apply the entries up to `index`."""
        if index <= self.commit_index:
            return
        self.commit_index = index
        while self.applied_index < index:
            self.applied_index += 1
            self._apply(self.applied_index)

    def _apply(self, index: int) -> None:
        entry = self.log.entry(index)
        if entry is None:
            raise InvariantError(f"committed entry {index} is not held")
        result: Any = None
        if entry.kind == EntryKind.COMMAND:
            result = self.state_machine.apply(index, entry.payload)
        pending = self.pending_proposals.pop(index, None)
        if pending is not None:
            pending.applied = pending.term == entry.term
            pending.overwritten = not pending.applied
            pending.result = result
            pending.done.set()

    # ---- changing, with no lock held ----

    def observe_term(self, term: int) -> None:
        """Move to a later term that a peer has told of.

        The common case, no later term, must not wait for the disk.
        """
        with self.lock:
            if term <= self.term:
                return
        with self.disk_lock, self.lock:
            if term > self.term and self.role is not Role.FAILED:
                self.adopt_term(term)

    # ---- changing, with both locks held ----

    def adopt_term(self, term: int) -> bool:
        """Move to a later term as a follower of nobody; False if the disk fails."""
        if not self.persist_vote(term, ""):
            return False
        self.become_follower("")
        return True

    def persist_vote(self, term: int, voted_for: str, led: bool = False) -> bool:
        """Write and sync term and vote; False if the disk fails."""
        try:
            save_vote(self.disk, VoteRecord(term=term, voted_for=voted_for, led=led))
        except OSError as exc:
            self.fail(exc)
            return False
        if term != self.term:
            self.was_leader = False
        self.term = term
        self.voted_for = voted_for
        return True

    def _next_election(self) -> float:
        now = self.clock.monotonic()
        if self.was_leader and now - self._started_at < self.cfg.election_seconds:
            return now + self.cfg.former_leader_election_seconds
        spread = self._rng.uniform(1.0, self.cfg.election_spread)
        return now + self.cfg.election_seconds * spread
