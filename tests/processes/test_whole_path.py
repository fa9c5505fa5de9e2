import tempfile
from pathlib import Path

from testtools import TestCase

from examples import demo


class WholePathTest(TestCase):
    """The demo runs each daemon as a process and stops all of them gracefully."""

    def test_the_demo_exits_with_zero(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.patch(demo, "FOLDER", Path(folder.name) / "demo")
        self.assertEqual(0, demo.main())
