"""Errors of the command line of `platform/run.py`, and signals while it starts."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from testtools import TestCase

ROOT = Path(__file__).resolve().parents[2]
WAIT_SECONDS = 60.0


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


class SignalsWhileStartingTest(TestCase):
    def test_a_starting_process_ignores_sighup_and_ends_with_0_on_sigterm(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        # The process waits for the content of its settings, since they are a pipe.
        path = Path(folder.name) / "node.toml"
        os.mkfifo(path)
        process = subprocess.Popen(
            [sys.executable, str(ROOT / "platform/run.py"), "entry"],
            env={**os.environ, "ARBUTUSCLEAT_BOOT": str(path)},
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        writer = self.open_for_writing(path)
        self.addCleanup(os.close, writer)
        process.send_signal(signal.SIGHUP)
        self.assertEqual(0, self.terminate(process))

    def terminate(self, process):
        """Send SIGTERM until the process has ended, and return its exit code.

        The interpreter does not notice a signal just before a read until it returns.
        """
        deadline = time.monotonic() + WAIT_SECONDS
        while process.poll() is None and time.monotonic() < deadline:
            process.send_signal(signal.SIGTERM)
            time.sleep(0.1)
        return process.poll()

    def open_for_writing(self, path):
        """Open a pipe once the process reads from it."""
        deadline = time.monotonic() + WAIT_SECONDS
        while True:
            try:
                return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                self.assertTrue(time.monotonic() < deadline, "nobody reads the pipe")
                time.sleep(0.01)
