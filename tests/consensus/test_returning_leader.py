"""A killed leader that restarts leads again without waiting for an election timeout."""

from testtools import TestCase

from arbutuscleat.consensus import Role
from tests.consensus.harness import ReplicaHarness, entries


class KnownLeaderTest(TestCase):
    def test_a_silent_leader_is_no_longer_reported(self):
        """A learner in a data centre that is cut off never starts an election."""
        harness = ReplicaHarness(founder=False)
        harness.append(entries(1, 1), term=1, leader="b")
        self.assertEqual("b", harness.replica.status().leader)
        harness.clock.advance(
            harness.cfg.election_seconds * harness.cfg.election_spread
        )
        harness.clock.advance(0.01)
        self.assertEqual("", harness.replica.status().leader)

    def test_a_leader_reports_itself(self):
        harness = ReplicaHarness().lead()
        harness.clock.advance(60.0)
        self.assertEqual("a", harness.replica.status().leader)


class ReturningLeaderTest(TestCase):
    def role_soon_after_start(self, harness):
        harness.clock.advance(harness.cfg.former_leader_election_seconds + 0.01)
        harness.replica.tick()
        return harness.state.role

    def test_a_former_leader_asks_for_votes_soon_after_its_start(self):
        harness = ReplicaHarness().lead().restart()
        self.assertIs(Role.PRE_CANDIDATE, self.role_soon_after_start(harness))
        self.assertTrue(harness.replica.next_request("b").returns)

    def test_it_asks_again_while_its_peers_start(self):
        harness = ReplicaHarness().lead().restart()
        self.role_soon_after_start(harness)
        first = harness.state.round
        self.role_soon_after_start(harness)
        self.assertEqual(first + 1, harness.state.round)

    def test_others_wait_for_their_timeout(self):
        harness = ReplicaHarness()
        harness.append(entries(1, 1), term=1)
        harness.restart()
        self.assertIs(Role.FOLLOWER, self.role_soon_after_start(harness))

    def test_a_leader_of_an_earlier_term_waits_for_its_timeout(self):
        harness = ReplicaHarness().lead()
        harness.append([], term=harness.state.term + 1)
        harness.restart()
        self.assertIs(Role.FOLLOWER, self.role_soon_after_start(harness))

    def test_a_voter_that_heard_the_leader_lets_only_it_return(self):
        harness = ReplicaHarness()
        harness.append(entries(1, 1), term=1, leader="b")
        cases = [
            ("b", False, False),
            ("c", False, False),
            ("c", True, False),
            ("b", True, True),
        ]
        for candidate, returns, granted in cases:
            answer = harness.vote(
                term=2, candidate=candidate, pre_vote=True, returns=returns
            )
            self.assertEqual(granted, answer.granted, (candidate, returns))

    def test_a_voter_that_knows_a_later_term_refuses(self):
        harness = ReplicaHarness()
        harness.append(entries(1, 2), term=2, leader="c")
        answer = harness.vote(term=2, candidate="b", pre_vote=True, returns=True)
        self.assertFalse(answer.granted)

    def test_a_voter_that_has_just_started_lets_the_former_leader_return(self):
        harness = ReplicaHarness()
        harness.append(entries(1, 1), term=1, leader="b")
        harness.restart()
        self.assertFalse(harness.vote(term=2, candidate="c", pre_vote=True).granted)
        returning = harness.vote(term=2, candidate="b", pre_vote=True, returns=True)
        self.assertTrue(returning.granted)
