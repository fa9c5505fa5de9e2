"""The command line of the platform's processes."""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

from testtools import TestCase

ROOT = Path(__file__).resolve().parents[2]


class RunTest(TestCase):
    def run_entry(self, *options, settings="/nowhere"):
        return subprocess.run(
            [sys.executable, str(ROOT / "platform/run.py"), "entry", *options],
            env={**os.environ, "ARBUTUSCLEAT_BOOT": settings},
            capture_output=True,
            text=True,
            timeout=60,
        )

    def test_settings_that_cannot_be_read_end_it_with_one_line(self):
        found = self.run_entry()
        self.assertEqual(2, found.returncode)
        self.assertIn("ARBUTUSCLEAT_BOOT", found.stderr)
        self.assertEqual(1, len(found.stderr.splitlines()))

    def test_a_bad_place_for_metrics_ends_it_with_one_line(self):
        settings = Path(self.make_folder()) / "node.toml"
        settings.write_text(
            'node-name = "a"\nip = "127.0.0.1"\nzone = "z"\n'
            "internal-ports = [7000, 7001]\nseeds = []\n"
        )
        for place in ("metrics", "x/metrics", "70000/metrics", "9464/"):
            found = self.run_entry("--metrics", place, settings=str(settings))
            self.assertEqual(2, found.returncode, place)
            self.assertIn("--metrics", found.stderr)

    def make_folder(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name
