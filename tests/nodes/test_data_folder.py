"""Tests of the identity of a control node whose disk refuses writes."""

from testtools import TestCase

from arbutuscleat.consensus import FOUNDER_INCARNATION, DamagedFileError
from arbutuscleat.consensus.log import LOG_FILE
from arbutuscleat.nodes.data_folder import wait_for_identity
from tests.fakes import ManualClock, MemoryDisk

GROUP = ["a", "b", "c"]


class RepairingClock(ManualClock):
    """A clock under which the disk accepts writes after some sleeps."""

    def __init__(self, disk, sleeps):
        super().__init__()
        self.disk = disk
        self.sleeps = sleeps

    def sleep(self, event, seconds):
        self.sleeps -= 1
        if not self.sleeps:
            self.disk.repair()
        return super().sleep(event, seconds)


class DataFolderTest(TestCase):
    def identity(self, disk, clock, founders=(), node_id="a"):
        return wait_for_identity(disk, node_id, lambda: "new", founders, clock)

    def test_a_node_with_an_empty_folder_waits_for_its_disk(self):
        """Guards against a process that ends while its disk refuses writes."""
        for founders, incarnation in (((), "new"), (GROUP, FOUNDER_INCARNATION)):
            for write in (1, 2, 3):
                disk = MemoryDisk()
                disk.fail_at = write
                clock = RepairingClock(disk, 3)
                found = self.identity(disk, clock, founders)
                self.assertEqual(incarnation, found.incarnation)
                self.assertEqual(0, clock.sleeps)
                self.assertEqual(found, self.identity(disk, clock, founders))

    def test_a_node_that_is_no_founder_is_given_an_incarnation(self):
        found = self.identity(MemoryDisk(), ManualClock(), GROUP, "d")
        self.assertEqual("new", found.incarnation)

    def test_a_damaged_folder_still_stops_the_start(self):
        disk = MemoryDisk()
        self.identity(disk, ManualClock())
        del disk.files[LOG_FILE]
        self.assertRaises(DamagedFileError, self.identity, disk, ManualClock())
