"""The leader's search for control instances that have left the group."""

import random

from testtools import TestCase

from arbutuscleat.access import AdmissionController, FormerMembers, JobService
from arbutuscleat.jobs import JobTable
from arbutuscleat.wire import Address, Credentials, ThriftServer
from arbutuscleat.wire.gen_jobs import JobControl
from tests.consensus.harness import ReplicaHarness
from tests.fakes import ManualClock
from tests.fakes.jobs import decode_config

LEADER = "127.0.0.9"
FORMER = "127.0.0.1"
OTHER = "127.0.0.2"
INCARNATION = "without-disk"


class FakeReplica:
    """A leader whose log lists some members, and which records who joins."""

    def __init__(self):
        self.is_leader = True
        self.listed = [LEADER, FORMER]
        self.joins = []

    def leads(self):
        return self.is_leader

    def members(self):
        return list(self.listed)

    def accept_join(self, node_id, incarnation):
        self.joins.append((node_id, incarnation))
        return True


class FormerMembersTest(TestCase):
    def serve(self, replica):
        """Serve a control instance at the former member's address; return its port."""
        table = JobTable(decode_config)
        clock = ManualClock()
        admission = AdmissionController(table, clock, random.Random(1), lambda: None)
        service = JobService(replica, table, clock, admission)
        server = ThriftServer(
            JobControl.Processor(service),
            Address(FORMER, 0),
            Credentials("test", "", FORMER, INCARNATION),
        )
        self.addCleanup(server.stop)
        server.start()
        return server.address.port

    def make_task(self, port, seeds=()):
        self.replica = FakeReplica()
        credentials = Credentials("test", "", LEADER, "x")
        return FormerMembers(
            self.replica, lambda: seeds, port, credentials, ManualClock()
        )

    def serve_without_disk(self):
        return self.serve(ReplicaHarness(group=(), founder=False).replica)

    def test_a_former_member_that_knows_no_group_is_added(self):
        """Guards against a node that lost its disk and its place in the group."""
        task = self.make_task(self.serve_without_disk())
        task.run_once()
        self.assertEqual([], self.replica.joins)
        self.replica.listed = [LEADER]
        task.run_once()
        self.assertEqual([(FORMER, INCARNATION)], self.replica.joins)

    def test_a_seed_that_knows_no_group_is_added(self):
        """Guards against a leader that started after the member had left."""
        task = self.make_task(self.serve_without_disk(), seeds=[FORMER])
        self.replica.listed = [LEADER]
        task.run_once()
        self.assertEqual([(FORMER, INCARNATION)], self.replica.joins)

    def test_a_former_member_that_knows_a_group_is_not_added(self):
        """Guards against a replica taken from another group."""
        task = self.make_task(self.serve(ReplicaHarness().replica))
        task.run_once()
        self.replica.listed = [LEADER]
        task.run_once()
        self.assertEqual([], self.replica.joins)

    def test_only_the_leader_adds_members(self):
        task = self.make_task(self.serve_without_disk())
        task.run_once()
        self.replica.listed = [LEADER]
        self.replica.is_leader = False
        task.run_once()
        self.assertEqual([], self.replica.joins)

    def test_a_former_member_that_does_not_answer_does_not_hold_up_the_others(self):
        """Guards against a host that is gone for good and called first each time."""
        task = self.make_task(self.serve_without_disk())
        self.replica.listed = [LEADER, OTHER, FORMER]
        task.run_once()
        self.replica.listed = [LEADER]
        for _ in range(2):
            task.run_once()
        self.assertEqual([(FORMER, INCARNATION)], self.replica.joins)
