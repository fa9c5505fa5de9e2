"""The rows of the fault matrix on subscription, dispatch rights and members."""

from testtools import TestCase

from arbutuscleat.wire.gen.ttypes import (
    Command,
    FetchAnswer,
    MarkMemberDown,
    SuspectMember,
)
from tests import promises
from tests.membership.data_centre import LEASE_MS, WAIT_SECONDS, DataCentre

LEASE = LEASE_MS / 1000


def cut_peers(centre, *names):
    """Cut the named nodes off from all others, both ways."""
    for node in centre.nodes.values():
        for peer, channel in node.peers.items():
            channel.is_cut = node.name in names or peer in names


class RightRows(TestCase):
    def test_everybody_dispatches_with_control(self):
        centre = DataCentre()
        self.assertTrue(all(may for _, _, may in centre.dispatchers()))

    def test_a_data_centre_that_is_cut_off_goes_on(self):
        for size in (1, 2, 3, 4):
            centre = DataCentre([False] * size)
            for node in centre.nodes.values():
                node.cut_control()
            centre.pass_time(10 * LEASE)
            self.assertTrue(all(may for _, _, may in centre.dispatchers()), size)
            self.assertFalse(centre.control.verdict().is_open and size > 1)

    def test_a_lone_process_stops_at_the_end_of_its_lease(self):
        centre = DataCentre()
        centre.nodes["e1"].cut_control()
        cut_peers(centre, "e1")
        self.assertTrue(centre.nodes["e1"].may_dispatch)
        centre.clock.advance(LEASE)
        self.assertFalse(centre.nodes["e1"].may_dispatch)

    def test_a_frozen_process_has_no_right_when_it_wakes(self):
        centre = DataCentre()
        centre.clock.advance(LEASE + 0.01)
        self.assertFalse(any(may for _, _, may in centre.dispatchers()))

    def test_a_late_answer_brings_no_longer_right(self):
        centre = DataCentre()
        node = centre.nodes["e1"]
        centre.clock.advance(LEASE)
        late = lambda: centre.clock.advance(LEASE + 0.1)
        node.poll(after=late)
        node.share("e2", after=late)
        self.assertFalse(node.may_dispatch)

    def test_no_lease_for_an_older_version(self):
        centre = DataCentre()
        behind = centre.nodes["e1"]
        behind.cut_control()
        centre.control.change()
        centre.nodes["e2"].poll()
        centre.clock.advance(LEASE)
        request_version = behind.version
        answer = centre.nodes["e2"].rights.may_grant(request_version)
        self.assertFalse(answer)

    def test_control_gives_no_lease_to_an_older_version(self):
        centre = DataCentre()
        centre.clock.advance(LEASE)
        centre.control.change()
        node = centre.nodes["e1"]
        cut_peers(centre, "e1")
        node.poll()
        self.assertFalse(node.may_dispatch, "held the older version when it asked")
        node.poll()
        self.assertTrue(node.may_dispatch)

    def test_a_restarted_process_without_a_disk_grants_nothing(self):
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

    def test_a_restarted_process_with_a_disk_stands_as_before(self):
        centre = DataCentre([True, True])
        for node in centre.nodes.values():
            node.start()
            node.cut_control()
        for node in centre.nodes.values():
            for peer in node.peers:
                node.share(peer)
        self.assertTrue(all(may for _, _, may in centre.dispatchers()))


class GateRows(TestCase):
    def acted_when_open(self, centre):
        verdict = centre.control.verdict()
        if verdict.is_open:
            promises.nobody_dispatches_behind(
                centre.control.version, centre.dispatchers()
            )
        return verdict.is_open

    def test_opens_at_once_when_all_have_acknowledged(self):
        centre = DataCentre()
        centre.control.change()
        self.assertFalse(self.acted_when_open(centre))
        centre.settle()
        self.assertTrue(self.acted_when_open(centre))

    def test_a_silent_member_is_waited_for_until_its_leases_end(self):
        centre = DataCentre()
        centre.nodes["e1"].cut_control()
        cut_peers(centre, "e1")
        centre.control.change()
        centre.nodes["e2"].poll()
        centre.nodes["e2"].poll()
        waited = 0.0
        while not self.acted_when_open(centre):
            centre.clock.advance(0.1)
            waited += 0.1
        self.assertAlmostEqual(WAIT_SECONDS, waited, delta=0.2)

    def test_the_leases_of_a_member_that_acknowledges_are_waited_for(self):
        centre = DataCentre()
        centre.nodes["e1"].cut_control()
        centre.pass_time(3 * LEASE, step=0.25)
        self.assertTrue(centre.nodes["e1"].may_dispatch, "by the lease of its peer")
        cut_peers(centre, "e1")
        centre.control.change()
        centre.nodes["e2"].poll()
        centre.nodes["e2"].poll()
        while centre.nodes["e1"].may_dispatch:
            self.assertFalse(self.acted_when_open(centre))
            centre.clock.advance(0.1)

    def marked_down_with_a_lease(self):
        """A lease is granted while the mark is on its way through the log."""
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

    def open_while_the_lease_holds(self, centre):
        for _ in range(2):
            centre.nodes["e2"].poll()
        while centre.nodes["e1"].may_dispatch:
            self.assertFalse(self.acted_when_open(centre))
            centre.clock.advance(0.1)
        centre.clock.advance(WAIT_SECONDS)
        centre.nodes["e2"].poll()
        self.assertTrue(self.acted_when_open(centre))

    def test_a_lease_granted_while_the_member_is_marked_down_is_waited_for(self):
        self.open_while_the_lease_holds(self.marked_down_with_a_lease())

    def test_so_does_a_new_leader(self):
        centre = self.marked_down_with_a_lease()
        centre.control.lead()
        self.open_while_the_lease_holds(centre)

    def test_nothing_opens_where_nobody_acknowledges(self):
        centre = DataCentre()
        for node in centre.nodes.values():
            node.cut_control()
        centre.control.change()
        for _ in range(100):
            centre.pass_time(1.0)
            self.assertFalse(centre.control.verdict().is_open)

    def test_a_lone_member_is_never_marked_down(self):
        centre = DataCentre([False])
        centre.nodes["e1"].cut_control()
        centre.control.change()
        centre.pass_time(20 * LEASE)
        self.assertTrue(centre.control.machine.configuration.members["e1"].live)
        self.assertTrue(centre.nodes["e1"].may_dispatch)
        self.assertFalse(centre.control.verdict().is_open)

    def test_a_new_leader_waits_for_the_leases_of_the_former(self):
        centre = DataCentre()
        centre.control.change()
        cut_peers(centre, "e1")
        centre.nodes["e1"].cut_control()
        centre.nodes["e2"].poll()
        centre.control.lead()
        centre.nodes["e2"].poll()
        centre.clock.advance(WAIT_SECONDS - 0.1)
        self.assertFalse(centre.control.verdict().is_open)

    def test_a_peer_passes_an_acknowledgement_on(self):
        centre = DataCentre()
        centre.nodes["e1"].cut_control()
        centre.control.change()
        centre.nodes["e2"].poll()
        centre.nodes["e1"].share("e2")
        centre.nodes["e2"].share("e1")
        centre.nodes["e2"].poll()
        self.assertTrue(self.acted_when_open(centre))

    def test_the_acknowledgement_of_an_earlier_run_does_not_count(self):
        centre = DataCentre()
        centre.control.change()
        centre.settle()
        centre.nodes["e1"].start()
        centre.nodes["e1"].ask_listing()
        self.assertFalse(centre.control.verdict().is_open)


class MemberRows(TestCase):
    def test_a_killed_member_is_marked_down_and_the_others_go_on(self):
        centre = DataCentre([False] * 3)
        del centre.nodes["e1"]
        centre.pass_time(3 * LEASE + 2)
        self.assertFalse(centre.control.machine.configuration.members["e1"].live)
        for node in centre.nodes.values():
            node.cut_control()
        centre.pass_time(2 * LEASE)
        self.assertTrue(all(may for _, _, may in centre.dispatchers()))

    def test_a_change_is_in_force_despite_a_killed_member(self):
        centre = DataCentre([False] * 3)
        del centre.nodes["e1"]
        centre.control.change()
        version = centre.control.version
        centre.pass_time(3 * LEASE + 2)
        for node in centre.nodes.values():
            self.assertGreaterEqual(node.tables.version(), version)

    def test_a_member_that_comes_back_is_listed_again(self):
        centre = DataCentre()
        node = centre.nodes["e1"]
        node.cut_control()
        cut_peers(centre, "e1")
        centre.pass_time(3 * LEASE + 2)
        self.assertFalse(centre.control.machine.configuration.members["e1"].live)
        node.cut_control(False)
        cut_peers(centre)
        node.ask_listing()
        centre.settle()
        self.assertTrue(node.may_dispatch)
        self.assertTrue(centre.control.machine.configuration.members["e1"].live)


class InForceRows(TestCase):
    def test_not_in_force_before_the_peers_hold_it(self):
        centre = DataCentre()
        before = centre.nodes["e1"].tables.version()
        centre.control.change()
        centre.nodes["e1"].poll()
        self.assertEqual(before, centre.nodes["e1"].tables.version())
        centre.settle()
        version = centre.control.version
        self.assertEqual(version, centre.nodes["e1"].tables.version())

    def test_a_restart_in_a_cut_off_data_centre_does_not_revert(self):
        for durable in ([False, False], [True, False], [False, False, False]):
            centre = DataCentre(durable)
            centre.control.change()
            node = centre.nodes["e1"]
            # The change reaches one instance at the moment of the cut.
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
            promises.never_reverts(seen)

    def test_a_source_that_lags_takes_nothing_back(self):
        centre = DataCentre()
        node = centre.nodes["e1"]
        old = centre.nodes["e2"].view.full()
        centre.control.change()
        node.poll()
        version = node.version
        self.assertFalse(node.view.apply(FetchAnswer(full=old)))
        self.assertEqual(version, node.version)
        self.assertEqual(version, node.view.configuration.version)

    def test_hundreds_of_changes_while_a_node_was_cut_off(self):
        centre = DataCentre()
        node = centre.nodes["e1"]
        node.cut_control()
        cut_peers(centre, "e1")
        for _ in range(300):
            centre.control.change()
        node.cut_control(False)
        node.poll()
        self.assertEqual(centre.control.version, node.version)
