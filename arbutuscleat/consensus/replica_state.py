"""State that the threads of one replica share, and the transitions between roles.

There are two locks.  `disk_lock` serialises all writes to the disk and is held
during each of them.  `lock` protects the state in memory and is never held for
longer than the sync of a record of a few bytes takes.  `disk_lock` is always taken
before `lock`.
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
        Node id and incarnation of the replica.
    cfg : ReplicaConfig
        Timing and size limits.
    disk : Disk
        The data folder.
    state_machine : StateMachine
        State machine to which the committed commands are applied.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of random election timeouts.
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
        # Wakes the threads of the peers when there may be something to send.
        self.send_ready = threading.Condition(self.lock)
        # Not woken by entries: the threads of learners look for them at an interval.
        self.learner_send_ready = threading.Condition(self.lock)
        # Wakes the writer when entries wait to be synced.
        self.write_ready = threading.Condition(self.lock)
        # Wakes the callers that wait for answers of a quorum.
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
        # A leader may have been heard just before a restart: no pre-vote is granted
        # against it until it has been silent for the shortest election timeout.
        self.last_heard = clock.monotonic()
        # Whether this replica led the latest term it knows of before it restarted.
        self.was_leader = False
        # Whether it has won the election of the latest term.
        self.has_led = False
        # Payloads of the entries that were applied since the last snapshot.
        self.applied_bytes = 0
        # When the write of entries in progress began; None if there is none.
        self.write_began_at: float | None = None
        self._load()
        if self.log.load_error is not None:
            with self.lock:
                self.fail(self.log.load_error)
        self._started_at = clock.monotonic()
        self.election_due = self._next_election()

    def _load(self) -> None:
        vote = load_vote(self.disk)
        self.term: int = vote.term
        self.voted_for: str = vote.voted_for
        self.was_leader = self.has_led = bool(vote.led)
        self.snapshot = load_snapshot(self.disk) or SnapshotRecord(
            last_index=0, last_term=0, replicas=EMPTY_SET, data=b""
        )
        if self.snapshot.data:
            self.state_machine.restore(self.snapshot.data)
        base = self.snapshot.last_index
        self.commit_index = base
        self.applied_index = base
        self.applied_term = self.snapshot.last_term
        self.log = Log(self.disk, base, self.snapshot.last_term)
        self.membership = MembershipLog(self.snapshot.replicas, base)
        first = max(base, self.log.base_index) + 1
        self.membership.add(self.log.slice(first, self.log.last_index, 1 << 62))

    # ---- queries; the caller holds `lock` ----

    def is_voter(self) -> bool:
        """Return whether the log lists this incarnation of the replica as a voter."""
        record = self.membership.record(self.node_id)
        if record is None or not record.voter:
            return False
        return record.incarnation == self.incarnation

    def is_learner(self, peer: str) -> bool:
        """Return whether the log does not list a peer as a voter."""
        return peer not in self.membership.voters()

    def hears_leader(self) -> bool:
        """Return whether a leader was heard within the shortest election timeout."""
        silence = self.clock.monotonic() - self.last_heard
        return silence < self.cfg.election_seconds

    def known_leader(self) -> str:
        """Return the leader; empty if it was silent for the longest election timeout.

        A replica that is not a voter never starts an election, so without this limit
        it would name a leader forever after it has been cut off from that leader.
        """
        silence = self.clock.monotonic() - self.last_heard
        longest = self.cfg.election_seconds * self.cfg.election_spread
        if self.role is not Role.LEADER and silence > longest:
            return ""
        return self.leader

    def is_responsive(self, progress: Progress) -> bool:
        """Return whether a peer has answered within two heartbeats, and can write."""
        silence = self.clock.monotonic() - progress.acknowledged_at
        return silence < 2 * self.cfg.heartbeat_seconds and not progress.disk_failed

    def quorum_heard_since(self, moment: float) -> bool:
        """Return whether a majority answered requests sent at or after `moment`.

        Parameters
        ----------
        moment : float
            In monotonic seconds.
        """
        heard = 0
        for voter in self.membership.voters():
            if voter == self.node_id:
                heard += 1
            elif (progress := self.progress.get(voter)) is not None:
                heard += progress.acknowledged_at >= moment
        return heard >= self.membership.quorum()

    def leads(self) -> bool:
        """Return whether this replica leads and hears a quorum.

        It hears a quorum if a majority answered requests that it sent within the
        shortest election timeout.
        """
        if self.role is not Role.LEADER:
            return False
        since = self.clock.monotonic() - self.cfg.election_seconds
        return self.quorum_heard_since(since)

    def does_disk_hang(self) -> bool:
        """Return whether a write of entries has taken `disk_hang_seconds`."""
        began_at = self.write_began_at
        if began_at is None:
            return False
        return self.clock.monotonic() - began_at >= self.cfg.disk_hang_seconds

    # ---- changes; the caller holds `lock` ----

    def fail(self, exc: OSError) -> None:
        """Enter the failed role, after a failed write or sync.

        `DiskRecovery` leaves it once the whole state has been written to new files.
        """
        self.failure = str(exc)
        self.role = Role.FAILED
        self.leader = ""
        logging.error(
            "replica %s: failed on a disk error in term %d after entry %d: %s; %s",
            self.node_id,
            self.term,
            self.log.synced_index,
            exc,
            self._file_sizes(),
        )
        self.send_ready.notify_all()
        self.peer_answered.notify_all()

    def recover(self) -> None:
        """Leave the failed role as a follower without a known leader.

        As after a restart, no pre-vote is granted for the shortest election timeout.
        """
        self.failure = ""
        self.last_heard = self.clock.monotonic()
        self.become_follower("")

    def _file_sizes(self) -> str:
        """Return the files and their sizes, as written in logs."""
        try:
            sizes = self.disk.sizes()
        except OSError as exc:
            return f"sizes of the files unknown: {exc}"
        return ", ".join(f"{name} {size} bytes" for name, size in sorted(sizes.items()))

    def reset_election_timer(self) -> None:
        """Restart the election timer with a random timeout."""
        self.election_due = self._next_election()

    def become_follower(self, leader: str) -> None:
        """Become a follower of `leader`; an empty string means that none is known."""
        if self.role is Role.LEADER:
            logging.info(
                "replica %s: no longer leader, now in term %d", self.node_id, self.term
            )
        self.role = Role.FOLLOWER
        self.leader = leader
        self.reset_election_timer()
        self.send_ready.notify_all()
        self.peer_answered.notify_all()

    def become_leader(self) -> None:
        """Become the leader of the current term.

        The first entry of the term is a no-operation: once it is committed, so are
        the entries of earlier terms.
        """
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
        """Append an entry of the current term in memory.

        `Replication.write_unsynced` makes it durable.
        """
        entry = LogEntry(
            index=self.log.last_index + 1, term=self.term, kind=kind, payload=payload
        )
        self.log.append(entry)
        self.membership.add([entry])
        self.send_ready.notify_all()
        return entry

    def advance_commit(self) -> None:
        """Commit and apply the entries that a majority of voters has synced."""
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
        # Counting replicas commits only entries of the current term; earlier entries
        # are committed with them.
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_to(index)
            self._schedule_commit_notices()

    def _schedule_commit_notices(self) -> None:
        """Send the voters the commit index soon, unless another request carries it."""
        if self.cfg.commit_notice_seconds is None:
            return
        due = self.clock.monotonic() + self.cfg.commit_notice_seconds
        for voter in self.membership.voters():
            progress = self.progress.get(voter)
            if progress is not None and self.is_responsive(progress):
                progress.send_at = min(progress.send_at, due)
        self.send_ready.notify_all()

    def commit_to(self, index: int) -> None:
        """Commit and apply the entries up to `index`."""
        if index <= self.commit_index:
            return
        self.commit_index = index
        while self.applied_index < index:
            self._apply(self.applied_index + 1)
            self.applied_index += 1

    def _apply(self, index: int) -> None:
        entry = self.log.entry(index)
        if entry is None:
            raise InvariantError(f"committed entry {index} is missing from the log")
        result: Any = None
        self.applied_bytes += len(entry.payload)
        if entry.kind == EntryKind.COMMAND:
            result = self.state_machine.apply(index, entry.payload)
        pending = self.pending_proposals.pop(index, None)
        if pending is not None:
            pending.applied = pending.term == entry.term
            pending.overwritten = not pending.applied
            pending.result = result
            pending.done.set()
        self.applied_term = entry.term

    # ---- changes; the caller holds no lock ----

    def observe_term(self, term: int) -> None:
        """Adopt the term in a peer's message if it is later than the current one.

        If it is not, which is the common case, this must not wait for the disk.
        """
        with self.lock:
            if term <= self.term:
                return
        with self.disk_lock, self.lock:
            if term > self.term and self.role is not Role.FAILED:
                self.adopt_term(term)

    # ---- changes; the caller holds both locks ----

    def adopt_term(self, term: int) -> bool:
        """Move to a later term as a follower without a known leader.

        Returns
        -------
        bool
            False if the disk fails.
        """
        if not self.persist_vote(term, ""):
            return False
        self.become_follower("")
        return True

    def persist_vote(self, term: int, voted_for: str, led: bool = False) -> bool:
        """Write and sync the current term and vote.

        Parameters
        ----------
        term : int
            The term.
        voted_for : str
            Node id of the candidate that has the vote; empty if none has.
        led : bool, default=False
            Whether this replica has won the election of the term.

        Returns
        -------
        bool
            False if the disk fails.
        """
        try:
            save_vote(self.disk, VoteRecord(term=term, voted_for=voted_for, led=led))
        except OSError as exc:
            self.fail(exc)
            return False
        if term != self.term:
            self.was_leader = False
        self.term = term
        self.voted_for = voted_for
        self.has_led = led
        return True

    def _next_election(self) -> float:
        """Return when to start an election unless a leader is heard before."""
        now = self.clock.monotonic()
        if self.was_leader and now - self._started_at < self.cfg.election_seconds:
            return now + self.cfg.former_leader_election_seconds
        spread = self._rng.uniform(1.0, self.cfg.election_spread)
        return now + self.cfg.election_seconds * spread
