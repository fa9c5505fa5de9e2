"""Consensus part of the fault matrix: one replica, and each fault at each step."""

from returns.result import Success
from testtools import TestCase

from arbutuscleat.consensus import FOUNDER_INCARNATION, DamagedFileError, Role
from arbutuscleat.consensus.stores import IDENTITY_FILE, SNAPSHOT_FILE, VOTE_FILE
from arbutuscleat.core import InvariantError
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen.ttypes import (
    EntryKind,
    LogEntry,
    ReplicaRecord,
    ReplicaSet,
    SnapshotAnswer,
    TakeOverRequest,
    VoteAnswer,
)
from tests import guarantees
from tests.consensus.harness import ReplicaHarness, entries

FAULTS = ("error", "torn", "unsynced")


def failing_harness(fault):
    """Return a harness whose next write to the disk fails with `fault`."""
    harness = ReplicaHarness()
    harness.disk.fault, harness.disk.fail_at = fault, 1
    return harness


class VoteFaultTest(TestCase):
    """Faults at the steps of a vote: requested, synced."""

    def test_a_failed_write_grants_no_vote_until_the_recovery(self):
        for fault in FAULTS:
            harness = failing_harness(fault)
            self.assertFalse(harness.vote().granted, fault)
            self.assertEqual(Role.FAILED, harness.replica.status().role)
            harness.disk.repair()
            self.assertFalse(harness.vote(term=2).granted, "not recovered")
            self.assertFalse(harness.append(entries(1, 2), term=2).accepted)

    def test_a_vote_survives_a_restart(self):
        granted = []
        harness = ReplicaHarness()
        for candidate in ("b", "c", "b"):
            answer = harness.restart().vote(term=5, candidate=candidate)
            if answer.granted:
                granted.append((5, candidate))
        self.assertEqual(2, len(granted))
        guarantees.one_vote_per_term(granted)

    def test_a_vote_after_a_failed_write_is_the_only_one_in_the_term(self):
        for fault in FAULTS:
            harness = failing_harness(fault)
            harness.vote(candidate="b")
            again = harness.restart().vote(candidate="c")
            # The vote that was not answered may have reached the disk; otherwise
            # another candidate may have it.
            kept = harness.state.voted_for
            self.assertEqual(kept == "c", again.granted, fault)

    def test_a_duplicate_gets_the_same_answer(self):
        harness = ReplicaHarness()
        self.assertEqual([True, True], [harness.vote().granted for _ in range(2)])

    def test_a_late_request_of_an_old_term_gets_no_vote(self):
        harness = ReplicaHarness()
        harness.vote(term=4)
        self.assertFalse(harness.vote(term=3, candidate="c").granted)

    def test_a_candidate_with_an_older_log_gets_no_vote(self):
        harness = ReplicaHarness()
        harness.append(entries(1, 1, 1), term=1)
        for last in [(1, 1), (0, 0)]:
            answer = harness.vote(term=9, last_index=last[0], last_term=last[1])
            self.assertFalse(answer.granted)

    def test_a_replica_that_lost_its_disk_does_not_vote(self):
        harness = ReplicaHarness(founder=False)
        self.assertFalse(harness.vote().granted)
        self.assertFalse(harness.vote(pre_vote=True).granted)
        harness.time_out()
        self.assertEqual(Role.FOLLOWER, harness.replica.status().role)

    def test_a_replica_that_lost_its_disk_does_not_vote_if_listed_as_before(self):
        harness = ReplicaHarness(founder=False)
        listed = ReplicaSet(
            [ReplicaRecord(n, FOUNDER_INCARNATION, True) for n in "abc"]
        )
        listing = LogEntry(1, 1, EntryKind.VOTERS, encode(listed))
        self.assertTrue(harness.append([listing], commit=1).accepted)
        self.assertEqual(["a", "b", "c"], harness.state.membership.voters())
        self.assertFalse(harness.vote(term=2).granted)
        harness.time_out()
        self.assertEqual(Role.FOLLOWER, harness.replica.status().role)

    def test_a_missing_file_stops_the_replica(self):
        for name in (VOTE_FILE, SNAPSHOT_FILE, "log"):
            harness = ReplicaHarness()
            del harness.disk.files[name]
            self.assertRaises(DamagedFileError, harness.restart)

    def test_a_damaged_file_stops_the_replica(self):
        for name in (VOTE_FILE, SNAPSHOT_FILE, IDENTITY_FILE):
            harness = ReplicaHarness()
            data = bytearray(harness.disk.files[name])
            data[len(data) // 2] ^= 1
            harness.disk.files[name] = bytes(data)
            self.assertRaises(DamagedFileError, harness.restart)


class ElectionFaultTest(TestCase):
    """Faults at the steps of an election: pre-vote, vote, leadership, quorum check."""

    def test_no_pre_vote_while_a_leader_is_heard(self):
        harness = ReplicaHarness()
        harness.append([])
        self.assertFalse(harness.vote(term=2, candidate="c", pre_vote=True).granted)
        harness.clock.advance(harness.cfg.election_seconds)
        self.assertTrue(harness.vote(term=2, candidate="c", pre_vote=True).granted)

    def test_no_pre_vote_right_after_a_restart(self):
        harness = ReplicaHarness().restart()
        self.assertFalse(harness.vote(pre_vote=True).granted)

    def test_a_pre_vote_changes_nothing_on_the_disk(self):
        harness = ReplicaHarness()
        harness.clock.advance(10)
        writes = harness.disk.writes
        harness.vote(term=7, pre_vote=True)
        self.assertEqual((writes, 0), (harness.disk.writes, harness.state.term))

    def test_an_isolated_replica_keeps_its_term(self):
        harness = ReplicaHarness()
        for _ in range(20):
            harness.time_out()
        self.assertEqual(0, harness.state.term)
        self.assertEqual(Role.PRE_CANDIDATE, harness.replica.status().role)

    def test_votes_of_an_unlisted_incarnation_do_not_count(self):
        harness = ReplicaHarness()
        harness.time_out()
        harness.answer_votes("b", incarnation="a-new-run")
        self.assertEqual(Role.PRE_CANDIDATE, harness.replica.status().role)

    def test_a_late_pre_vote_does_not_count_as_a_vote(self):
        harness = ReplicaHarness()
        harness.time_out()
        late = harness.replica.next_request("b")
        harness.time_out()
        harness.answer_votes("c")
        self.assertEqual(Role.CANDIDATE, harness.replica.status().role)
        answer = VoteAnswer(1, late.term, True, FOUNDER_INCARNATION)
        harness.replica.handle_answer("b", late, answer, 0.0)
        self.assertEqual(Role.CANDIDATE, harness.replica.status().role)

    def test_a_candidate_that_cannot_write_its_vote_sends_nothing(self):
        for fault in FAULTS:
            harness = ReplicaHarness()
            harness.time_out()
            harness.disk.fault, harness.disk.fail_at = fault, 1
            harness.answer_votes("b")
            self.assertEqual(Role.FAILED, harness.replica.status().role)
            self.assertIsNone(harness.replica.next_request("c"))

    def test_a_leader_without_quorum_steps_down_and_refuses(self):
        harness = ReplicaHarness().lead()
        harness.acknowledge("b")
        self.assertTrue(harness.replica.leads())
        harness.clock.advance(harness.cfg.election_seconds + 0.1)
        self.assertFalse(harness.replica.leads())
        self.assertEqual("no-quorum", harness.replica.propose(b"x", 1).failure().kind)
        harness.replica.tick()
        self.assertEqual(Role.FOLLOWER, harness.replica.status().role)
        self.assertEqual("not-leader", harness.replica.propose(b"x", 1).failure().kind)
        self.assertEqual("not-leader", harness.replica.read_barrier(1).failure().kind)

    def test_a_later_term_ends_the_leadership(self):
        harness = ReplicaHarness().lead()
        harness.append([], term=harness.state.term + 1, leader="c")
        self.assertEqual(Role.FOLLOWER, harness.replica.status().role)
        self.assertEqual("c", harness.replica.status().leader)

    def test_a_planned_stop_transfers_the_leadership(self):
        leader = ReplicaHarness().lead()
        leader.acknowledge("b")
        follower = ReplicaHarness()
        follower.append([], term=leader.state.term, leader="c")
        peer = leader.replica._threads.peer("b")
        peer.send = lambda request, timeout: Success(
            follower.replica.handle_take_over(request)
        )
        self.assertTrue(leader.replica.transfer_leadership())
        self.assertFalse(leader.replica.leads())
        self.assertEqual(Role.CANDIDATE, follower.replica.status().role)
        self.assertEqual(leader.state.term + 1, follower.state.term)

    def test_only_a_voter_of_the_same_term_takes_over(self):
        cases = [
            (ReplicaHarness(founder=False), 0),
            (ReplicaHarness(), 5),
            (ReplicaHarness().lead(), 1),
        ]
        for harness, term in cases:
            answer = harness.replica.handle_take_over(TakeOverRequest(1, term))
            self.assertFalse(answer.accepted)

    def test_leadership_is_not_transferred_to_a_voter_that_lacks_entries(self):
        leader = ReplicaHarness().lead()
        leader.acknowledge("b")
        leader.propose("x")
        self.assertFalse(leader.replica.transfer_leadership())

    def test_two_leaders_in_one_term_stop_the_process(self):
        harness = ReplicaHarness().lead()
        self.assertRaises(InvariantError, harness.append, [], harness.state.term)


class AppendFaultTest(TestCase):
    """Faults at the steps of a change: proposed, synced, committed."""

    def test_a_failed_write_is_not_acknowledged(self):
        for fault in FAULTS:
            harness = failing_harness(fault)
            self.assertFalse(harness.append(entries(1, 0), term=0).accepted, fault)
            self.assertEqual(Role.FAILED, harness.replica.status().role)

    def test_acknowledged_entries_survive_a_later_failure(self):
        for fault in FAULTS:
            harness = ReplicaHarness()
            self.assertTrue(harness.append(entries(1, 1, 1)).accepted)
            harness.disk.fault, harness.disk.fail_at = fault, 1
            harness.append(entries(3, 1), previous=(2, 1))
            harness.restart()
            guarantees.acknowledged_entries_stay([1, 1], harness.log())

    def test_a_duplicate_changes_nothing(self):
        harness = ReplicaHarness()
        answers = [harness.append(entries(1, 1, 1), commit=1) for _ in range(2)]
        self.assertEqual([2, 2], [answer.last_index for answer in answers])
        self.assertEqual([(1, "1@1")], harness.machine.applied)

    def test_a_late_short_request_truncates_nothing(self):
        harness = ReplicaHarness()
        harness.append(entries(1, 1, 1, 1))
        harness.append(entries(1, 1))
        self.assertEqual([1, 1, 1], harness.log())

    def test_a_late_request_of_an_old_leader_is_refused(self):
        harness = ReplicaHarness()
        harness.append(entries(1, 2), term=2)
        answer = harness.append(entries(1, 1, 1), term=1, leader="c")
        self.assertEqual((False, 2), (answer.accepted, answer.term))
        self.assertEqual([2], harness.log())

    def test_a_gap_is_refused_with_a_hint(self):
        harness = ReplicaHarness()
        harness.append(entries(1, 1))
        answer = harness.append(entries(5, 1), previous=(4, 1))
        self.assertEqual((False, 1), (answer.accepted, answer.last_index))

    def test_a_conflicting_suffix_is_replaced_durably(self):
        harness = ReplicaHarness()
        harness.append(entries(1, 1, 1, 1))
        harness.append(entries(2, 2), term=2, previous=(1, 1))
        self.assertEqual([1, 2], harness.log())
        self.assertEqual([1, 2], harness.restart().log())

    def test_a_committed_entry_is_never_replaced(self):
        harness = ReplicaHarness()
        harness.append(entries(1, 1, 1), commit=2)
        replacing = entries(2, 2)
        self.assertRaises(InvariantError, harness.append, replacing, 2, (1, 1))

    def test_only_entries_compared_with_the_leader_are_committed(self):
        harness = ReplicaHarness()
        harness.append(entries(1, 1, 1, 1))
        harness.append([], term=2, previous=(1, 1), commit=3, leader="c")
        self.assertEqual([(1, "1@1")], harness.machine.applied)

    def test_a_former_leader_syncs_what_it_acknowledges(self):
        harness = ReplicaHarness().lead()
        term = harness.state.term
        index = harness.propose("x")
        last = (index, term)
        answer = harness.append([], term=term + 1, previous=last, leader="c")
        self.assertTrue(answer.accepted)
        self.assertEqual(index, harness.restart().state.log.last_index)

    def test_the_leader_counts_itself_only_once_synced(self):
        harness = ReplicaHarness().lead()
        index = harness.propose("x")
        harness.acknowledge("b")
        self.assertEqual(index, harness.state.commit_index + 1)
        harness.replica.write_unsynced()
        self.assertEqual(index, harness.state.commit_index)

    def test_a_failed_write_of_the_leader_commits_nothing(self):
        for fault in FAULTS:
            harness = ReplicaHarness().lead()
            harness.acknowledge("b")
            index = harness.propose("x")
            harness.disk.fault, harness.disk.fail_at = fault, 1
            harness.replica.write_unsynced()
            self.assertEqual(Role.FAILED, harness.replica.status().role)
            self.assertEqual(index - 1, harness.state.commit_index)

    def test_entries_of_an_earlier_term_are_not_committed_by_counting(self):
        harness = ReplicaHarness()
        harness.append(entries(1, 1))
        harness.time_out()
        harness.answer_votes("b")
        harness.answer_votes("b")
        self.assertEqual(Role.LEADER, harness.replica.status().role)
        request = harness.replica.next_request("b")
        self.assertEqual(1, request.previous_index)
        harness.acknowledge("c", accepted=False)
        self.assertEqual(0, harness.state.commit_index)

    def test_a_crossed_answer_does_not_revert_progress(self):
        harness = ReplicaHarness().lead()
        first = harness.acknowledge("b")
        harness.propose("x")
        harness.replica.write_unsynced()
        harness.acknowledge("b")
        matched = harness.state.progress["b"].match_index
        harness.replica.handle_answer(
            "b",
            first,
            type(harness.append([], term=0))(
                1, harness.state.term, True, 1, FOUNDER_INCARNATION
            ),
            0.0,
        )
        self.assertEqual(matched, harness.state.progress["b"].match_index)

    def test_answers_of_an_unlisted_incarnation_do_not_count(self):
        harness = ReplicaHarness().lead()
        harness.propose("x")
        harness.replica.write_unsynced()
        harness.acknowledge("b", incarnation="a-new-run")
        self.assertEqual(0, harness.state.commit_index)


class SnapshotFaultTest(TestCase):
    """Faults at the steps of a snapshot: written, renamed, sent, installed."""

    def filled(self):
        harness = ReplicaHarness().with_config(snapshot_entries=4, kept_entries=2)
        harness.append(entries(1, 1, 1, 1, 1, 1, 1), commit=6)
        return harness

    def test_a_restart_starts_from_the_snapshot(self):
        harness = self.filled()
        applied = list(harness.machine.applied)
        harness.replica.tick()
        self.assertEqual(4, harness.state.log.base_index)
        harness.restart()
        self.assertEqual(
            (applied, 6), (harness.machine.applied, harness.state.commit_index)
        )

    def test_a_failure_at_any_write_loses_nothing(self):
        for fault in FAULTS:
            for write in (1, 2):
                harness = self.filled()
                applied = list(harness.machine.applied)
                harness.disk.fault, harness.disk.fail_at = fault, write
                harness.replica.tick()
                self.assertEqual(Role.FAILED, harness.replica.status().role)
                harness.restart()
                self.assertEqual(6, harness.state.log.last_index, (fault, write))
                harness.append([], previous=(6, 1), commit=6)
                guarantees.committed_entries_stay(applied, harness.machine.applied)

    def test_entries_made_durable_by_compaction_are_committed(self):
        harness = ReplicaHarness(group=("a",)).with_config(
            snapshot_entries=4, kept_entries=2
        )
        harness.time_out()
        for text in "abcd":
            harness.propose(text)
        harness.replica.write_unsynced()
        harness.propose("e")
        harness.replica.tick()
        self.assertEqual(harness.state.log.last_index, harness.state.log.synced_index)
        self.assertEqual(harness.state.log.last_index, harness.state.commit_index)

    def chunks(self, size):
        harness = self.filled().with_config(snapshot_chunk_bytes=size)
        harness.append([], previous=(6, 1), commit=6)
        harness.replica.tick()
        harness.lead()
        harness.clock.advance(1)
        harness.state.progress["c"].next_index = 1
        found = []
        while not found or not found[-1].done:
            request = harness.replica.next_request("c")
            found.append(request)
            answer = SnapshotAnswer(1, harness.state.term, True, FOUNDER_INCARNATION)
            harness.replica.handle_answer(
                "c", request, answer, harness.clock.monotonic()
            )
        return found, harness

    def test_a_lagging_follower_gets_the_snapshot_in_chunks(self):
        found, leader = self.chunks(10)
        self.assertGreater(len(found), 3)
        harness = ReplicaHarness()
        for chunk in found:
            self.assertTrue(harness.replica.handle_install(chunk).accepted)
        self.assertEqual(leader.machine.applied, harness.machine.applied)
        harness.restart()
        self.assertEqual(leader.machine.applied, harness.machine.applied)
        self.assertEqual(6, harness.state.commit_index)

    def test_duplicate_lost_and_crossed_chunks(self):
        found, leader = self.chunks(10)
        orders = {
            "duplicate": [*found[:2], found[1], *found[2:]],
            "lost": [found[0], *found[2:]],
            "crossed": [found[1], found[0], *found[2:]],
            "restarted from the first chunk": [*found[:2], *found],
        }
        for name, order in orders.items():
            harness = ReplicaHarness()
            accepted = [
                harness.replica.handle_install(chunk).accepted for chunk in order
            ]
            complete = harness.machine.applied == leader.machine.applied
            self.assertEqual(accepted[-1], complete, name)
            self.assertTrue(complete or not harness.machine.applied, name)

    def test_a_late_snapshot_does_not_revert_the_state(self):
        found, leader = self.chunks(10_000)
        harness = ReplicaHarness()
        term = found[0].term
        harness.append(entries(1, *[1] * 6, term), term=term, commit=7, leader="a2")
        applied = list(harness.machine.applied)
        harness.replica.handle_install(found[0])
        guarantees.committed_entries_stay(applied, harness.machine.applied)

    def test_a_snapshot_keeps_acknowledged_entries_after_it(self):
        found, leader = self.chunks(10_000)
        harness = ReplicaHarness()
        harness.append(entries(1, *[1] * 8), term=1, commit=0)
        harness.replica.handle_install(found[0])
        self.assertEqual(8, harness.state.log.last_index)
        self.assertEqual(8, harness.restart().state.log.last_index)

    def test_a_failure_while_installing_loses_nothing(self):
        found, leader = self.chunks(10_000)
        for fault in FAULTS:
            for write in (1, 2, 3):
                harness = ReplicaHarness()
                harness.append(entries(1, 1, 1), term=1, commit=2)
                applied = list(harness.machine.applied)
                harness.disk.fault, harness.disk.fail_at = fault, write
                answer = harness.replica.handle_install(found[0])
                self.assertFalse(answer.accepted)
                harness.restart()
                harness.append([], term=99, previous=(2, 1), commit=2)
                guarantees.committed_entries_stay(applied, harness.machine.applied)


class ReconfigurationTest(TestCase):
    """A replica that lost its disk returns as a learner, then as a voter."""

    def test_an_unlisted_incarnation_becomes_a_learner_then_a_voter(self):
        harness = ReplicaHarness().lead()
        harness.acknowledge("b")
        harness.acknowledge("c", incarnation="run-2", accepted=False)
        harness.replica.tick()
        record = harness.state.membership.record("c")
        self.assertEqual(("run-2", False), (record.incarnation, record.voter))
        harness.replica.tick()
        self.assertFalse(
            harness.state.membership.record("c").voter, "not committed yet"
        )
        harness.replica.write_unsynced()
        harness.acknowledge("b")
        harness.acknowledge("c", incarnation="run-2", accepted=False)
        harness.acknowledge("c", incarnation="run-2")
        harness.replica.tick()
        self.assertTrue(harness.state.membership.record("c").voter)
        harness.replica.write_unsynced()
        harness.acknowledge("b")
        harness.restart()
        self.assertEqual("run-2", harness.state.membership.record("c").incarnation)

    def test_a_learner_does_not_count_for_the_quorum(self):
        harness = ReplicaHarness(group=("a", "b", "c", "d", "e")).lead("b", "c")
        self.assertEqual(3, harness.state.membership.quorum())
        harness.acknowledge("b")
        harness.acknowledge("c")
        harness.acknowledge("e", incarnation="run-2", accepted=False)
        harness.replica.tick()
        harness.replica.write_unsynced()
        self.assertEqual(2, harness.state.log.last_index)
        harness.acknowledge("e", incarnation="run-2")
        harness.acknowledge("b")
        self.assertEqual(1, harness.state.commit_index)
        harness.acknowledge("c")
        self.assertEqual(2, harness.state.commit_index)

    def test_a_replica_set_is_reverted_when_its_entry_is_replaced(self):
        harness = ReplicaHarness().lead()
        harness.acknowledge("b")
        harness.acknowledge("c", incarnation="run-2", accepted=False)
        harness.replica.tick()
        self.assertEqual("run-2", harness.state.membership.record("c").incarnation)
        term = harness.state.term + 1
        previous = (1, harness.state.term)
        harness.append(entries(2, term), term=term, previous=previous, leader="b")
        self.assertEqual(
            FOUNDER_INCARNATION, harness.state.membership.record("c").incarnation
        )
