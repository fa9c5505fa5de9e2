"""A maintenance wave over real processes, which the emulated platform reboots."""

import random
import tempfile
import threading
from pathlib import Path

from testtools import TestCase

from arbutuscleat.emulator import EndpointPlan, FleetPlan, LocalFleet
from arbutuscleat.emulator.platform import StandInPlatform
from benchmarks.fleets import OPERATOR_HEADERS, put_change, start_endpoints


class WaveTest(TestCase):
    def test_a_wave_reboots_every_worker_without_failed_requests(self):
        platform = StandInPlatform(self.reboot, 0.3, random.Random(1))
        platform.start()
        self.addCleanup(platform.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        plan = FleetPlan(
            ("karachi",), 2, controls=3, platform_url=platform.url, soak_ms=500
        )
        self.fleet = LocalFleet(Path(folder.name), plan)
        self.addCleanup(self.fleet.kill)
        self.fleet.start()
        content = {
            "name": "portal",
            "service": "portal",
            "min_available": 2,
            "membership": "tier=portal",
        }
        put_change(self.fleet, "pool", {"kind": "pool", "content": content})
        self.plans = {
            f"worker-{n}": EndpointPlan(
                f"worker-{n}", "karachi", "portal", labels=["tier=portal"]
            )
            for n in range(3)
        }
        start_endpoints(self.fleet, list(self.plans.values()))
        content = {"name": "kernel", "purpose": "maintenance", "instances": "tier"}
        put_change(self.fleet, "wave", {"kind": "selector", "content": content})

        outcomes = set()
        self.fleet.wait_for(lambda: self.is_over(outcomes), "the wave to be over")
        self.assertEqual({"ran"}, outcomes)
        self.assertEqual(3, self.wave()["done"])
        self.assertEqual(3, len(platform.requests))

    def reboot(self, instance_id):
        threading.Thread(target=self.restart, args=(instance_id,)).start()

    def restart(self, instance_id):
        self.fleet.processes.pop(instance_id).stop()
        self.fleet.start_endpoint(self.plans[instance_id])

    def wave(self):
        url = self.fleet.http_urls["entry-karachi-1"]
        return self.fleet.request(
            "GET", f"{url}/v1/waves/kernel", OPERATOR_HEADERS
        ).json()

    def is_over(self, outcomes):
        for url in self.fleet.entries("karachi"):
            response = self.fleet.request("GET", f"{url}/v1/services/portal/x", {})
            outcomes.add(response.headers.get("Arbutuscleat-Outcome"))
        return self.wave().get("state") == "over"
