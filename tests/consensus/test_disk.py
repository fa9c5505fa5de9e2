"""Tests of a data folder in the file system."""

import os
import tempfile
from pathlib import Path

from testtools import TestCase

from arbutuscleat.consensus import FolderDisk, disk


class FolderDiskTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.disk = FolderDisk(self.folder)
        self.addCleanup(self.disk.close)

    def test_a_failed_replace_leaves_no_file_that_takes_up_a_full_disk(self):
        def write_half(descriptor, data):
            os.write(descriptor, data[: len(data) // 2])
            raise OSError(28, "injected fault")

        self.disk.replace("vote", b"1")
        self.patch(disk, "_write_all", write_half)
        self.assertRaises(OSError, self.disk.replace, "snapshot", b"1234")
        self.assertEqual({"vote": 1}, self.disk.sizes())
