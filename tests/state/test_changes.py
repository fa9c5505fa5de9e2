"""Changes, moves and claims under races, resends and restarts."""

import itertools

from testtools import TestCase

from arbutuscleat.state import ControlStateMachine
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen.ttypes import (
    BeginDrain,
    Command,
    EndClaim,
    FinishDrain,
    LabelsRecord,
)
from tests.fakes import make_instance, member_report, pool_change, report
from tests.state.commands import begin_claim, labels_change


class IndexedStateMachine(ControlStateMachine):
    """A state machine that numbers the commands it applies."""

    index = 0

    def run(self, command):
        self.index += 1
        return self.apply(self.index, encode(command))

    def restarted(self):
        """Return a state machine restored from a snapshot of this one."""
        machine = IndexedStateMachine()
        machine.index = self.index
        machine.restore(self.image())
        return machine


class ChangeTest(TestCase):
    def setUp(self):
        super().setUp()
        self.machine = IndexedStateMachine()

    def test_resend_returns_the_first_result_even_after_a_restart(self):
        first = self.machine.run(pool_change("c1", "a", "t=a"))
        self.machine.run(pool_change("c2", "a", "t=b", expected=first.version))
        for machine in (self.machine, self.machine.restarted()):
            again = machine.run(pool_change("c1", "a", "t=a"))
            self.assertEqual((True, first.version), (again.accepted, again.version))
            self.assertEqual("t=b", machine.configuration.pools["a"].membership)

    def test_refused_change_is_refused_again(self):
        self.machine.run(pool_change("c1", "a", "t=a"))
        refused = self.machine.run(pool_change("c2", "a", "t=b"))
        for machine in (self.machine, self.machine.restarted()):
            again = machine.run(pool_change("c2", "a", "t=b"))
            self.assertEqual(refused, again)

    def test_reused_id_with_different_content_is_refused(self):
        self.machine.run(pool_change("c1", "a", "t=a"))
        before = self.machine.version
        refused = self.machine.run(pool_change("c1", "b", "t=b"))
        self.assertEqual((False, "id-reused"), (refused.accepted, refused.reason))
        self.assertEqual(before, self.machine.version)

    def test_one_of_two_changes_with_the_same_expected_version_wins(self):
        for order in itertools.permutations(["c1", "c2"]):
            machine = IndexedStateMachine()
            results = [machine.run(pool_change(c, "a", f"t={c}")) for c in order]
            self.assertEqual([True, False], [r.accepted for r in results])
            self.assertEqual("version-conflict", results[1].reason)
            self.assertEqual(results[0].version, results[1].version)

    def test_one_of_two_changes_with_the_same_id_wins(self):
        first = self.machine.run(pool_change("same", "a", "t=a"))
        second = self.machine.run(pool_change("same", "a", "t=b"))
        self.assertEqual([True, False], [first.accepted, second.accepted])

    def test_change_that_makes_an_instance_match_two_pools_is_refused(self):
        self.machine.run(pool_change("c1", "a", "t=x"))
        self.machine.run(report(make_instance("w1", {"t": "x", "u": "y"})))
        refused = self.machine.run(pool_change("c2", "b", "u=y"))
        self.assertEqual("invalid", refused.reason)
        self.assertIn("w1 would match 2 pools: a, b", refused.detail)
        self.machine.run(pool_change("c3", "b", "u=z"))
        labels = labels_change("c4", "w1", {"u": "z"})
        self.assertEqual("invalid", self.machine.run(labels).reason)

    def test_instance_that_announces_a_conflict_keeps_its_pool(self):
        self.machine.run(pool_change("c1", "a", "t=x"))
        self.machine.run(pool_change("c2", "b", "u=y"))
        self.machine.run(report(make_instance("w1", {"t": "x"})))
        both = make_instance("w1", {"t": "x", "u": "y"}, sequence=1)
        self.machine.run(report(both))
        assignment = self.machine.configuration.instances["w1"].assignment
        self.assertEqual("a", assignment.pool)
        self.assertIn("2 pools", assignment.conflict)

    def test_late_announcements_never_overwrite_newer_ones(self):
        newer = make_instance("w1", incarnation="2", sequence=1, port=2)
        for late in (
            make_instance("w1", incarnation="1", sequence=9, port=1),
            make_instance("w1", incarnation="2", sequence=0, port=1),
            make_instance("w1", incarnation="2", sequence=1, port=1),
        ):
            machine = IndexedStateMachine()
            machine.run(report(newer))
            version = machine.version
            machine.run(report(late))
            self.assertEqual(2, machine.configuration.instances["w1"].port)
            self.assertEqual(version, machine.version)


class MoveTest(TestCase):
    """A move drains the instance and then assigns it: each step once, in order."""

    def setUp(self):
        super().setUp()
        self.prepare()

    def prepare(self):
        self.machine = IndexedStateMachine()
        self.machine.run(pool_change("c1", "a", "t=a"))
        self.machine.run(pool_change("c2", "b", "t=b"))
        self.machine.run(report(make_instance("w1", {"t": "a"})))

    def assignment(self):
        found = self.machine.configuration.instances["w1"].assignment
        return found.pool, found.phase.value, found.epoch

    def test_move_drains_before_it_reassigns(self):
        self.machine.run(labels_change("c3", "w1", {"t": "b"}))
        self.assertEqual(("a", "assigned", 1), self.assignment())
        self.machine.run(Command(begin_drain=BeginDrain("w1", 1, "move")))
        self.assertEqual(("a", "draining", 1), self.assignment())
        self.machine.run(Command(finish_drain=FinishDrain("w1", 1)))
        self.assertEqual(("b", "assigned", 2), self.assignment())

    def test_steps_out_of_order_or_repeated_have_no_effect(self):
        drain = Command(begin_drain=BeginDrain("w1", 1, "move"))
        finish = Command(finish_drain=FinishDrain("w1", 1))
        for steps, expected in [
            ([finish], ("a", "assigned", 1)),
            ([drain, drain], ("a", "draining", 1)),
            ([drain, finish, finish], ("a", "assigned", 2)),
            ([drain, finish, drain], ("a", "assigned", 2)),
        ]:
            self.prepare()
            for step in steps:
                self.machine.run(step)
            self.assertEqual(expected, self.assignment())

    def test_label_reverted_during_a_move_keeps_the_pool(self):
        first = self.machine.run(labels_change("c3", "w1", {"t": "b"}))
        self.machine.run(Command(begin_drain=BeginDrain("w1", 1, "move")))
        self.machine.run(labels_change("c4", "w1", {"t": "a"}, first.version))
        self.machine.run(Command(finish_drain=FinishDrain("w1", 1)))
        self.assertEqual(("a", "assigned", 2), self.assignment())


class ClaimTest(TestCase):
    def setUp(self):
        super().setUp()
        self.machine = IndexedStateMachine()

    def test_first_claim_is_never_replaced(self):
        first = self.machine.run(begin_claim("k", "claim-1"))
        for machine in (self.machine, self.machine.restarted()):
            second = machine.run(begin_claim("k", "claim-2"))
            self.assertEqual("claim-1", second.claim_id)
        self.assertEqual("running", first.state)

    def test_resend_of_a_claim_returns_the_same_claim(self):
        for _ in range(2):
            self.assertEqual(
                "claim-1", self.machine.run(begin_claim("k", "claim-1")).claim_id
            )

    def test_only_the_owner_releases_a_claim_and_only_before_it_is_finished(self):
        cases = [
            ([("claim-2", True)], "claim-1"),
            ([("claim-1", True)], "claim-2"),
            ([("claim-1", False)], "claim-1"),
            ([("claim-1", False), ("claim-1", True)], "claim-1"),
        ]
        for ends, expected in cases:
            machine = IndexedStateMachine()
            machine.run(begin_claim("k", "claim-1"))
            for claim_id, released in ends:
                machine.run(Command(end_claim=EndClaim("k", claim_id, released)))
            found = machine.run(begin_claim("k", "claim-2"))
            self.assertEqual(expected, found.claim_id, ends)


class SnapshotTest(TestCase):
    def test_restored_machine_stays_identical_to_the_original(self):
        machine = IndexedStateMachine()
        commands = [
            member_report("e1"),
            pool_change("c1", "a", "t=a"),
            report(make_instance("w1", {"t": "a"})),
            begin_claim("k", "claim-1"),
            labels_change("c2", "w1", {"x": "y"}),
            Command(begin_drain=BeginDrain("w1", 1, "move")),
        ]
        for command in commands:
            machine.run(command)
        restored = machine.restarted()
        for command in [
            pool_change("c3", "b", "t=b"),
            report(make_instance("w2", {"t": "b"})),
            Command(finish_drain=FinishDrain("w1", 1)),
        ]:
            machine.run(command)
            restored.run(command)
        self.assertEqual(machine.image(), restored.image())
        self.assertEqual(LabelsRecord, type(restored.full().labels[0]))
