"""Disks that refuse writes for some time, in groups whose steps the test runs."""

from testtools import TestCase

from arbutuscleat.consensus import Role
from arbutuscleat.wire.gen.ttypes import EntryKind
from tests.consensus.test_joining import FOUNDERS, Group


class RefusedWritesTest(TestCase):
    """A group of three voters and a learner whose disks refuse writes by turns."""

    def setUp(self):
        super().setUp()
        self.group = Group()
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

    def test_a_learner_replaces_a_voter_whose_disk_refuses_writes(self):
        """Guards against refusals that count as signs of a working voter."""
        name = self.follower()
        self.refuse_writes(name)
        self.propose("1")
        self.group.run(4.0)
        self.assertEqual({*FOUNDERS, "d"} - {name}, self.group.voters())
