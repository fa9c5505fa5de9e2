"""Tests of what a leader sends to replicas that are not voters."""

from testtools import TestCase

from arbutuscleat.consensus import FOUNDER_INCARNATION
from tests.consensus.harness import CONFIG, ReplicaHarness

INTERVAL = 0.1


class LearnerIntervalTest(TestCase):
    """Guards against a leader whose time goes into requests that no commit needs."""

    def setUp(self):
        super().setUp()
        harness = ReplicaHarness().with_config(
            learner_interval_seconds=INTERVAL, max_voters=2
        )
        self.harness = harness.lead()
        harness.acknowledge("b")
        harness.acknowledge("c", incarnation="new")
        harness.replica.tick()
        self.assertEqual(["a", "b"], sorted(harness.state.membership.voters()))
        for name, incarnation in (("b", FOUNDER_INCARNATION), ("c", "new")):
            while (
                harness.state.progress[name].next_index <= harness.state.log.last_index
            ):
                harness.acknowledge(name, incarnation=incarnation)
        harness.clock.advance(INTERVAL)

    def next_texts(self, name):
        request = self.harness.replica.next_request(name)
        return None if request is None else [e.payload for e in request.entries]

    def test_a_voter_is_sent_each_entry_at_once(self):
        for text in ("1", "2"):
            self.harness.propose(text)
            self.assertIn(text.encode(), self.next_texts("b"))

    def test_a_learner_is_sent_entries_together_after_the_interval(self):
        for text in ("1", "2", "3"):
            self.harness.propose(text)
            if text == "1":
                self.assertEqual([b"1"], self.next_texts("c"))
            else:
                self.assertIsNone(self.next_texts("c"))
        self.harness.clock.advance(INTERVAL)
        self.assertEqual([b"1", b"2", b"3"], self.next_texts("c"))

    def test_a_learner_is_sent_heartbeats_as_ever(self):
        self.harness.clock.advance(CONFIG.heartbeat_seconds)
        self.assertEqual([], self.next_texts("c"))
