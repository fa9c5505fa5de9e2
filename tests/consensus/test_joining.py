"""Groups whose members the log lists: joining, replacing, leadership transfer."""

from dataclasses import replace

from testtools import TestCase

from arbutuscleat.consensus import ReplicaConfig, Role
from tests.consensus.group import FOUNDERS, Group

CONFIG = ReplicaConfig(max_voters=3, voter_silence_seconds=2.0)


class JoiningTest(TestCase):
    def setUp(self):
        super().setUp()
        self.group = Group(CONFIG)
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
        self.group = Group(replace(CONFIG, max_voters=5))
        self.group.run(4.0)
        for name in ("d", "e"):
            self.group.add(name)
            self.group.join(name)
            self.group.run(1.0)
        for name in FOUNDERS[:2]:
            self.group.add(name)
        self.group.run(10.0)
        self.assertIsNotNone(self.group.leader())

    def test_a_replica_that_lost_its_disk_holds_nothing_until_sent_it_again(self):
        """Guards against commits that count what the lost disk had acknowledged."""
        leader, _, lost = self.lose_a_disk(after_commands=100)
        replica = self.group.replicas[leader]
        while replica._state.membership.record(lost).voter:
            self.group.clock.advance(0.1)
            self.group.exchange(leader, lost)
            replica.tick()
        self.group.cut.add(frozenset((leader, lost)))
        self.group.run(1.0)
        self.assertEqual(0, replica._state.progress[lost].match_index)
        self.assertNotIn(lost, self.group.voters())

    def test_a_promoted_replica_votes_before_it_holds_its_promotion(self):
        """Guards against an election that lacks the vote of a replica just promoted."""
        leader, other, lost = self.lose_a_disk()
        replica = self.group.replicas[leader]
        incarnation = self.group.incarnations[lost]
        while not self.is_voter(leader, lost, incarnation):
            replica.write_unsynced()
            self.group.exchange(leader, other)
            self.group.exchange(leader, lost)
            self.group.clock.advance(0.1)
            replica.tick()
        replica.write_unsynced()
        self.group.exchange(leader, other)
        self.assertFalse(self.is_voter(lost, lost, incarnation))
        self.group.silent.add(leader)
        self.group.run(8.0)
        self.assertEqual(other, self.group.leader())

    def lose_a_disk(self, after_commands=0):
        """Empty a follower's disk; return the leader, the other and this follower."""
        for number in range(after_commands):
            self.group.propose(str(number))
        self.group.run(1.0)
        leader = self.group.leader()
        other, lost = [name for name in FOUNDERS if name != leader]
        self.group.lose_disks(lost)
        return leader, other, lost

    def is_voter(self, observer, name, incarnation):
        """Return whether the log of a replica lists an incarnation as a voter."""
        record = self.group.replicas[observer]._state.membership.record(name)
        return record is not None and record.voter and record.incarnation == incarnation

    def test_a_new_learner_that_falls_silent_is_listed_once(self):
        """Guards against an entry at each tick, which held up all other changes."""
        leader = self.group.leader()
        before = self.group.replicas[leader]._state.log.last_index
        self.group.add("d")
        self.group.join("d")
        self.group.silent.add("d")
        self.group.run(3.0)
        state = self.group.replicas[leader]._state
        self.assertEqual(before + 1, state.log.last_index)

    def test_a_learner_that_never_answered_a_new_leader_is_not_promoted(self):
        """Guards against a short log, in which every learner counts as caught up."""
        self.group = Group(replace(CONFIG, max_voters=5))
        self.group.run(4.0)
        self.group.add("d")
        self.group.join("d")
        self.group.silent.add("d")
        self.group.run(3.0)
        self.group.replicas[self.group.leader()].transfer_leadership()
        self.group.run(1.0)
        self.assertEqual(set(FOUNDERS), self.group.voters())

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
