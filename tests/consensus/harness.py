"""A harness for one replica: a test runs its steps and calls its handlers directly."""

import random
from dataclasses import replace

from returns.result import Failure

from arbutuscleat.consensus import (
    FOUNDER_INCARNATION,
    Peer,
    Replica,
    ReplicaConfig,
    initialise,
    open_identity,
)
from arbutuscleat.wire import CallError, CallErrorKind
from arbutuscleat.wire.gen.ttypes import (
    AppendAnswer,
    AppendRequest,
    EntryKind,
    LogEntry,
    VoteAnswer,
    VoteRequest,
)
from tests.fakes import ManualClock, MemoryDisk
from tests.fakes.state_machine import RecordingStateMachine

GROUP = ("a", "b", "c")
CONFIG = ReplicaConfig(snapshot_entries=1_000_000)


class SilentPeer(Peer):
    """A peer that does not answer; the test supplies its answers."""

    def __init__(self, name):
        self._name = name

    @property
    def node_id(self):
        return self._name

    def send(self, request, timeout):
        return Failure(CallError(CallErrorKind.CONNECT, "scripted"))

    def close(self):
        pass


def entries(first, *terms):
    """Return entries from index `first` on, one for each term."""
    return [
        LogEntry(
            index=first + position,
            term=term,
            kind=EntryKind.COMMAND,
            payload=f"{first + position}@{term}".encode(),
        )
        for position, term in enumerate(terms)
    ]


class ReplicaHarness:
    """Replica `a` of a group, with its disk and its clock."""

    def __init__(self, group=GROUP, disk=None, cfg=CONFIG, founder=True):
        self.group = group
        self.cfg = cfg
        self.clock = ManualClock()
        self.disk = disk or MemoryDisk()
        if founder and disk is None:
            initialise(self.disk, "a", group)
        self.open()

    def open(self):
        identity = open_identity(self.disk, "a", f"run-{self.disk.writes}")
        self.machine = RecordingStateMachine()
        self.replica = Replica(
            identity,
            self.cfg,
            self.disk,
            [SilentPeer(name) for name in self.group if name != "a"],
            self.machine,
            self.clock,
            random.Random(7),
        )
        # No thread of the replica runs, so the test reads its state directly.
        self.state = self.replica._state
        return self

    def restart(self):
        """Restart from the content of the disk."""
        self.disk = self.disk.copy()
        return self.open()

    # ---- as follower ----

    def vote(
        self,
        term=1,
        candidate="b",
        last_index=99,
        last_term=99,
        pre_vote=False,
        returns=False,
    ):
        return self.replica.handle_vote(
            VoteRequest(
                request_id=1,
                term=term,
                candidate=candidate,
                incarnation=FOUNDER_INCARNATION,
                last_index=last_index,
                last_term=last_term,
                pre_vote=pre_vote,
                returns=returns,
            )
        )

    def append(self, new, term=1, previous=(0, 0), commit=0, leader="b"):
        return self.replica.handle_append(
            AppendRequest(
                request_id=1,
                term=term,
                leader=leader,
                previous_index=previous[0],
                previous_term=previous[1],
                entries=new,
                commit_index=commit,
            )
        )

    # ---- as candidate and leader ----

    def time_out(self):
        self.clock.advance(self.cfg.election_seconds * self.cfg.election_spread + 0.1)
        self.replica.tick()

    def answer_votes(self, *voters, granted=True, incarnation=FOUNDER_INCARNATION):
        for name in voters:
            request = self.replica.next_request(name)
            term = self.state.term
            answer = VoteAnswer(1, term, granted, incarnation)
            self.replica.handle_answer(name, request, answer, self.clock.monotonic())

    def lead(self, *voters):
        """Win an election with the votes of `voters`, by default of `b`."""
        self.time_out()
        self.answer_votes(*(voters or ("b",)))
        self.answer_votes(*(voters or ("b",)))
        self.replica.write_unsynced()
        return self

    def acknowledge(self, name, incarnation=FOUNDER_INCARNATION, accepted=True):
        """Answer the request that is due for a peer; return the request."""
        self.clock.advance(self.cfg.heartbeat_seconds)
        request = self.replica.next_request(name)
        last = request.previous_index + len(request.entries) if accepted else 0
        answer = AppendAnswer(1, self.state.term, accepted, last, incarnation)
        self.replica.handle_answer(name, request, answer, self.clock.monotonic())
        return request

    def propose(self, text):
        """Append a command without waiting for it; return its index."""
        with self.state.lock:
            return self.state.append(EntryKind.COMMAND, text.encode()).index

    # ---- reading ----

    def log(self):
        log = self.state.log
        return [
            log.entry(index).term
            for index in range(log.base_index + 1, log.last_index + 1)
        ]

    def with_config(self, **changes):
        self.cfg = replace(self.cfg, **changes)
        return self.open()
