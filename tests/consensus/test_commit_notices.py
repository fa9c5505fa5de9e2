"""How soon a voter learns that an entry is committed."""

from testtools import TestCase

from arbutuscleat.consensus import FOUNDER_INCARNATION
from arbutuscleat.wire.gen.ttypes import AppendAnswer
from tests.consensus.harness import ReplicaHarness

NOTICE = 0.003


class CommitNoticeTest(TestCase):
    """Guards against followers that act on an entry only after a heartbeat interval."""

    def leader(self, **cfg):
        harness = ReplicaHarness().with_config(**cfg).lead()
        for name in ("b", "c", "b", "c"):
            harness.acknowledge(name)
        return harness

    def answer_at_once(self, harness, name):
        request = harness.replica.next_request(name)
        last = request.previous_index + len(request.entries)
        answer = AppendAnswer(1, harness.state.term, True, last, FOUNDER_INCARNATION)
        now = harness.clock.monotonic()
        harness.replica.handle_answer(name, request, answer, now)

    def seconds_until_told(self, harness):
        """Commit an entry; return after how many seconds `b` is told of the commit."""
        harness.propose("x")
        for name in ("b", "c"):
            self.answer_at_once(harness, name)
        index = harness.state.commit_index
        self.assertEqual(harness.state.log.last_index, index)
        since = harness.clock.monotonic()
        while True:
            request = harness.replica.next_request("b")
            if request is not None and request.commit_index == index:
                return harness.clock.monotonic() - since
            harness.clock.advance(0.001)

    def test_a_voter_is_told_soon_if_no_other_request_tells_it(self):
        harness = self.leader(commit_notice_seconds=NOTICE)
        self.assertTrue(self.seconds_until_told(harness) <= NOTICE + 0.001)

    def test_without_notices_it_is_told_with_the_next_heartbeat(self):
        harness = self.leader()
        seconds = self.seconds_until_told(harness)
        self.assertTrue(seconds >= harness.cfg.heartbeat_seconds / 2, seconds)
