"""The consensus rows of the fault matrix: one replica, every fault at its steps."""

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
from tests import promises
from tests.consensus.bench import Bench, entries

FAULTS = ("error", "torn", "unsynced")


def bare(fault):
    """A bench whose next write fails as `fault` says."""
    bench = Bench()
    bench.disk.fault, bench.disk.fail_at = fault, 1
    return bench


class VoteRows(TestCase):
    """Steps: vote asked, vote synced."""

    def test_a_failed_write_gives_no_vote_and_ends_the_part_taken(self):
        for fault in FAULTS:
            bench = bare(fault)
            self.assertFalse(bench.vote().granted, fault)
            self.assertEqual(Role.FAILED, bench.replica.status().role)
            bench.disk.repair()
            self.assertFalse(bench.vote(term=2).granted, "a failed sync is final")
            self.assertFalse(bench.append(entries(1, 2), term=2).accepted)

    def test_a_vote_outlives_the_process(self):
        granted = []
        bench = Bench()
        for candidate in ("b", "c", "b"):
            answer = bench.restart().vote(term=5, candidate=candidate)
            if answer.granted:
                granted.append((5, candidate))
        self.assertEqual(2, len(granted))
        promises.one_vote_per_term(granted)

    def test_a_vote_after_a_failed_one_is_still_one_in_the_term(self):
        for fault in FAULTS:
            bench = bare(fault)
            bench.vote(candidate="b")
            again = bench.restart().vote(candidate="c")
            # What was not answered may be given to another, unless it was kept.
            kept = bench.state.voted_for
            self.assertEqual(kept == "c", again.granted, fault)

    def test_a_duplicate_gets_the_same_answer(self):
        bench = Bench()
        self.assertEqual([True, True], [bench.vote().granted for _ in range(2)])

    def test_a_late_request_of_an_old_term_gets_no_vote(self):
        bench = Bench()
        bench.vote(term=4)
        self.assertFalse(bench.vote(term=3, candidate="c").granted)

    def test_a_candidate_with_an_older_log_gets_no_vote(self):
        bench = Bench()
        bench.append(entries(1, 1, 1), term=1)
        for last in [(1, 1), (0, 0)]:
            answer = bench.vote(term=9, last_index=last[0], last_term=last[1])
            self.assertFalse(answer.granted)

    def test_a_lost_disk_gives_no_vote(self):
        bench = Bench(founder=False)
        self.assertFalse(bench.vote().granted)
        self.assertFalse(bench.vote(pre_vote=True).granted)
        bench.time_out()
        self.assertEqual(Role.FOLLOWER, bench.replica.status().role)

    def test_a_lost_disk_gives_no_vote_under_its_old_listing(self):
        bench = Bench(founder=False)
        listed = ReplicaSet(
            [ReplicaRecord(n, FOUNDER_INCARNATION, True) for n in "abc"]
        )
        listing = LogEntry(1, 1, EntryKind.VOTERS, encode(listed))
        self.assertTrue(bench.append([listing], commit=1).accepted)
        self.assertEqual(["a", "b", "c"], bench.state.membership.voters())
        self.assertFalse(bench.vote(term=2).granted)
        bench.time_out()
        self.assertEqual(Role.FOLLOWER, bench.replica.status().role)

    def test_a_missing_file_stops_the_replica(self):
        for name in (VOTE_FILE, SNAPSHOT_FILE, "log"):
            bench = Bench()
            del bench.disk.files[name]
            self.assertRaises(DamagedFileError, bench.restart)

    def test_a_damaged_file_stops_the_replica(self):
        for name in (VOTE_FILE, SNAPSHOT_FILE, IDENTITY_FILE):
            bench = Bench()
            data = bytearray(bench.disk.files[name])
            data[len(data) // 2] ^= 1
            bench.disk.files[name] = bytes(data)
            self.assertRaises(DamagedFileError, bench.restart)


class ElectionRows(TestCase):
    """Steps: pre-vote, vote, leadership, quorum check."""

    def test_no_pre_vote_while_a_leader_is_heard(self):
        bench = Bench()
        bench.append([])
        self.assertFalse(bench.vote(term=2, candidate="c", pre_vote=True).granted)
        bench.clock.advance(bench.cfg.election_seconds)
        self.assertTrue(bench.vote(term=2, candidate="c", pre_vote=True).granted)

    def test_no_pre_vote_right_after_a_restart(self):
        bench = Bench().restart()
        self.assertFalse(bench.vote(pre_vote=True).granted)

    def test_a_pre_vote_changes_nothing_on_the_disk(self):
        bench = Bench()
        bench.clock.advance(10)
        writes = bench.disk.writes
        bench.vote(term=7, pre_vote=True)
        self.assertEqual((writes, 0), (bench.disk.writes, bench.state.term))

    def test_an_isolated_replica_keeps_its_term(self):
        bench = Bench()
        for _ in range(20):
            bench.time_out()
        self.assertEqual(0, bench.state.term)
        self.assertEqual(Role.PRE_CANDIDATE, bench.replica.status().role)

    def test_votes_of_a_lost_disk_do_not_count(self):
        bench = Bench()
        bench.time_out()
        bench.answer_votes("b", incarnation="a-new-run")
        self.assertEqual(Role.PRE_CANDIDATE, bench.replica.status().role)

    def test_a_late_vote_of_an_earlier_round_does_not_count(self):
        bench = Bench()
        bench.time_out()
        late = bench.replica.next_request("b")
        bench.time_out()
        bench.answer_votes("c")
        self.assertEqual(Role.CANDIDATE, bench.replica.status().role)
        answer = VoteAnswer(1, late.term, True, FOUNDER_INCARNATION)
        bench.replica.take_answer("b", late, answer, 0.0)
        self.assertEqual(Role.CANDIDATE, bench.replica.status().role)

    def test_a_failed_write_of_the_own_vote_asks_for_nothing(self):
        for fault in FAULTS:
            bench = Bench()
            bench.time_out()
            bench.disk.fault, bench.disk.fail_at = fault, 1
            bench.answer_votes("b")
            self.assertEqual(Role.FAILED, bench.replica.status().role)
            self.assertIsNone(bench.replica.next_request("c"))

    def test_a_leader_without_quorum_steps_down_and_refuses(self):
        bench = Bench().lead()
        bench.acknowledge("b")
        self.assertTrue(bench.replica.leads())
        bench.clock.advance(bench.cfg.election_seconds + 0.1)
        self.assertFalse(bench.replica.leads())
        self.assertEqual("no-quorum", bench.replica.propose(b"x", 1).failure().kind)
        bench.replica.tick()
        self.assertEqual(Role.FOLLOWER, bench.replica.status().role)
        self.assertEqual("not-leader", bench.replica.propose(b"x", 1).failure().kind)
        self.assertEqual("not-leader", bench.replica.read_barrier(1).failure().kind)

    def test_a_later_term_ends_the_leadership(self):
        bench = Bench().lead()
        bench.append([], term=bench.state.term + 1, leader="c")
        self.assertEqual(Role.FOLLOWER, bench.replica.status().role)
        self.assertEqual("c", bench.replica.status().leader)

    def test_a_planned_stop_hands_the_leadership_over(self):
        leader = Bench().lead()
        leader.acknowledge("b")
        follower = Bench()
        follower.append([], term=leader.state.term, leader="c")
        peer = leader.replica._tasks.peer("b")
        peer.send = lambda request, timeout: Success(
            follower.replica.handle_take_over(request)
        )
        self.assertTrue(leader.replica.transfer_leadership())
        self.assertFalse(leader.replica.leads())
        self.assertEqual(Role.CANDIDATE, follower.replica.status().role)
        self.assertEqual(leader.state.term + 1, follower.state.term)

    def test_only_a_voter_of_the_same_term_takes_over(self):
        cases = [(Bench(founder=False), 0), (Bench(), 5), (Bench().lead(), 1)]
        for bench, term in cases:
            answer = bench.replica.handle_take_over(TakeOverRequest(1, term))
            self.assertFalse(answer.accepted)

    def test_nobody_who_lacks_entries_is_asked_to_take_over(self):
        leader = Bench().lead()
        leader.acknowledge("b")
        leader.propose("x")
        self.assertFalse(leader.replica.transfer_leadership())

    def test_two_leaders_in_one_term_stop_the_process(self):
        bench = Bench().lead()
        self.assertRaises(InvariantError, bench.append, [], bench.state.term)


class AppendRows(TestCase):
    """Steps: change proposed, synced, committed."""

    def test_a_failed_write_is_not_acknowledged(self):
        for fault in FAULTS:
            bench = bare(fault)
            self.assertFalse(bench.append(entries(1, 0), term=0).accepted, fault)
            self.assertEqual(Role.FAILED, bench.replica.status().role)

    def test_what_was_acknowledged_survives_any_later_failure(self):
        for fault in FAULTS:
            bench = Bench()
            self.assertTrue(bench.append(entries(1, 1, 1)).accepted)
            bench.disk.fault, bench.disk.fail_at = fault, 1
            bench.append(entries(3, 1), previous=(2, 1))
            bench.restart()
            promises.acknowledged_stays([1, 1], bench.log())

    def test_a_duplicate_changes_nothing(self):
        bench = Bench()
        answers = [bench.append(entries(1, 1, 1), commit=1) for _ in range(2)]
        self.assertEqual([2, 2], [answer.last_index for answer in answers])
        self.assertEqual([(1, "1@1")], bench.machine.applied)

    def test_a_late_short_request_cuts_nothing(self):
        bench = Bench()
        bench.append(entries(1, 1, 1, 1))
        bench.append(entries(1, 1))
        self.assertEqual([1, 1, 1], bench.log())

    def test_a_late_request_of_an_old_leader_is_refused(self):
        bench = Bench()
        bench.append(entries(1, 2), term=2)
        answer = bench.append(entries(1, 1, 1), term=1, leader="c")
        self.assertEqual((False, 2), (answer.accepted, answer.term))
        self.assertEqual([2], bench.log())

    def test_a_gap_is_refused_with_a_hint(self):
        bench = Bench()
        bench.append(entries(1, 1))
        answer = bench.append(entries(5, 1), previous=(4, 1))
        self.assertEqual((False, 1), (answer.accepted, answer.last_index))

    def test_a_contradicting_suffix_is_replaced_for_good(self):
        bench = Bench()
        bench.append(entries(1, 1, 1, 1))
        bench.append(entries(2, 2), term=2, previous=(1, 1))
        self.assertEqual([1, 2], bench.log())
        self.assertEqual([1, 2], bench.restart().log())

    def test_a_committed_entry_is_never_replaced(self):
        bench = Bench()
        bench.append(entries(1, 1, 1), commit=2)
        replacing = entries(2, 2)
        self.assertRaises(InvariantError, bench.append, replacing, 2, (1, 1))

    def test_no_more_is_committed_than_was_compared(self):
        bench = Bench()
        bench.append(entries(1, 1, 1, 1))
        bench.append([], term=2, previous=(1, 1), commit=3, leader="c")
        self.assertEqual([(1, "1@1")], bench.machine.applied)

    def test_a_former_leader_syncs_what_it_acknowledges(self):
        bench = Bench().lead()
        term = bench.state.term
        index = bench.propose("x")
        last = (index, term)
        answer = bench.append([], term=term + 1, previous=last, leader="c")
        self.assertTrue(answer.accepted)
        self.assertEqual(index, bench.restart().state.log.last_index)

    def test_the_leader_counts_itself_only_once_synced(self):
        bench = Bench().lead()
        index = bench.propose("x")
        bench.acknowledge("b")
        self.assertEqual(index, bench.state.commit_index + 1)
        bench.replica.write_unsynced()
        self.assertEqual(index, bench.state.commit_index)

    def test_a_failed_write_of_the_leader_commits_nothing(self):
        for fault in FAULTS:
            bench = Bench().lead()
            bench.acknowledge("b")
            index = bench.propose("x")
            bench.disk.fault, bench.disk.fail_at = fault, 1
            bench.replica.write_unsynced()
            self.assertEqual(Role.FAILED, bench.replica.status().role)
            self.assertEqual(index - 1, bench.state.commit_index)

    def test_entries_of_an_earlier_term_are_not_committed_by_counting(self):
        bench = Bench()
        bench.append(entries(1, 1))
        bench.time_out()
        bench.answer_votes("b")
        bench.answer_votes("b")
        self.assertEqual(Role.LEADER, bench.replica.status().role)
        request = bench.replica.next_request("b")
        self.assertEqual(1, request.previous_index)
        bench.acknowledge("c", accepted=False)
        self.assertEqual(0, bench.state.commit_index)

    def test_crossed_answers_never_take_progress_back(self):
        bench = Bench().lead()
        first = bench.acknowledge("b")
        bench.propose("x")
        bench.replica.write_unsynced()
        bench.acknowledge("b")
        matched = bench.state.progress["b"].match_index
        bench.replica.take_answer(
            "b",
            first,
            type(bench.append([], term=0))(
                1, bench.state.term, True, 1, FOUNDER_INCARNATION
            ),
            0.0,
        )
        self.assertEqual(matched, bench.state.progress["b"].match_index)

    def test_answers_of_a_lost_disk_do_not_count(self):
        bench = Bench().lead()
        bench.propose("x")
        bench.replica.write_unsynced()
        bench.acknowledge("b", incarnation="a-new-run")
        self.assertEqual(0, bench.state.commit_index)


class SnapshotRows(TestCase):
    """Steps: snapshot written, renamed, sent, installed."""

    def filled(self):
        bench = Bench().with_config(snapshot_entries=4, kept_entries=2)
        bench.append(entries(1, 1, 1, 1, 1, 1, 1), commit=6)
        return bench

    def test_a_restart_starts_from_the_snapshot(self):
        bench = self.filled()
        applied = list(bench.machine.applied)
        bench.replica.tick()
        self.assertEqual(4, bench.state.log.base_index)
        bench.restart()
        self.assertEqual(
            (applied, 6), (bench.machine.applied, bench.state.commit_index)
        )

    def test_a_failure_at_any_write_loses_nothing(self):
        for fault in FAULTS:
            for write in (1, 2):
                bench = self.filled()
                applied = list(bench.machine.applied)
                bench.disk.fault, bench.disk.fail_at = fault, write
                bench.replica.tick()
                self.assertEqual(Role.FAILED, bench.replica.status().role)
                bench.restart()
                self.assertEqual(6, bench.state.log.last_index, (fault, write))
                bench.append([], previous=(6, 1), commit=6)
                promises.committed_stays(applied, bench.machine.applied)

    def test_what_the_shortened_log_makes_durable_is_committed(self):
        bench = Bench(group=("a",)).with_config(snapshot_entries=4, kept_entries=2)
        bench.time_out()
        for text in "abcd":
            bench.propose(text)
        bench.replica.write_unsynced()
        bench.propose("e")
        bench.replica.tick()
        self.assertEqual(bench.state.log.last_index, bench.state.log.synced_index)
        self.assertEqual(bench.state.log.last_index, bench.state.commit_index)

    def chunks(self, size):
        bench = self.filled().with_config(snapshot_chunk_bytes=size)
        bench.append([], previous=(6, 1), commit=6)
        bench.replica.tick()
        bench.lead()
        bench.clock.advance(1)
        bench.state.progress["c"].next_index = 1
        found = []
        while not found or not found[-1].done:
            request = bench.replica.next_request("c")
            found.append(request)
            answer = SnapshotAnswer(1, bench.state.term, True, FOUNDER_INCARNATION)
            bench.replica.take_answer("c", request, answer, bench.clock.monotonic())
        return found, bench

    def test_a_lagging_follower_gets_the_snapshot_in_chunks(self):
        found, leader = self.chunks(10)
        self.assertGreater(len(found), 3)
        bench = Bench()
        for chunk in found:
            self.assertTrue(bench.replica.handle_install(chunk).accepted)
        self.assertEqual(leader.machine.applied, bench.machine.applied)
        bench.restart()
        self.assertEqual(leader.machine.applied, bench.machine.applied)
        self.assertEqual(6, bench.state.commit_index)

    def test_duplicate_lost_and_crossed_chunks(self):
        found, leader = self.chunks(10)
        orders = {
            "duplicate": [*found[:2], found[1], *found[2:]],
            "lost": [found[0], *found[2:]],
            "crossed": [found[1], found[0], *found[2:]],
            "restarted from the front": [*found[:2], *found],
        }
        for name, order in orders.items():
            bench = Bench()
            taken = [bench.replica.handle_install(chunk).accepted for chunk in order]
            whole = bench.machine.applied == leader.machine.applied
            self.assertEqual(taken[-1], whole, name)
            self.assertTrue(whole or not bench.machine.applied, name)

    def test_a_late_snapshot_does_not_take_the_state_back(self):
        found, leader = self.chunks(10_000)
        bench = Bench()
        term = found[0].term
        bench.append(entries(1, *[1] * 6, term), term=term, commit=7, leader="a2")
        applied = list(bench.machine.applied)
        bench.replica.handle_install(found[0])
        promises.committed_stays(applied, bench.machine.applied)

    def test_a_snapshot_keeps_acknowledged_entries_behind_it(self):
        found, leader = self.chunks(10_000)
        bench = Bench()
        bench.append(entries(1, *[1] * 8), term=1, commit=0)
        bench.replica.handle_install(found[0])
        self.assertEqual(8, bench.state.log.last_index)
        self.assertEqual(8, bench.restart().state.log.last_index)

    def test_a_failure_while_installing_loses_nothing(self):
        found, leader = self.chunks(10_000)
        for fault in FAULTS:
            for write in (1, 2, 3):
                bench = Bench()
                bench.append(entries(1, 1, 1), term=1, commit=2)
                applied = list(bench.machine.applied)
                bench.disk.fault, bench.disk.fail_at = fault, write
                answer = bench.replica.handle_install(found[0])
                self.assertFalse(answer.accepted)
                bench.restart()
                bench.append([], term=99, previous=(2, 1), commit=2)
                promises.committed_stays(applied, bench.machine.applied)


class RosterRows(TestCase):
    """A replica that lost its disk comes back as learner, then as voter."""

    def test_a_stranger_is_listed_as_learner_then_as_voter(self):
        bench = Bench().lead()
        bench.acknowledge("b")
        bench.acknowledge("c", incarnation="run-2", accepted=False)
        bench.replica.tick()
        record = bench.state.membership.record("c")
        self.assertEqual(("run-2", False), (record.incarnation, record.voter))
        bench.replica.tick()
        self.assertFalse(bench.state.membership.record("c").voter, "not settled yet")
        bench.replica.write_unsynced()
        bench.acknowledge("b")
        bench.acknowledge("c", incarnation="run-2", accepted=False)
        bench.acknowledge("c", incarnation="run-2")
        bench.replica.tick()
        self.assertTrue(bench.state.membership.record("c").voter)
        bench.replica.write_unsynced()
        bench.acknowledge("b")
        bench.restart()
        self.assertEqual("run-2", bench.state.membership.record("c").incarnation)

    def test_a_learner_does_not_count_for_the_quorum(self):
        bench = Bench(group=("a", "b", "c", "d", "e")).lead("b", "c")
        self.assertEqual(3, bench.state.membership.quorum())
        bench.acknowledge("b")
        bench.acknowledge("c")
        bench.acknowledge("e", incarnation="run-2", accepted=False)
        bench.replica.tick()
        bench.replica.write_unsynced()
        self.assertEqual(2, bench.state.log.last_index)
        bench.acknowledge("e", incarnation="run-2")
        bench.acknowledge("b")
        self.assertEqual(1, bench.state.commit_index)
        bench.acknowledge("c")
        self.assertEqual(2, bench.state.commit_index)

    def test_the_listing_goes_when_its_entry_is_replaced(self):
        bench = Bench().lead()
        bench.acknowledge("b")
        bench.acknowledge("c", incarnation="run-2", accepted=False)
        bench.replica.tick()
        self.assertEqual("run-2", bench.state.membership.record("c").incarnation)
        term = bench.state.term + 1
        previous = (1, bench.state.term)
        bench.append(entries(2, term), term=term, previous=previous, leader="b")
        self.assertEqual(
            FOUNDER_INCARNATION, bench.state.membership.record("c").incarnation
        )
