"""Moves between pools, with a fault in each phase."""

from testtools import TestCase

from arbutuscleat.maintenance import DrainCheck, Mover
from arbutuscleat.wire.gen.ttypes import MemberAck
from tests import guarantees
from tests.fakes import make_instance, pool_change, report
from tests.membership.data_centre import DataCentre
from tests.state.commands import labels_change

DRAIN_SECONDS = 60.0


class MoverFaultTest(TestCase):
    def setUp(self):
        super().setUp()
        self.centre = DataCentre()
        self.control = self.centre.control
        self.mover = self.make_mover()
        for command in (
            pool_change("a1", "a", "t=a", min_available=1),
            pool_change("b1", "b", "t=b"),
            report(make_instance("w1", {"t": "a"}, "dc")),
            report(make_instance("w2", {"t": "a"}, "dc")),
        ):
            self.control.commit(command)
        self.centre.settle()

    def make_mover(self):
        control = self.control
        drain_check = DrainCheck(control.acks, control.gate, DRAIN_SECONDS)
        return Mover(drain_check, self.centre.clock)

    def relabel(self, name="w1"):
        self.control.commit(labels_change(f"move-{name}", name, {"t": "b"}))

    def run_mover(self):
        for command in self.mover.decide(self.control.machine.configuration):
            self.control.commit(command)

    def assignment(self, name="w1"):
        found = self.control.machine.configuration.instances[name].assignment
        return found.pool, found.phase.value

    def test_a_move_waits_for_every_acknowledgement(self):
        self.relabel()
        self.run_mover()
        self.assertEqual(("a", "draining"), self.assignment())
        self.run_mover()
        self.assertEqual(
            ("a", "draining"), self.assignment(), "no member has acknowledged"
        )
        self.centre.settle()
        self.run_mover()
        self.assertEqual(("b", "assigned"), self.assignment())

    def test_moves_keep_the_pool_within_its_budget(self):
        self.relabel("w1")
        self.relabel("w2")
        for _ in range(5):
            self.run_mover()
            self.centre.settle()
            configuration = self.control.machine.configuration
            available = sum(
                i.assignment.pool == "a" and i.assignment.takes_work()
                for i in configuration.instances.values()
            )
            guarantees.within_budget({"a": available}, {"a": 1})
        self.assertEqual(("a", "assigned"), self.assignment("w2"))

    def test_a_move_waits_for_work_in_progress(self):
        self.relabel()
        self.run_mover()
        self.centre.settle()
        node = self.centre.nodes["e1"]
        busy = MemberAck("e1", node.incarnation, self.control.version, 1, ["w1"], 0)
        self.control.acks.record(busy)
        self.run_mover()
        self.assertEqual(("a", "draining"), self.assignment())
        node.poll()
        self.run_mover()
        self.assertEqual(("b", "assigned"), self.assignment())

    def test_a_silent_member_delays_a_move_until_the_drain_timeout(self):
        self.relabel()
        self.centre.nodes["e1"].cut_control()
        for channel in (
            self.centre.nodes["e1"].peers["e2"],
            self.centre.nodes["e2"].peers["e1"],
        ):
            channel.is_cut = True
        self.run_mover()
        for _ in range(2):
            self.centre.nodes["e2"].poll()
        waited = 0
        while self.assignment() != ("b", "assigned"):
            self.centre.clock.advance(1)
            waited += 1
            self.centre.nodes["e2"].poll()
            self.run_mover()
            self.assertLess(waited, 200)
        self.assertGreaterEqual(waited, DRAIN_SECONDS - 1)
        guarantees.no_dispatch_under_older_version(
            self.control.version - 1,
            [d for d in self.centre.dispatchers() if d[0] == "e1"],
        )

    def test_a_new_leader_continues_a_move(self):
        self.relabel()
        self.run_mover()
        self.control.lead()
        self.mover = self.make_mover()
        self.run_mover()
        self.assertEqual(("a", "draining"), self.assignment())
        self.centre.settle()
        self.run_mover()
        self.assertEqual(("b", "assigned"), self.assignment())
