"""Dispatch rights, dispatch gate and member failure detector under faults."""

from testtools import TestCase

from arbutuscleat.wire.gen.ttypes import (
    Command,
    FetchAnswer,
    MarkMemberDown,
    SuspectMember,
)
from tests import guarantees
from tests.membership.data_centre import GATE_WAIT_SECONDS, LEASE_MS, DataCentre

LEASE = LEASE_MS / 1000


def cut_peers(centre, *names):
    """Cut the links between the named nodes and all other nodes, both ways.

    Links between nodes that are not named are restored.
    """
    for node in centre.nodes.values():
        for peer, channel in node.peers.items():
            channel.is_cut = node.name in names or peer in names


class DispatchRightsTest(TestCase):
    def test_all_instances_dispatch_while_control_is_reachable(self):
        centre = DataCentre()
        self.assertTrue(all(may for _, _, may in centre.dispatchers()))

    def test_partitioned_data_centre_keeps_dispatching(self):
        for size in (1, 2, 3, 4):
            centre = DataCentre([False] * size)
            for node in centre.nodes.values():
                node.cut_control()
            centre.pass_time(10 * LEASE)
            self.assertTrue(all(may for _, _, may in centre.dispatchers()), size)
            self.assertFalse(centre.control.verdict().is_open and size > 1)

    def test_isolated_instance_stops_when_its_lease_expires(self):
        centre = DataCentre()
        centre.nodes["e1"].cut_control()
        cut_peers(centre, "e1")
        self.assertTrue(centre.nodes["e1"].may_dispatch)
        centre.clock.advance(LEASE)
        self.assertFalse(centre.nodes["e1"].may_dispatch)

    def test_process_paused_past_its_lease_may_not_dispatch(self):
        centre = DataCentre()
        centre.clock.advance(LEASE + 0.01)
        self.assertFalse(any(may for _, _, may in centre.dispatchers()))

    def test_late_answer_does_not_extend_the_lease(self):
        centre = DataCentre()
        node = centre.nodes["e1"]
        centre.clock.advance(LEASE)
        late = lambda: centre.clock.advance(LEASE + 0.1)
        node.poll(after=late)
        node.share("e2", after=late)
        self.assertFalse(node.may_dispatch)

    def test_peer_grants_no_lease_to_a_holder_of_an_older_version(self):
        centre = DataCentre()
        behind = centre.nodes["e1"]
        behind.cut_control()
        centre.control.change()
        centre.nodes["e2"].poll()
        centre.clock.advance(LEASE)
        request_version = behind.version
        answer = centre.nodes["e2"].rights.may_grant(request_version)
        self.assertFalse(answer)

    def test_control_grants_no_lease_to_a_holder_of_an_older_version(self):
        centre = DataCentre()
        centre.clock.advance(LEASE)
        centre.control.change()
        node = centre.nodes["e1"]
        cut_peers(centre, "e1")
        node.poll()
        self.assertFalse(
            node.may_dispatch, "it held the older version when it sent the request"
        )
        node.poll()
        self.assertTrue(node.may_dispatch)

    def test_restarted_instance_without_a_disk_grants_no_leases(self):
        centre = DataCentre()
        centre.nodes["e1"].cut_control()
        centre.nodes["e2"].cut_control()
        centre.nodes["e2"].start()
        centre.nodes["e2"].cut_control()
        centre.nodes["e2"].share("e1")
        self.assertEqual(centre.nodes["e1"].version, centre.nodes["e2"].version)
        self.assertFalse(centre.nodes["e2"].rights.may_grant(99))
        centre.clock.advance(LEASE)
        centre.nodes["e1"].share("e2")
        self.assertFalse(centre.nodes["e1"].may_dispatch)

    def test_restarted_instance_with_a_disk_stays_registered(self):
        centre = DataCentre([True, True])
        for node in centre.nodes.values():
            node.start()
            node.cut_control()
        for node in centre.nodes.values():
            for peer in node.peers:
                node.share(peer)
        self.assertTrue(all(may for _, _, may in centre.dispatchers()))


class DispatchGateTest(TestCase):
    def check_gate(self, centre):
        """Return whether the gate is open; if so, check who may dispatch."""
        verdict = centre.control.verdict()
        if verdict.is_open:
            guarantees.no_dispatch_under_older_version(
                centre.control.version, centre.dispatchers()
            )
        return verdict.is_open

    def test_gate_opens_as_soon_as_all_members_have_acknowledged(self):
        centre = DataCentre()
        centre.control.change()
        self.assertFalse(self.check_gate(centre))
        centre.settle()
        self.assertTrue(self.check_gate(centre))

    def test_gate_waits_until_the_leases_of_a_silent_member_expire(self):
        centre = DataCentre()
        centre.nodes["e1"].cut_control()
        cut_peers(centre, "e1")
        centre.control.change()
        centre.nodes["e2"].poll()
        centre.nodes["e2"].poll()
        waited = 0.0
        while not self.check_gate(centre):
            centre.clock.advance(0.1)
            waited += 0.1
        self.assertAlmostEqual(GATE_WAIT_SECONDS, waited, delta=0.2)

    def test_gate_waits_for_a_member_that_holds_only_a_peer_lease(self):
        centre = DataCentre()
        centre.nodes["e1"].cut_control()
        centre.pass_time(3 * LEASE, step=0.25)
        self.assertTrue(
            centre.nodes["e1"].may_dispatch, "it holds a lease from its peer"
        )
        cut_peers(centre, "e1")
        centre.control.change()
        centre.nodes["e2"].poll()
        centre.nodes["e2"].poll()
        while centre.nodes["e1"].may_dispatch:
            self.assertFalse(self.check_gate(centre))
            centre.clock.advance(0.1)

    def mark_down_with_a_lease(self):
        """Grant a lease to e1 just before the log marks it down."""
        centre = DataCentre()
        node = centre.nodes["e1"]
        suspected = SuspectMember(node.name, node.incarnation)
        down = MarkMemberDown(node.name, node.incarnation)
        cut_peers(centre, "e1")
        centre.clock.advance(LEASE)
        node.poll()
        self.assertTrue(node.may_dispatch)
        centre.control.commit(Command(suspect_member=suspected))
        centre.control.commit(Command(mark_member_down=down))
        node.cut_control()
        return centre

    def assert_closed_while_leased(self, centre):
        """Check that the gate opens only after the lease of e1 has expired."""
        for _ in range(2):
            centre.nodes["e2"].poll()
        while centre.nodes["e1"].may_dispatch:
            self.assertFalse(self.check_gate(centre))
            centre.clock.advance(0.1)
        centre.clock.advance(GATE_WAIT_SECONDS)
        centre.nodes["e2"].poll()
        self.assertTrue(self.check_gate(centre))

    def test_gate_waits_for_a_lease_granted_while_the_member_is_marked_down(self):
        self.assert_closed_while_leased(self.mark_down_with_a_lease())

    def test_new_leader_waits_for_a_lease_granted_while_marked_down(self):
        centre = self.mark_down_with_a_lease()
        centre.control.lead()
        self.assert_closed_while_leased(centre)

    def test_gate_stays_closed_if_no_member_acknowledges(self):
        centre = DataCentre()
        for node in centre.nodes.values():
            node.cut_control()
        centre.control.change()
        for _ in range(100):
            centre.pass_time(1.0)
            self.assertFalse(centre.control.verdict().is_open)

    def test_only_member_is_never_marked_down(self):
        centre = DataCentre([False])
        centre.nodes["e1"].cut_control()
        centre.control.change()
        centre.pass_time(20 * LEASE)
        self.assertTrue(centre.control.machine.configuration.members["e1"].live)
        self.assertTrue(centre.nodes["e1"].may_dispatch)
        self.assertFalse(centre.control.verdict().is_open)

    def test_new_leader_waits_for_leases_of_the_previous_leader(self):
        centre = DataCentre()
        centre.control.change()
        cut_peers(centre, "e1")
        centre.nodes["e1"].cut_control()
        centre.nodes["e2"].poll()
        centre.control.lead()
        centre.nodes["e2"].poll()
        centre.clock.advance(GATE_WAIT_SECONDS - 0.1)
        self.assertFalse(centre.control.verdict().is_open)

    def test_peer_relays_an_acknowledgement(self):
        centre = DataCentre()
        centre.nodes["e1"].cut_control()
        centre.control.change()
        centre.nodes["e2"].poll()
        centre.nodes["e1"].share("e2")
        centre.nodes["e2"].share("e1")
        centre.nodes["e2"].poll()
        self.assertTrue(self.check_gate(centre))

    def test_acknowledgement_of_an_earlier_incarnation_does_not_count(self):
        centre = DataCentre()
        centre.control.change()
        centre.settle()
        centre.nodes["e1"].start()
        centre.nodes["e1"].register()
        self.assertFalse(centre.control.verdict().is_open)


class MemberFailureDetectorTest(TestCase):
    def test_killed_member_is_marked_down_and_the_others_keep_dispatching(self):
        centre = DataCentre([False] * 3)
        del centre.nodes["e1"]
        centre.pass_time(3 * LEASE + 2)
        self.assertFalse(centre.control.machine.configuration.members["e1"].live)
        for node in centre.nodes.values():
            node.cut_control()
        centre.pass_time(2 * LEASE)
        self.assertTrue(all(may for _, _, may in centre.dispatchers()))

    def test_change_comes_into_force_despite_a_killed_member(self):
        centre = DataCentre([False] * 3)
        del centre.nodes["e1"]
        centre.control.change()
        version = centre.control.version
        centre.pass_time(3 * LEASE + 2)
        for node in centre.nodes.values():
            self.assertGreaterEqual(node.tables.version(), version)

    def test_returning_member_is_registered_again(self):
        centre = DataCentre()
        node = centre.nodes["e1"]
        node.cut_control()
        cut_peers(centre, "e1")
        centre.pass_time(3 * LEASE + 2)
        self.assertFalse(centre.control.machine.configuration.members["e1"].live)
        node.cut_control(False)
        cut_peers(centre)
        node.register()
        centre.settle()
        self.assertTrue(node.may_dispatch)
        self.assertTrue(centre.control.machine.configuration.members["e1"].live)


class InForceTest(TestCase):
    def test_version_is_not_in_force_before_the_peers_hold_it(self):
        centre = DataCentre()
        before = centre.nodes["e1"].tables.version()
        centre.control.change()
        centre.nodes["e1"].poll()
        self.assertEqual(before, centre.nodes["e1"].tables.version())
        centre.settle()
        version = centre.control.version
        self.assertEqual(version, centre.nodes["e1"].tables.version())

    def test_restart_in_a_partitioned_data_centre_does_not_revert(self):
        for durable in ([False, False], [True, False], [False, False, False]):
            centre = DataCentre(durable)
            centre.control.change()
            node = centre.nodes["e1"]
            # The change reaches only one instance before the partition.
            node.poll()
            seen = [node.tables.version()]
            for other in centre.nodes.values():
                other.cut_control()
            node.start()
            node.cut_control()
            for peer in node.peers:
                node.share(peer)
            for _ in range(3):
                for other in centre.nodes.values():
                    for peer in other.peers:
                        other.share(peer)
            seen.append(node.tables.version())
            guarantees.never_reverts(seen)

    def test_lagging_source_does_not_revert_the_version(self):
        centre = DataCentre()
        node = centre.nodes["e1"]
        old = centre.nodes["e2"].view.full()
        centre.control.change()
        node.poll()
        version = node.version
        self.assertFalse(node.view.apply(FetchAnswer(full=old)))
        self.assertEqual(version, node.version)
        self.assertEqual(version, node.view.configuration.version)

    def test_node_catches_up_after_hundreds_of_missed_changes(self):
        centre = DataCentre()
        node = centre.nodes["e1"]
        node.cut_control()
        cut_peers(centre, "e1")
        for _ in range(300):
            centre.control.change()
        node.cut_control(False)
        node.poll()
        self.assertEqual(centre.control.version, node.version)
