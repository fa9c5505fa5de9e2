"""Disks that refuse writes for some time, in groups whose steps the test runs."""

from testtools import TestCase

from arbutuscleat.consensus import FOUNDER_INCARNATION, ReplicaConfig, Role
from arbutuscleat.consensus.disk_recovery import RETRY_SECONDS
from arbutuscleat.wire.gen.ttypes import (
    EntryKind,
    ReplicaSet,
    SnapshotAnswer,
    SnapshotChunk,
)
from tests import guarantees
from tests.consensus.group import FOUNDERS, Group
from tests.consensus.harness import ReplicaHarness, entries

FAULTS = ("error", "torn", "unsynced")


class RefusedWritesTest(TestCase):
    """A group of three voters and a learner whose disks refuse writes by turns."""

    def setUp(self):
        super().setUp()
        self.group = Group(ReplicaConfig(max_voters=3, voter_silence_seconds=2.0))
        self.group.run(4.0)
        self.group.add("d")
        self.group.join("d")
        self.group.run(1.0)

    def state(self, name):
        return self.group.replicas[name]._state

    def refuse_writes(self, name):
        self.state(name).disk.fail_at = 1

    def accept_writes(self, name):
        self.state(name).disk.repair()

    def propose(self, text):
        state = self.state(self.group.leader())
        with state.lock:
            return state.append(EntryKind.COMMAND, text.encode()).index

    def follower(self):
        return next(name for name in FOUNDERS if name != self.group.leader())

    def test_a_group_has_a_leader_after_all_disks_have_refused_writes_by_turns(self):
        """Guards against a quorum that is lost although all disks accept writes."""
        leader = self.group.leader()
        for name in sorted([*FOUNDERS, "d"], key=lambda name: name == leader):
            self.refuse_writes(name)
            self.propose(f"while the disk of {name} refuses writes")
            self.group.run(1.0)
            self.accept_writes(name)
            self.group.run(4.0)
        self.assertIsNotNone(self.group.leader())

    def test_a_replica_follows_again_once_its_disk_accepts_writes(self):
        """Guards against a disk error that is final for the life of the process."""
        name = self.follower()
        self.refuse_writes(name)
        self.propose("1")
        self.group.run(1.0)
        self.assertIs(Role.FAILED, self.group.replicas[name].status().role)
        self.accept_writes(name)
        last = self.propose("2")
        self.group.run(3.0)
        self.assertIs(Role.FOLLOWER, self.group.replicas[name].status().role)
        self.assertEqual("", self.group.replicas[name].status().failure)
        self.assertLessEqual(last, self.state(name).commit_index)

    def test_a_learner_whose_disk_has_just_failed_is_not_promoted(self):
        """Guards against a quorum that is lost by promoting a replica that is down."""
        self.refuse_writes(self.follower())
        self.propose("1")
        self.group.run(1.0)
        self.refuse_writes("d")
        self.propose("2")
        self.group.run(8.0)
        self.assertIsNotNone(self.group.leader())

    def test_a_voter_whose_disk_refuses_writes_is_not_sent_the_log_again(self):
        """Guards against a leader that sends its whole log with each heartbeat."""
        name = self.follower()
        handle, sent = self.group.replicas[name].handle_append, []

        def record(request):
            sent.append(len(request.entries))
            return handle(request)

        self.group.replicas[name].handle_append = record
        self.group.silent.add("d")
        self.refuse_writes(name)
        for text in range(100):
            self.propose(str(text))
            self.group.run(0.1)
        self.assertLess(sum(sent), 100)

    def test_a_group_does_not_stay_with_four_voters(self):
        """Guards against an even number of voters, which a cut in two halves stops."""
        name = self.follower()
        self.refuse_writes(name)
        self.propose("1")
        while len(self.group.voters()) < 4:
            self.group.run(0.1)
        self.accept_writes(name)
        replica = self.group.replicas[name]
        self.group.clock.advance(RETRY_SECONDS)
        replica.tick()
        self.group.exchange(self.group.leader(), name)
        self.group.run(4.0)
        self.assertEqual(3, len(self.group.voters()))

    def test_a_learner_replaces_a_voter_whose_disk_refuses_writes(self):
        """Guards against refusals that count as signs of a working voter."""
        name = self.follower()
        self.refuse_writes(name)
        self.propose("1")
        self.group.run(4.0)
        self.assertEqual({*FOUNDERS, "d"} - {name}, self.group.voters())


class RecoveryTest(TestCase):
    """One replica that has voted and stored entries, and then fails."""

    def failed_harness(self, fault):
        harness = ReplicaHarness()
        self.assertTrue(harness.append(entries(1, 1, 1)).accepted)
        self.assertTrue(harness.vote(term=3, candidate="c").granted)
        harness.disk.fault, harness.disk.fail_at = fault, 1
        self.assertFalse(self.append_third(harness).accepted)
        harness.replica.tick()
        harness.disk.repair()
        return harness

    def append_third(self, harness):
        return harness.append(entries(3, 3), term=3, previous=(2, 1), leader="c")

    def retry(self, harness):
        harness.clock.advance(RETRY_SECONDS)
        harness.replica.tick()

    def assert_keeps_its_promises(self, harness):
        self.assertFalse(harness.vote(term=3, candidate="b").granted)
        self.assertTrue(harness.vote(term=3, candidate="c").granted)
        guarantees.acknowledged_entries_stay([1, 1], harness.log())

    def test_a_recovered_replica_keeps_its_vote_and_its_entries(self):
        for fault in FAULTS:
            harness = self.failed_harness(fault)
            self.retry(harness)
            self.assertIs(Role.FOLLOWER, harness.replica.status().role, fault)
            self.assert_keeps_its_promises(harness)
            self.assertTrue(self.append_third(harness).accepted)
            self.assert_keeps_its_promises(harness.restart())
            self.assertEqual([1, 1, 3], harness.log())

    def test_a_disk_that_fails_again_at_any_write_of_the_recovery_loses_nothing(self):
        for fault in FAULTS:
            for write in (1, 2, 3):
                harness = self.failed_harness(fault)
                harness.disk.fail_at = write
                self.retry(harness)
                self.assertIs(Role.FAILED, harness.replica.status().role)
                self.assert_keeps_its_promises(harness.restart())
                harness.disk.repair()
                self.assertTrue(self.append_third(harness).accepted)
                self.assertEqual([1, 1, 3], harness.restart().log())

    def test_a_replica_starts_although_its_disk_refuses_to_cut_a_torn_entry(self):
        """Guards against a process that cannot start while its disk refuses writes."""
        harness = self.failed_harness("torn")
        harness.disk.fail_at = 1
        disk = harness.disk = harness.disk.copy()
        disk.fail_at = 1
        harness.open()
        self.assertIs(Role.FAILED, harness.replica.status().role)
        harness.replica.tick()
        disk.repair()
        self.retry(harness)
        self.assert_keeps_its_promises(harness)
        self.assertTrue(self.append_third(harness).accepted)
        self.assertEqual([1, 1, 3], harness.restart().log())

    def test_nothing_is_granted_or_stored_before_the_recovery(self):
        harness = self.failed_harness("unsynced")
        self.assertFalse(harness.vote(term=4).granted)
        answer = self.append_third(harness)
        self.assertEqual((False, True), (answer.accepted, answer.disk_failed))

    def test_a_snapshot_is_refused_with_the_reason(self):
        harness = self.failed_harness("error")
        chunk = SnapshotChunk(
            request_id=1,
            term=3,
            leader="c",
            last_index=9,
            last_term=3,
            replicas=ReplicaSet(replicas=[]),
            offset=0,
            data=b"",
            done=True,
        )
        answer = harness.replica.handle_install(chunk)
        self.assertEqual((False, True), (answer.accepted, answer.disk_failed))

    def test_a_peer_that_refuses_a_snapshot_for_its_disk_counts_as_silent(self):
        harness = ReplicaHarness().with_config(snapshot_entries=1, kept_entries=0)
        harness.lead()
        harness.acknowledge("b")
        harness.replica.tick()
        progress = harness.state.progress["c"]
        progress.next_index, progress.acknowledged_at = 1, 0.0
        progress.send_at = harness.clock.monotonic()
        chunk = harness.replica.next_request("c")
        answer = SnapshotAnswer(1, 1, False, FOUNDER_INCARNATION, disk_failed=True)
        harness.replica.handle_answer("c", chunk, answer, harness.clock.monotonic())
        self.assertEqual(0.0, progress.acknowledged_at)

    def test_no_pre_vote_right_after_a_recovery(self):
        harness = self.failed_harness("error")
        harness.clock.advance(60.0)
        self.retry(harness)
        self.assertFalse(harness.vote(term=9, pre_vote=True).granted)
        harness.clock.advance(harness.cfg.election_seconds)
        self.assertTrue(harness.vote(term=9, pre_vote=True).granted)

    def test_a_failed_leader_does_not_lead_after_its_recovery(self):
        harness = ReplicaHarness().lead()
        harness.propose("1")
        harness.disk.fail_at = 1
        self.assertFalse(harness.replica.write_unsynced())
        harness.replica.tick()
        harness.disk.repair()
        self.retry(harness)
        self.assertIs(Role.FOLLOWER, harness.replica.status().role)
        self.assertFalse(harness.replica.leads())
        self.assertTrue(harness.restart().state.was_leader)
