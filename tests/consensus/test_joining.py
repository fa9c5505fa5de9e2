"""Groups whose members the log lists: joining, replacing, leadership transfer."""

import random

from returns.result import Failure, Success
from testtools import TestCase

from arbutuscleat.consensus import (
    Peer,
    Replica,
    ReplicaConfig,
    Role,
    initialise,
    open_identity,
)
from arbutuscleat.wire import CallError, CallErrorKind
from arbutuscleat.wire.gen.ttypes import (
    AppendRequest,
    SnapshotChunk,
    TakeOverRequest,
    VoteRequest,
)
from tests.fakes import ManualClock, MemoryDisk
from tests.fakes.state_machine import RecordingStateMachine

FOUNDERS = ("a", "b", "c")
CONFIG = ReplicaConfig(max_voters=3, voter_silence_seconds=2.0)
STEP_SECONDS = 0.1


class DirectPeer(Peer):
    """Calls the handlers of another replica of the group directly."""

    def __init__(self, group, node_id):
        self._group = group
        self._node_id = node_id

    @property
    def node_id(self):
        return self._node_id

    def send(self, request, timeout):
        replica = self._group.replicas.get(self._node_id)
        if replica is None or self._node_id in self._group.silent:
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
    """Replicas whose steps the test runs, one after the other."""

    def __init__(self):
        self.clock = ManualClock()
        self.replicas = {}
        self.incarnations = {}
        self.silent = set()
        for name in FOUNDERS:
            disk = MemoryDisk()
            initialise(disk, name, FOUNDERS)
            self.add(name, disk)

    def add(self, name, disk=None):
        disk = disk or MemoryDisk()
        incarnation = f"{name}-{len(self.incarnations)}"
        identity = open_identity(disk, name, incarnation)
        self.incarnations[name] = identity.incarnation
        replica = Replica(
            identity,
            CONFIG,
            disk,
            [],
            RecordingStateMachine(),
            self.clock,
            random.Random(name),
            lambda node_id: DirectPeer(self, node_id),
        )
        replica._update_peers()
        self.replicas[name] = replica

    def run(self, seconds):
        for _ in range(int(seconds / STEP_SECONDS)):
            for name, replica in list(self.replicas.items()):
                if name not in self.silent:
                    self._step(replica)
            self.clock.advance(STEP_SECONDS)

    def leader(self):
        leaders = [
            name
            for name, replica in self.replicas.items()
            if replica.leads() and name not in self.silent
        ]
        return leaders[-1] if leaders else None

    def voters(self):
        return set(self.replicas[self.leader()]._state.membership.voters())

    def join(self, name):
        return self.replicas[self.leader()].accept_join(name, self.incarnations[name])

    def _step(self, replica):
        replica.tick()
        replica.write_unsynced()
        for peer in list(replica._state.progress):
            for _ in range(3):
                request = replica.next_request(peer)
                if request is None:
                    break
                sent_at = self.clock.monotonic()
                answer = DirectPeer(self, peer).send(request, 1.0)
                if isinstance(answer, Success):
                    replica.handle_answer(peer, request, answer.unwrap(), sent_at)


class JoiningTest(TestCase):
    def setUp(self):
        super().setUp()
        self.group = Group()
        self.group.run(4.0)

    def test_the_founders_elect_a_leader(self):
        self.assertIsNotNone(self.group.leader())
        self.assertEqual(set(FOUNDERS), self.group.voters())

    def test_a_fourth_replica_stays_a_learner(self):
        self.group.add("d")
        self.assertTrue(self.group.join("d"))
        self.group.run(2.0)
        self.assertEqual(set(FOUNDERS), self.group.voters())
        self.assertIn("d", self.group.replicas[self.group.leader()].members())

    def test_a_replica_is_listed_once_although_its_first_answer_is_late(self):
        """Guards against an entry of the log for each tick until the answer."""
        self.group.add("d")
        state = self.group.replicas[self.group.leader()]._state
        self.group.join("d")
        self.group.silent.add("d")
        before = state.log.last_index
        self.group.run(1.0)
        self.assertEqual(before + 1, state.log.last_index)

    def test_only_the_leader_accepts_a_join(self):
        self.group.add("d")
        others = set(FOUNDERS) - {self.group.leader()}
        accepted = [
            self.group.replicas[name].accept_join("d", "d-3") for name in others
        ]
        self.assertEqual([False, False], accepted)

    def test_a_learner_replaces_a_silent_voter(self):
        self.group.add("d")
        self.group.join("d")
        self.group.run(1.0)
        lost = next(name for name in FOUNDERS if name != self.group.leader())
        self.group.silent.add(lost)
        self.group.run(4.0)
        self.assertEqual({*FOUNDERS, "d"} - {lost}, self.group.voters())

    def test_a_second_loss_is_tolerated_once_the_first_voter_is_replaced(self):
        self.group.add("d")
        self.group.join("d")
        self.group.run(1.0)
        for _ in range(2):
            name = next(n for n in FOUNDERS if n not in self.group.silent)
            self.group.silent.add(name)
            self.group.run(6.0)
            if len(self.group.silent) == 1:
                self.assertIsNotNone(self.group.leader())
        self.assertIsNotNone(self.group.leader())

    def test_a_replica_that_lost_its_disk_votes_again_only_when_listed(self):
        name = next(n for n in FOUNDERS if n != self.group.leader())
        self.group.add(name)
        self.group.run(0.3)
        self.assertFalse(self.group.replicas[name].status().voter)
        self.group.run(3.0)
        self.assertTrue(self.group.replicas[name].status().voter)

    def test_a_group_of_five_recovers_from_the_loss_of_two_disks(self):
        """Guards against a lost quorum although three of five disks remain."""
        for name in ("d", "e"):
            self.group.add(name)
            self.group.join(name)
            self.group.run(1.0)
        for name in FOUNDERS[:2]:
            self.group.add(name)
        self.group.run(10.0)
        self.assertIsNotNone(self.group.leader())

    def test_a_replaced_voter_returns_as_a_learner(self):
        self.group.add("d")
        self.group.join("d")
        self.group.run(1.0)
        lost = next(name for name in FOUNDERS if name != self.group.leader())
        self.group.silent.add(lost)
        self.group.run(4.0)
        self.group.silent.discard(lost)
        self.group.join(lost)
        self.group.run(3.0)
        self.assertNotIn(lost, self.group.voters())
        self.assertIn(lost, self.group.replicas[self.group.leader()].members())

    def test_a_stopping_leader_transfers_the_leadership_to_a_listed_voter(self):
        former = self.group.leader()
        self.assertTrue(self.group.replicas[former].transfer_leadership())
        self.assertIs(Role.FOLLOWER, self.group.replicas[former].status().role)
        self.group.silent.add(former)
        self.group.run(0.5)
        self.assertIsNotNone(self.group.leader())
