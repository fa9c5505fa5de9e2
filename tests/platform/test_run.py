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

PROGRAM = """
import atexit, os, runpy, sys
atexit.register(print, "interpreter is finalised", flush=True)
print("starts", flush=True)
sys.path.insert(0, os.path.dirname(sys.argv[1]))
runpy.run_path(sys.argv.pop(1), run_name="__main__")
"""


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

    def test_a_process_that_has_stopped_does_not_wait_for_the_interpreter(self):
        """Guards against seconds of garbage collection after the node has stopped."""
        result = subprocess.run(
            [sys.executable, "-c", PROGRAM, str(ROOT / "platform/run.py"), "entry"],
            env={**os.environ, "ARBUTUSCLEAT_BOOT": "/nowhere"},
            capture_output=True,
            text=True,
            timeout=WAIT_SECONDS,
        )
        self.assertEqual((2, "starts\n"), (result.returncode, result.stdout))
        self.assertIn("ARBUTUSCLEAT_BOOT", result.stderr)

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
