"""Tests of the configuration on an entry instance whose disk refuses writes."""

from testtools import TestCase

from tests import guarantees
from tests.membership.data_centre import DataCentre


class RefusedWritesTest(TestCase):
    """The first of two instances has a disk, which refuses writes for some time."""

    def setUp(self):
        super().setUp()
        self.centre = DataCentre([True, False])
        self.node = self.centre.nodes["e1"]
        self.before = self.node.version

    def refuse(self, fault="error"):
        self.node.disk.fault, self.node.disk.fail_at = fault, 1
        self.centre.control.change()

    def test_an_instance_follows_the_configuration_after_its_disk_refused_a_write(self):
        """Guards against a subscription that ends with the first such write."""
        for fault in ("error", "torn", "unsynced"):
            self.refuse(fault)
            self.node.poll()
            self.node.disk.repair()
            self.centre.control.change()
            self.node.poll()
            self.assertEqual(self.centre.control.version, self.node.version)
            self.node.start()
            self.assertEqual(self.centre.control.version, self.node.version)

    def test_a_version_that_is_not_saved_is_not_published(self):
        self.refuse()
        self.node.poll()
        self.assertEqual(self.before, self.node.version)
        self.assertTrue(self.node.view.has_failed_save())
        self.node.disk.repair()
        self.node.start()
        guarantees.never_reverts([self.before, self.node.version])

    def test_a_version_is_published_once_it_is_saved_without_a_newer_one(self):
        self.refuse()
        self.node.poll()
        self.node.disk.repair()
        self.node.poll()
        self.assertFalse(self.node.view.has_failed_save())
        self.assertEqual(self.centre.control.version, self.node.version)

    def test_peers_are_given_the_published_deltas_only(self):
        self.centre.control.change()
        self.node.poll()
        self.refuse()
        self.node.poll()
        with self.node.view.changed:
            deltas = self.node.view.deltas_since(self.before)
        self.assertEqual([self.before + 1], [delta.version for delta in deltas])
