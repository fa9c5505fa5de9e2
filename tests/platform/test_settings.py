import shutil
import tempfile
from pathlib import Path

from berthline import settings
from testtools import TestCase

from arbutuscleat.core import ClientLimits
from arbutuscleat.scheduling import RateLimit

TEXT = """
node-name = "core-1"
ip = "10.1.0.12"
zone = "keamari"
internal-ports = [7060, 7075]
seeds = ["10.1.0.12:8623", "10.2.0.25:8623"]
bootstrap = true
data-dir = "/data/my-core"
a-field-that-is-new = 3
[listen-addrs]
control-plane = "10.1.0.12:8623"
[bounds]
max-hold-ms = 8000
lease-ms = 2500
[fault-tolerance]
machines = 2
"""


class SettingsTest(TestCase):
    def load(self, text):
        folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, folder)
        path = Path(folder) / "node.toml"
        path.write_text(text)
        return settings.load(path)

    def test_settings_are_loaded(self):
        cfg = self.load(TEXT)
        self.assertEqual(("10.1.0.12", "10.2.0.25"), cfg.seeds)
        self.assertEqual((7060, True), (cfg.peer_port, cfg.first_start))
        self.assertEqual((8.0, 2.5), (cfg.limits.max_lease, cfg.limits.machine_lease))
        self.assertEqual(2, cfg.tolerated_losses)
        self.assertIsNone(cfg.callers)

    def test_client_limits_come_from_an_optional_table(self):
        self.assertEqual(ClientLimits(), self.load(TEXT).client_limits)
        table = "[client-limits]\nbody-ms = 1500\nconnections = 64\nnew = 1\n"
        expected = ClientLimits(body_seconds=1.5, connections=64)
        self.assertEqual(expected, self.load(TEXT + table).client_limits)

    def test_invalid_client_limits_are_value_errors(self):
        for line in (
            "connections = 7",
            "connections = 1.5",
            "header-ms = 0",
            "header-ms = nan",
            "header-ms = '1'",
            "trailer-lines = true",
            "framing-bytes = -1",
        ):
            text = f"{TEXT}[client-limits]\n{line}\n"
            self.assertRaises(ValueError, self.load, text)

    def test_one_loss_is_tolerated_where_no_number_is_set(self):
        text = TEXT.replace("machines = 2", "")
        self.assertEqual(1, self.load(text).tolerated_losses)

    def test_the_allowance_of_teams_is_loaded(self):
        text = TEXT.replace("[bounds]", "[bounds]\nquota-window-s = 3\nquota-slack = 8")
        limit = self.load(text).rate_limit
        self.assertEqual((3.0, 8.0), (limit.window, limit.slack))
        self.assertEqual(RateLimit(), self.load(TEXT).rate_limit)

    def test_errors_name_the_key_or_value(self):
        cases = {
            "node-name": TEXT.replace("node-name", "name"),
            "internal-ports": TEXT.replace("internal-ports", "ports"),
            "'nowhere' is not an address": TEXT.replace(
                '"10.2.0.25:8623"', '"nowhere"'
            ),
        }
        for expected, text in cases.items():
            error = self.assertRaises(ValueError, self.load, text)
            self.assertIn(expected, str(error))

    def test_a_file_of_another_shape_is_a_value_error(self):
        """Guards against a changed file that ends the threads which read the seeds."""
        ports, seeds = "internal-ports = [7060, 7075]", "[bounds]"
        self.assertIn(ports, TEXT)
        cases = [
            TEXT.replace(ports, "internal-ports = []"),
            TEXT.replace(ports, "internal-ports = {}"),
            TEXT.replace(ports, "internal-ports = [inf]"),
            TEXT.replace(ports, "internal-ports = [[1]]"),
            TEXT.replace(ports, f"internal-ports = {'[' * 5_000}"),
            TEXT.replace(seeds, "[bounds]\nmaintenance-s = []"),
            TEXT.replace('"10.2.0.25:8623"', "7"),
            TEXT.replace('"10.2.0.25:8623"', '"10.2.0.25:\u00b2"'),
        ]
        for text in cases:
            self.assertRaises(ValueError, self.load, text)
