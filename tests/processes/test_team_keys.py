"""Keys of teams with real processes, past a leader that is suspended."""

import signal
import tempfile
from pathlib import Path

from testtools import TestCase

from arbutuscleat.jobs import key_digest
from examples.berthline import CONFIG, BerthlineDemo

PATH = "/approvals/%016x"
OLD, NEW, OTHER = "pqk8bdk9eevyxq2yyaza", "x6pwawxdmdejk7f92bqu", "r5ta2m9w0c1e7b3kq8zd"
JOB = {"spec": "0.1", "steps": [{"count": 1, "cpu": 500}]}


class TeamKeysTest(TestCase):
    """One installation serves all steps, because starting it takes seconds."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.demo = BerthlineDemo(self.folder)
        self.addCleanup(self.demo.kill)
        self.demo.start()

    def configure(self, version, keys):
        """Send a version through any control node until it is acknowledged."""
        teams = [
            {"name": "berths", "api-keys": keys},
            {"name": "ledger", "api-keys": [OTHER]},
        ]
        content = {**CONFIG, "version": version, "tenants": teams}
        urls = [f"http://{address}/v1/configuration" for address in self.demo.control]
        self.demo.wait(
            lambda: any(self.demo.call("PUT", url, content)[0] == 200 for url in urls)
        )

    def statuses(self, number, key):
        """Return the statuses of a look-up at each entry node."""
        return [
            self.demo.job("GET", PATH % number, entry=entry, key=key)[0]
            for entry in (0, 1)
        ]

    def submit(self, number, key):
        return self.demo.job("POST", PATH % number, JOB, key=key)[0]

    def test_keys(self):
        self.configure(2, [OLD])
        for key in (None, "", NEW, f"{OLD},{OLD}"):
            self.assertEqual([401, 401], self.statuses(1, key))
            self.assertEqual(401, self.submit(1, key))
        self.assertEqual(200, self.submit(1, OLD))
        self.assertEqual([200, 200], self.statuses(1, OLD))
        self.assertEqual([410, 410], self.statuses(1, OTHER))
        self.assertEqual(409, self.submit(1, OTHER))
        self.check_rotation_past_a_suspended_leader()
        self.check_no_log_holds_a_key()

    def check_rotation_past_a_suspended_leader(self):
        former = self.demo.processes[self.demo.leader()]
        former.send_signal(signal.SIGSTOP)
        self.configure(3, [NEW])
        former.send_signal(signal.SIGCONT)
        for _ in range(20):
            for status in self.statuses(1, OLD):
                self.assertIn(status, (401, 503))
        self.demo.wait(lambda: self.statuses(1, OLD) == [401, 401])
        self.demo.wait(lambda: self.statuses(1, NEW) == [200, 200])
        self.assertEqual(401, self.submit(2, OLD))
        self.assertEqual(200, self.submit(1, NEW))

    def check_no_log_holds_a_key(self):
        codes = self.demo.stop()
        self.assertEqual({0}, set(codes.values()))
        text = "".join(path.read_text() for path in self.folder.glob("*/log"))
        self.assertIn("team berths: accepted", text)
        self.assertIn("401, unknown key", text)
        for key in (OLD, NEW, OTHER):
            digest = key_digest(key)
            for secret in (key, digest.hex(), repr(digest)):
                self.assertNotIn(secret, text)
