"""A group of replicas whose steps the test runs, without threads or sockets."""

import random
from itertools import count

from returns.result import Failure, Success

from arbutuscleat.consensus import Peer, Replica, Role, initialise, open_identity
from arbutuscleat.consensus.proposal import PendingProposal
from arbutuscleat.wire import CallError, CallErrorKind
from arbutuscleat.wire.gen.ttypes import (
    AppendRequest,
    EntryKind,
    SnapshotChunk,
    TakeOverRequest,
    VoteRequest,
)
from tests.fakes import ManualClock, MemoryDisk
from tests.fakes.state_machine import RecordingStateMachine

FOUNDERS = ("a", "b", "c")
STEP_SECONDS = 0.1


class DirectPeer(Peer):
    """Calls the handlers of another replica of the group directly."""

    def __init__(self, group, sender, node_id):
        self._group = group
        self._sender = sender
        self._node_id = node_id

    @property
    def node_id(self):
        return self._node_id

    def send(self, request, timeout):
        replica = self._group.replicas.get(self._node_id)
        if replica is None or not self._group.reaches(self._sender, self._node_id):
            return Failure(CallError(CallErrorKind.CONNECT, "silent"))
        handlers = {
            VoteRequest: replica.handle_vote,
            AppendRequest: replica.handle_append,
            SnapshotChunk: replica.handle_install,
            TakeOverRequest: replica.handle_take_over,
        }
        return Success(handlers[type(request)](request))

    def close(self):
        pass


class Group:
    """Replicas whose steps the test runs, one after the other.

    Parameters
    ----------
    cfg : ReplicaConfig
        Timing and size limits of the replicas.
    founders : sequence of str, optional
        Node ids of the first voters.
    make_state_machine : callable, optional
        Creates the state machine of a replica that starts.

    Attributes
    ----------
    silent : set of str
        Replicas that neither run nor answer.
    cut : set of frozenset of str
        Pairs of replicas that do not reach each other.
    """

    def __init__(
        self, cfg, founders=FOUNDERS, make_state_machine=RecordingStateMachine
    ):
        self._make_state_machine = make_state_machine
        self.cfg = cfg
        self.clock = ManualClock()
        self.replicas = {}
        self.disks = {}
        self.incarnations = {}
        self.silent = set()
        self.cut = set()
        self._numbers = count(len(founders))
        self._proposals = []
        for name in founders:
            disk = MemoryDisk()
            initialise(disk, name, founders)
            self.add(name, disk)

    # ---- machines ----

    def add(self, name, disk=None):
        """Start a replica; without a disk, its data folder is empty."""
        disk = disk or MemoryDisk()
        identity = open_identity(disk, name, f"{name}-{next(self._numbers)}")
        self.disks[name] = disk
        self.incarnations[name] = identity.incarnation
        replica = Replica(
            identity,
            self.cfg,
            disk,
            [],
            self._make_state_machine(),
            self.clock,
            random.Random(identity.incarnation + name),
            lambda node_id: DirectPeer(self, name, node_id),
        )
        replica._update_peers()
        self.replicas[name] = replica

    def add_learners(self, *names):
        """Start replicas and have the leader list them, one after the other."""
        for name in names:
            self.add(name)
            self.join(name)
            self.run(1.0)

    def restart(self, *names, cfg=None):
        """Restart replicas from what their disks hold, as after a loss of power."""
        self.cfg = cfg or self.cfg
        for name in names:
            self.add(name, self.disks[name].copy())

    def lose_disks(self, *names):
        """Restart replicas with empty data folders."""
        for name in names:
            self.add(name)

    def reaches(self, sender, receiver):
        if {sender, receiver} & self.silent:
            return False
        return frozenset((sender, receiver)) not in self.cut

    # ---- steps ----

    def run(self, seconds):
        for _ in range(int(seconds / STEP_SECONDS)):
            for name in list(self.replicas):
                if name not in self.silent:
                    self.step(name)
            self.clock.advance(STEP_SECONDS)

    def step(self, name):
        replica = self.replicas[name]
        replica.tick()
        replica.write_unsynced()
        for peer in list(replica._state.progress):
            for _ in range(3):
                if not self.exchange(name, peer):
                    break

    def exchange(self, name, peer, answer_lost=False):
        """Send what is due to a peer; return whether anything was."""
        replica = self.replicas[name]
        request = replica.next_request(peer)
        if request is None:
            return False
        sent_at = self.clock.monotonic()
        answer = DirectPeer(self, name, peer).send(request, 1.0)
        if isinstance(answer, Success) and not answer_lost:
            replica.handle_answer(peer, request, answer.unwrap(), sent_at)
        return True

    # ---- requests ----

    def join(self, name):
        return self.replicas[self.leader()].accept_join(name, self.incarnations[name])

    def propose(self, text, name=None):
        """Append a command at the leader without waiting for its commit."""
        pending = self.append(text.encode(), name or self.leader())
        self._proposals.append((text, pending))

    def append(self, payload, name):
        """Append a command at a replica and return the proposal."""
        state = self.replicas[name]._state
        with state.lock:
            entry = state.append(EntryKind.COMMAND, payload)
            pending = PendingProposal(entry.term)
            state.pending_proposals[entry.index] = pending
        return pending

    def acknowledged(self):
        """Return the commands whose proposer has been told of the commit."""
        return [text for text, pending in self._proposals if pending.applied]

    # ---- reading ----

    def leader(self):
        leaders = [
            name
            for name, replica in self.replicas.items()
            if replica.leads() and name not in self.silent
        ]
        return leaders[-1] if leaders else None

    def leading(self):
        """Return the term and the node id of each replica that leads or believes so."""
        return [
            (replica.term(), name)
            for name, replica in self.replicas.items()
            if replica.status().role is Role.LEADER
        ]

    def voters(self):
        return set(self.replicas[self.leader()]._state.membership.voters())

    def applied(self, name):
        return [text for _, text in self.replicas[name]._state.state_machine.applied]
