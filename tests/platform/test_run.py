"""Errors of the command line of `platform/run.py`."""

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

    def test_unreadable_settings_are_reported_in_one_line(self):
        result = self.run_entry()
        self.assertEqual(2, result.returncode)
        self.assertIn("ARBUTUSCLEAT_BOOT", result.stderr)
        self.assertEqual(1, len(result.stderr.splitlines()))

    def test_an_invalid_metrics_option_is_reported(self):
        settings = Path(self.make_folder()) / "node.toml"
        settings.write_text(
            'node-name = "a"\nip = "127.0.0.1"\nzone = "z"\n'
            "internal-ports = [7000, 7001]\nseeds = []\n"
        )
        for option in ("metrics", "x/metrics", "70000/metrics", "9464/"):
            result = self.run_entry("--metrics", option, settings=str(settings))
            self.assertEqual(2, result.returncode, option)
            self.assertIn("--metrics", result.stderr)

    def make_folder(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name
