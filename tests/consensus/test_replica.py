"""Tests of the lock order of a replica, and of a leader that was suspended."""

import threading

from testtools import TestCase

from arbutuscleat.consensus import FOUNDER_INCARNATION, Role
from arbutuscleat.wire.gen.ttypes import AppendAnswer
from tests.consensus.harness import ReplicaHarness

FINISH_SECONDS = 10.0


class LockOrderTest(TestCase):
    """Guards against a deadlock between the replica and the state machine.

    The planner and the executor read `led_since` while they hold the state machine's
    lock, and applying an entry takes that lock while it holds the replica's lock.
    """

    def test_led_since_is_read_while_an_entry_is_applied(self):
        harness = ReplicaHarness().lead()
        found = []
        thread = threading.Thread(
            target=lambda: found.append(harness.replica.led_since()), daemon=True
        )
        with harness.state.lock:
            thread.start()
            thread.join(FINISH_SECONDS)
            self.assertEqual([harness.state.led_since], found)


class HangingDiskTest(TestCase):
    def test_a_proposer_does_not_wait_for_the_disk_of_the_leader(self):
        """Guards against a leader that schedules nothing while its disk hangs."""
        harness = ReplicaHarness().lead()
        harness.acknowledge("b")
        writes = harness.disk.writes
        harness.replica.propose(b"1", 0.0)
        self.assertEqual(writes, harness.disk.writes)
        self.assertEqual(harness.state.log.synced_index + 1, harness.propose("2") - 1)

    def test_a_leader_whose_disk_hangs_gives_up_the_leadership(self):
        """Guards against a voter that keeps its vote for as long as its disk hangs."""
        for seconds, leads in ((3.0, True), (4.0, False)):
            harness = ReplicaHarness().lead()
            append = harness.disk.append

            def hang(name, data, harness=harness, append=append, seconds=seconds):
                harness.clock.advance(seconds)
                harness.acknowledge("b")
                harness.replica.tick()
                append(name, data)

            harness.disk.append = hang
            harness.propose("1")
            harness.replica.write_unsynced()
            self.assertEqual(leads, harness.replica.status().role is Role.LEADER)


class SuspensionTest(TestCase):
    """Guards against orders of a leader that was suspended for a change of leader.

    Its threads may run in any order when it resumes, so it must not lead although no
    timer has run yet, and whatever answer from before the suspension is handled first.
    """

    def setUp(self):
        super().setUp()
        self.harness = ReplicaHarness().lead()
        self.harness.acknowledge("b")
        self.assertTrue(self.harness.replica.leads())
        self.suspension = self.harness.cfg.election_seconds + 0.01

    def test_a_leader_that_was_suspended_does_not_lead_before_any_timer_has_run(self):
        self.harness.clock.advance(self.suspension)
        self.assertFalse(self.harness.replica.leads())

    def test_an_answer_to_a_request_from_before_the_suspension_renews_nothing(self):
        clock = self.harness.clock
        clock.advance(self.harness.cfg.heartbeat_seconds)
        request = self.harness.replica.next_request("b")
        sent_at = clock.monotonic()
        clock.advance(self.suspension)
        answer = AppendAnswer(
            1, request.term, True, request.previous_index, FOUNDER_INCARNATION
        )
        self.harness.replica.handle_answer("b", request, answer, sent_at)
        self.assertFalse(self.harness.replica.leads())
