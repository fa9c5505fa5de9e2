"""Control instances that are killed, suspended, or lose their data folder."""

import json
import shutil
import signal
import tempfile
from pathlib import Path

from testtools import TestCase

from arbutuscleat.emulator import OPERATOR_TOKEN, FleetPlan, LocalFleet
from tests import guarantees

HEADERS = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
CONTROLS = ["control-1", "control-2", "control-3"]
ENTRY = "entry-karachi-1"


class ControlFailuresTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        plan = FleetPlan(("karachi",), entries_per_data_centre=1, controls=3)
        self.fleet = LocalFleet(Path(folder.name), plan)
        self.addCleanup(self.fleet.kill)
        self.fleet.start()
        self.versions = []

    def gauge(self, name, gauge):
        try:
            url = f"{self.fleet.http_urls[name]}/v1/metrics"
            text = self.fleet.request("GET", url, {}).data.decode()
        except Exception:
            return 0.0
        lines = dict(line.rsplit(" ", 1) for line in text.splitlines())
        return float(lines[gauge])

    def leader(self):
        found = []

        def find_leader():
            running = [name for name in CONTROLS if name in self.fleet.processes]
            found[:] = [name for name in running if self.gauge(name, "leads")]
            return bool(found)

        self.fleet.wait_for(find_leader, "a leader")
        return found[0]

    def put(self, change_id, number, expected):
        """Send a change through the entry instance until it is accepted or refused."""
        body = {
            "kind": "labels",
            "expected_version": expected,
            "content": {"target": "service", "name": "s", "labels": {"n": str(number)}},
        }
        url = f"{self.fleet.http_urls[ENTRY]}/v1/changes/{change_id}"
        verdicts = []

        def is_decided():
            response = self.fleet.request(
                "PUT", url, HEADERS, json.dumps(body).encode()
            )
            if response.status == 503:
                return False
            verdicts.append(response.json())
            return True

        self.fleet.wait_for(is_decided, f"a verdict on {change_id}")
        self.assertTrue(verdicts[-1]["accepted"], verdicts)
        return verdicts[-1]["version"]

    def check_version(self):
        url = f"{self.fleet.http_urls[ENTRY]}/v1/labels"
        version = self.fleet.request("GET", url, HEADERS).json()["version"]
        self.versions.append(version)
        guarantees.never_reverts(self.versions)

    def test_changes_survive_a_killed_a_suspended_and_an_erased_instance(self):
        version = self.put("c1", 1, 0)
        killed = self.leader()
        self.fleet.processes.pop(killed).kill()
        second = self.put("c2", 2, version)
        self.assertEqual(
            version, self.put("c1", 1, 0), "a repeated change returns its first version"
        )
        self.check_version()

        self.fleet.start_daemon(killed)
        self.fleet.wait_healthy(killed)
        suspended = self.leader()
        process = self.fleet.processes[suspended].popen
        process.send_signal(signal.SIGSTOP)
        third = self.put("c3", 3, second)
        process.send_signal(signal.SIGCONT)
        self.check_version()
        self.assertEqual(third, self.put("c3", 3, second))

        follower = next(name for name in CONTROLS if name != self.leader())
        self.fleet.processes.pop(follower).kill()
        shutil.rmtree(self.fleet.folder / "data" / follower)
        self.fleet.start_daemon(follower)
        voting = lambda: self.gauge(follower, "voter") == 1.0
        self.fleet.wait_for(voting, "the erased instance to become a voter again")
        self.put("c4", 4, third)
        self.check_version()
        codes = self.fleet.stop()
        self.assertEqual({0}, set(codes.values()), codes)
