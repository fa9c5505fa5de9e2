"""A leader that was killed and starts again leads without an election timeout."""

from testtools import TestCase

from arbutuscleat.consensus import Role
from tests.consensus.bench import Bench, entries


class KnownLeaderTest(TestCase):
    def test_a_leader_that_is_silent_is_not_named_any_more(self):
        """A learner in a data centre that is cut off stands for no election."""
        bench = Bench(founder=False)
        bench.append(entries(1, 1), term=1, leader="b")
        self.assertEqual("b", bench.replica.status().leader)
        bench.clock.advance(bench.cfg.election_seconds * bench.cfg.election_spread)
        bench.clock.advance(0.01)
        self.assertEqual("", bench.replica.status().leader)

    def test_a_leader_names_itself(self):
        bench = Bench().lead()
        bench.clock.advance(60.0)
        self.assertEqual("a", bench.replica.status().leader)


class ReturningLeaderTest(TestCase):
    def ask_at_once(self, bench):
        bench.clock.advance(bench.cfg.return_seconds + 0.01)
        bench.replica.tick()
        return bench.state.role

    def test_a_former_leader_asks_for_votes_soon_after_its_start(self):
        bench = Bench().lead().restart()
        self.assertIs(Role.PRE_CANDIDATE, self.ask_at_once(bench))
        self.assertTrue(bench.replica.next_request("b").returns)

    def test_it_asks_again_while_its_peers_start(self):
        bench = Bench().lead().restart()
        self.ask_at_once(bench)
        first = bench.state.round
        self.ask_at_once(bench)
        self.assertEqual(first + 1, bench.state.round)

    def test_others_wait_for_their_timeout(self):
        bench = Bench()
        bench.append(entries(1, 1), term=1)
        bench.restart()
        self.assertIs(Role.FOLLOWER, self.ask_at_once(bench))

    def test_a_leader_of_an_earlier_term_waits_for_its_timeout(self):
        bench = Bench().lead()
        bench.append([], term=bench.state.term + 1)
        bench.restart()
        self.assertIs(Role.FOLLOWER, self.ask_at_once(bench))

    def test_a_voter_that_heard_the_leader_lets_only_it_return(self):
        bench = Bench()
        bench.append(entries(1, 1), term=1, leader="b")
        cases = [
            ("b", False, False),
            ("c", False, False),
            ("c", True, False),
            ("b", True, True),
        ]
        for candidate, returns, granted in cases:
            answer = bench.vote(
                term=2, candidate=candidate, pre_vote=True, returns=returns
            )
            self.assertEqual(granted, answer.granted, (candidate, returns))

    def test_a_voter_that_knows_a_later_term_refuses(self):
        bench = Bench()
        bench.append(entries(1, 2), term=2, leader="c")
        answer = bench.vote(term=2, candidate="b", pre_vote=True, returns=True)
        self.assertFalse(answer.granted)

    def test_a_voter_that_has_just_started_lets_the_former_leader_return(self):
        bench = Bench()
        bench.append(entries(1, 1), term=1, leader="b")
        bench.restart()
        self.assertFalse(bench.vote(term=2, candidate="c", pre_vote=True).granted)
        returning = bench.vote(term=2, candidate="b", pre_vote=True, returns=True)
        self.assertTrue(returning.granted)
