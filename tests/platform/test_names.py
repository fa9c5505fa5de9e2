"""The platform's names occur only in its adapter, not in other parts of the product."""

import platform
from pathlib import Path

from testtools import TestCase

from tests.conftest import ROOT

NAMES = [
    "run-start",
    "run-stop",
    "fencing-token",
    "ack-cursor",
    "expires-ms",
    "heartbeat-addr",
    "machine-move",
    "machine-upkeep",
    "wave-start",
    "wave-get",
    "X-Arbutuscleat-Lease-Holder",
    "X-Arbutuscleat-Fencing-Token",
    "X-Arbutuscleat-Expected-Instance",
    "X-Arbutuscleat-Deadline-Ms",
    "/v1/hold",
    "/v1/machines",
    "path-prefix",
    "target-latency-ms",
    "max-attempts",
    "estimated-ms",
    "data-rack",
    "anti-affinity",
    "control-plane",
    "internal-ports",
    "ARBUTUSCLEAT_BOOT",
]


class NamesTest(TestCase):
    def test_no_name_of_the_platform_occurs_outside_its_folder(self):
        for file in (ROOT / "arbutuscleat").rglob("*.py"):
            text = file.read_text()
            found = [name for name in NAMES if name in text]
            self.assertEqual([], found, str(file))

    def test_the_folder_does_not_hide_the_standard_library(self):
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())
        self.assertNotEqual(ROOT / "platform", Path(platform.__file__).parent)
