"""How many voters a group has, and what it tolerates on the way there and back."""

import random

import pytest
from testtools import TestCase

from arbutuscleat.consensus import ReplicaConfig
from arbutuscleat.nodes.control_node import replica_config
from tests import guarantees
from tests.consensus.group import FOUNDERS, Group

THREE_VOTERS = ReplicaConfig(max_voters=3, voter_silence_seconds=2.0)
FIVE_VOTERS = ReplicaConfig(max_voters=5, voter_silence_seconds=2.0)
FIVE = ("a", "b", "c", "d", "e")


class VoterCountTest(TestCase):
    def setUp(self):
        super().setUp()
        self.group = Group(FIVE_VOTERS)
        self.group.run(4.0)

    def followers(self):
        return [name for name in self.group.replicas if name != self.group.leader()]

    def use_five(self):
        self.group.add_learners("d", "e")
        self.group.run(1.0)
        self.assertEqual(set(FIVE), self.group.voters())

    def counts_while(self, seconds):
        """Return the numbers of voters that the leader counts while time passes."""
        found = set()
        for _ in range(int(seconds / 0.1)):
            self.group.run(0.1)
            if self.group.leader() is not None:
                found.add(len(self.group.voters()))
        return found

    def test_the_tolerated_losses_determine_the_number_of_voters(self):
        counts = [replica_config(losses).max_voters for losses in range(4)]
        self.assertEqual([3, 3, 5, 7], counts)

    # ---- up and down ----

    def test_five_replicas_have_five_voters(self):
        self.use_five()

    def test_six_replicas_have_five_voters(self):
        self.use_five()
        self.group.add_learners("f")
        self.assertEqual({5}, self.counts_while(5.0))

    def test_five_replicas_have_three_voters_where_one_loss_is_tolerated(self):
        self.group.restart(*FOUNDERS, cfg=THREE_VOTERS)
        self.group.run(4.0)
        self.group.add_learners("d", "e")
        self.assertEqual({3}, self.counts_while(5.0))

    def test_one_loss_is_tolerated_with_four_voters(self):
        self.group.add_learners("d")
        self.assertEqual(4, len(self.group.voters()))
        self.group.silent.add(self.group.leader())
        self.group.run(5.0)
        self.assertIsNotNone(self.group.leader())

    def test_a_group_restarted_from_a_log_with_three_voters_gets_five(self):
        self.group = Group(THREE_VOTERS)
        self.group.run(4.0)
        self.group.add_learners("d", "e")
        self.assertEqual(set(FOUNDERS), self.group.voters())
        self.group.restart(*FIVE, cfg=FIVE_VOTERS)
        self.group.run(5.0)
        self.assertEqual(set(FIVE), self.group.voters())

    def test_surplus_voters_keep_their_votes_while_they_answer_and_are_odd(self):
        self.use_five()
        self.group.restart(*FIVE, cfg=THREE_VOTERS)
        self.group.run(4.0)
        self.assertEqual({5}, self.counts_while(5.0))
        for left in (3, 3):
            followers = self.group.voters() - {self.group.leader()}
            self.group.silent.add(min(followers))
            self.group.run(4.0)
            self.assertEqual(left, len(self.group.voters()))

    def test_a_snapshot_with_five_voters_is_read_with_five(self):
        self.use_five()
        for number in range(20):
            self.group.propose(str(number))
        self.group.run(1.0)
        for replica in self.group.replicas.values():
            replica._snapshots.write()
        self.group.restart(*FIVE)
        self.group.run(4.0)
        self.assertEqual(set(FIVE), self.group.voters())
        self.assertEqual(20, len(self.group.applied(self.group.leader())))

    # ---- losses ----

    def test_two_silent_voters_of_five_stay_voters(self):
        """Guards against fewer copies of an entry while the silent ones may return."""
        self.use_five()
        self.group.silent.update(self.followers()[:2])
        self.assertEqual({5}, self.counts_while(30.0))
        self.group.propose("committed by three")
        self.group.run(1.0)
        self.assertEqual(["committed by three"], self.group.acknowledged())

    def test_each_silent_voter_of_five_is_replaced_by_a_new_machine(self):
        self.use_five()
        lost = self.followers()[:2]
        self.group.silent.update(lost)
        self.group.run(3.0)
        for name in "fg":
            self.group.add_learners(name)
            self.group.run(1.0)
        self.assertEqual(set("abcdefg") - set(lost), self.group.voters())

    def test_a_silent_voter_is_dropped_only_after_its_successor_is_a_voter(self):
        self.use_five()
        self.group.silent.add(self.followers()[0])
        self.group.run(3.0)
        self.group.add("f")
        self.group.join("f")
        self.assertLessEqual(self.counts_while(3.0), {5, 6})
        self.assertIn("f", self.group.voters())
        self.assertEqual(5, len(self.group.voters()))

    def test_a_silent_voter_stays_one_while_another_is_without_its_disk(self):
        """Guards against three voters, one of them lost, while a fourth may return."""
        self.use_five()
        silent, lost = self.followers()[:2]
        self.group.lose_disks(lost)
        self.group.run(0.2)
        self.group.silent.update({silent, lost})
        self.group.run(10.0)
        self.assertIn(silent, self.group.voters())
        self.group.silent.discard(lost)
        self.group.run(1.0)
        self.assertEqual(set(FIVE), self.group.voters())

    def test_a_removed_voter_that_returns_votes_only_in_place_of_another(self):
        self.use_five()
        lost, later = self.followers()[:2]
        self.group.silent.add(lost)
        self.group.run(3.0)
        self.group.add_learners("f")
        self.group.run(1.0)
        self.group.silent.discard(lost)
        self.group.run(0.5)
        self.group.join(lost)
        self.assertEqual({5}, self.counts_while(3.0))
        self.assertNotIn(lost, self.group.voters())
        self.group.silent.add(later)
        self.group.run(5.0)
        self.assertEqual(set("abcdef") - {later}, self.group.voters())

    def test_a_replica_that_lost_its_disk_is_a_voter_again_within_a_second(self):
        self.use_five()
        lost = self.followers()[0]
        self.group.lose_disks(lost)
        self.group.run(1.0)
        self.assertTrue(self.group.replicas[lost].status().voter)
        self.assertEqual(set(FIVE), self.group.voters())

    def test_two_more_losses_are_borne_after_two_new_machines_have_joined(self):
        self.use_five()
        self.group.silent.update(self.followers()[:2])
        self.group.run(3.0)
        self.group.add_learners("f", "g")
        self.group.run(2.0)
        leader = self.group.leader()
        self.group.silent.update({leader, min(self.group.voters() - {leader})})
        self.group.run(5.0)
        self.assertIsNotNone(self.group.leader())


class AcknowledgedEntryTest(TestCase):
    """The loss of two disks and of all other power just after an entry is committed."""

    def check(self, first, lost):
        """Commit an entry with a leader and two holders, then lose disks and power.

        Parameters
        ----------
        first : int
            Position of the first of the two holders among the followers.
        lost : callable
            Returns whose disks are lost, from the leader and the two holders.
        """
        group = Group(FIVE_VOTERS)
        group.run(4.0)
        group.add_learners("d", "e")
        group.run(1.0)
        leader = group.leader()
        holders = [name for name in FIVE if name != leader][first : first + 2]
        group.propose("acknowledged")
        group.replicas[leader].write_unsynced()
        for name in holders:
            group.exchange(leader, name)
        self.assertEqual(["acknowledged"], group.acknowledged())
        gone = lost(leader, holders)
        group.restart(*(name for name in FIVE if name not in gone))
        group.lose_disks(*gone)
        group.run(10.0)
        self.assertIsNotNone(group.leader())
        self.assertEqual(["acknowledged"], group.applied(group.leader()))
        self.assertEqual(set(FIVE), group.voters())

    def test_it_stays_if_the_leader_and_another_holder_lose_their_disks(self):
        for first in range(3):
            self.check(first, lambda leader, holders: (leader, holders[0]))

    def test_it_stays_if_two_followers_that_hold_it_lose_their_disks(self):
        for first in range(3):
            self.check(first, lambda leader, holders: holders)


class DisturbedGroup:
    """A group of five in which replicas run, fail and return in a random order.

    Parameters
    ----------
    seed : int
        Seed of the order and of the failures.
    """

    MAX_LOST_DISKS = 2
    STEPS = 2000
    STEP_SECONDS = 0.01

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.group = Group(FIVE_VOTERS)
        self.group.run(4.0)
        self.group.add_learners("d", "e")
        self.group.run(1.0)
        self.leaders = {}
        self.committed = []
        self.lost_disks = set()
        self.proposals = 0

    def run(self):
        for _ in range(self.STEPS):
            self.step()
            if self.rng.random() < 0.01:
                self.disturb()

    def step(self):
        group, rng = self.group, self.rng
        group.clock.advance(self.STEP_SECONDS)
        for name in rng.sample(FIVE, len(FIVE)):
            if name in group.silent:
                continue
            replica = group.replicas[name]
            if rng.random() < 0.3:
                replica.tick()
            if rng.random() < 0.3:
                self.propose(name)
            if rng.random() < 0.5:
                replica.write_unsynced()
            for peer in rng.sample(FIVE, len(FIVE)):
                if peer in replica._state.progress and rng.random() < 0.5:
                    group.exchange(name, peer, answer_lost=rng.random() < 0.05)
            self.check()

    def propose(self, name):
        if self.group.replicas[name].leads():
            self.proposals += 1
            self.group.propose(str(self.proposals), name)

    def check(self):
        for term, name in self.group.leading():
            first = self.leaders.setdefault(term, name)
            assert first == name, f"term {term}: led by {first} and {name}"
        for name in FIVE:
            applied = self.group.applied(name)
            shorter, longer = sorted([self.committed, applied], key=len)
            guarantees.committed_entries_stay(shorter, longer)
            self.committed = longer

    def disturb(self):
        group, rng = self.group, self.rng
        self.lost_disks = {
            name for name in self.lost_disks if not self.is_voter_again(name)
        }
        name = rng.choice(FIVE)
        match rng.choice(["disk", "disk", "kill", "kill all", "freeze", "cut", "heal"]):
            case "disk" if len(self.lost_disks | {name}) <= self.MAX_LOST_DISKS:
                self.lost_disks.add(name)
                group.lose_disks(name)
            case "kill":
                group.restart(name)
            case "kill all":
                group.restart(*FIVE)
            case "freeze":
                group.silent.add(name)
            case "cut":
                half = set(rng.sample(FIVE, 2))
                rest = set(FIVE) - half
                group.cut = {frozenset((one, two)) for one in half for two in rest}
            case "heal":
                self.heal()

    def heal(self):
        self.group.silent.clear()
        self.group.cut.clear()

    def is_voter_again(self, name):
        """Return whether a leader has committed that a replica votes again."""
        leader = self.group.leader()
        if leader is None:
            return False
        state = self.group.replicas[leader]._state
        record = state.membership.record(name)
        if record is None or not record.voter:
            return False
        listed = record.incarnation == self.group.incarnations[name]
        return listed and state.membership.current_index <= state.commit_index


@pytest.mark.parametrize("seed", range(8))
def test_five_voters_keep_what_was_acknowledged_whatever_two_disks_are_lost(seed):
    disturbed = DisturbedGroup(seed)
    disturbed.run()
    disturbed.heal()
    group = disturbed.group
    group.run(15.0)
    assert group.leader() is not None
    assert group.voters() == set(FIVE)
    acknowledged = group.acknowledged()
    assert acknowledged
    guarantees.acknowledged_entries_stay(acknowledged, group.applied(group.leader()))
    disturbed.check()
