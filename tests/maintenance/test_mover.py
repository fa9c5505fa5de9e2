"""Moves from one pool to another, step by step, with faults at each."""

from testtools import TestCase

from arbutuscleat.maintenance import DrainCheck, Mover
from arbutuscleat.wire.gen.ttypes import MemberAck
from tests import guarantees
from tests.fakes import make_instance, pool_change, report
from tests.membership.data_centre import DataCentre
from tests.state.commands import labels_change

DRAIN_SECONDS = 60.0


class MoverRows(TestCase):
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
        drains = DrainCheck(control.acks, control.gate, DRAIN_SECONDS)
        return Mover(drains, self.centre.clock)

    def relabel(self, name="w1"):
        self.control.commit(labels_change(f"move-{name}", name, {"t": "b"}))

    def look(self):
        for command in self.mover.decide(self.control.machine.configuration):
            self.control.commit(command)

    def assignment(self, name="w1"):
        found = self.control.machine.configuration.instances[name].assignment
        return found.pool, found.phase.value

    def test_drains_waits_for_everybody_and_assigns(self):
        self.relabel()
        self.look()
        self.assertEqual(("a", "draining"), self.assignment())
        self.look()
        self.assertEqual(("a", "draining"), self.assignment(), "nobody acknowledged")
        self.centre.settle()
        self.look()
        self.assertEqual(("b", "assigned"), self.assignment())

    def test_the_budget_is_kept(self):
        self.relabel("w1")
        self.relabel("w2")
        for _ in range(5):
            self.look()
            self.centre.settle()
            configuration = self.control.machine.configuration
            available = sum(
                i.assignment.pool == "a" and i.assignment.takes_work()
                for i in configuration.instances.values()
            )
            guarantees.within_budget({"a": available}, {"a": 1})
        self.assertEqual(("a", "assigned"), self.assignment("w2"))

    def test_work_in_progress_is_waited_for(self):
        self.relabel()
        self.look()
        self.centre.settle()
        node = self.centre.nodes["e1"]
        busy = MemberAck("e1", node.incarnation, self.control.version, 1, ["w1"], 0)
        self.control.acks.record(busy)
        self.look()
        self.assertEqual(("a", "draining"), self.assignment())
        node.poll()
        self.look()
        self.assertEqual(("b", "assigned"), self.assignment())

    def test_a_silent_member_costs_the_time_of_its_leases_and_its_work(self):
        self.relabel()
        self.centre.nodes["e1"].cut_control()
        for channel in (
            self.centre.nodes["e1"].peers["e2"],
            self.centre.nodes["e2"].peers["e1"],
        ):
            channel.is_cut = True
        self.look()
        for _ in range(2):
            self.centre.nodes["e2"].poll()
        waited = 0
        while self.assignment() != ("b", "assigned"):
            self.centre.clock.advance(1)
            waited += 1
            self.centre.nodes["e2"].poll()
            self.look()
            self.assertLess(waited, 200)
        self.assertGreaterEqual(waited, DRAIN_SECONDS - 1)
        guarantees.no_dispatch_under_older_version(
            self.control.version - 1,
            [d for d in self.centre.dispatchers() if d[0] == "e1"],
        )

    def test_a_new_leader_goes_on_in_the_middle(self):
        self.relabel()
        self.look()
        self.control.lead()
        self.mover = self.make_mover()
        self.look()
        self.assertEqual(("a", "draining"), self.assignment())
        self.centre.settle()
        self.look()
        self.assertEqual(("b", "assigned"), self.assignment())
