"""Graceful stops under load: requests in progress complete."""

import tempfile
import threading
from pathlib import Path

from testtools import TestCase

from arbutuscleat.emulator import EndpointPlan, FleetPlan, LocalFleet
from benchmarks.fleets import set_pool, start_endpoints

RUN_MS = 1500.0
CALLERS = 6


class StopsTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        plan = FleetPlan(("karachi",), entries_per_data_centre=2, controls=3)
        self.fleet = LocalFleet(Path(folder.name), plan)
        self.addCleanup(self.fleet.kill)
        self.fleet.start()
        set_pool(self.fleet, "portal", "portal")
        workers = [
            EndpointPlan(
                f"worker-{n}",
                "karachi",
                "portal",
                labels=["tier=portal"],
                run_ms=RUN_MS,
            )
            for n in range(2)
        ]
        start_endpoints(self.fleet, workers)

    def call(self, entry, key, results):
        url = f"{self.fleet.http_urls[entry]}/v1/services/portal/x"
        headers = {"Idempotency-Key": key}
        response = self.fleet.request("POST", url, headers, b"content")
        outcome = response.headers.get("Arbutuscleat-Outcome")
        results.append((response.status, outcome, len(response.data) > 0))

    def in_progress(self, entry):
        url = f"{self.fleet.http_urls[entry]}/v1/metrics"
        text = self.fleet.request("GET", url, {}).data.decode()
        lines = dict(line.rsplit(" ", 1) for line in text.splitlines())
        return float(lines["slots_in_use"])

    def start_callers(self, entry):
        results = []
        threads = [
            threading.Thread(target=self.call, args=(entry, f"{entry}-{n}", results))
            for n in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        busy = lambda: self.in_progress(entry) == CALLERS
        self.fleet.wait_for(busy, "every request to be in progress")
        return threads, results

    def test_requests_complete_while_an_entry_instance_or_a_worker_stops(self):
        for name, entry in [
            ("entry-karachi-1", "entry-karachi-1"),
            ("worker-0", "entry-karachi-2"),
        ]:
            threads, results = self.start_callers(entry)
            self.assertEqual(0, self.fleet.processes.pop(name).stop())
            for thread in threads:
                thread.join()
            self.assertEqual([(200, "ran", True)] * CALLERS, results)

        # The stopped worker has announced that it leaves; the other serves everything.
        url = f"{self.fleet.http_urls['entry-karachi-2']}/v1/services/portal/x"
        for _ in range(3):
            response = self.fleet.request("GET", url, {})
            self.assertEqual("worker-1", response.headers["Arbutuscleat-Instance"])
