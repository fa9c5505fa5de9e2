from pathlib import Path
from tempfile import TemporaryDirectory

from returns.result import Failure
from testtools import TestCase

from arbutuscleat.core import ClientLimits
from arbutuscleat.settings import (
    ClientLimitSettings,
    ControlSettings,
    EntrySettings,
    load_settings,
)

EXAMPLES = Path(__file__).parent.parent.parent / "examples"

# Text of the example, its replacement, and the path and a word in the expected error.
INVALID = [
    ('cluster: "indus"', 'clustre: "indus"', "clustre", "not permitted"),
    ('cluster: "indus",', "", "cluster", "required"),
    ('data_centre: "karachi",', "", "data_centre", "required"),
    ('host: "10.0.1.11", port: 8080', 'host: "khi", port: 8080', "http.host", "IP"),
    (
        'host: "10.0.1.11", port: 8080',
        'host: "10.0.1.11", port: 80800',
        "port",
        "65535",
    ),
    ("http_threads: 32", "http_threads: 1", "http_threads", "2"),
    ("connections: 1024", "connections: 7", "client_limits.connections", "8"),
    ("election_ms: 1500", "election_ms: 600", "consensus", "twice"),
    ("election_ms: 1500", 'election_ms: "1.5 s"', "consensus.election_ms", "integer"),
    ("a-long-shared-key-of-16-or-more", "short", "shared_key", "16"),
    (
        'node_id: "control-1", // this',
        'node_id: "other", // this',
        "settings",
        "missing",
    ),
    ("{", "", "file", "JSON"),
]


class LoaderTest(TestCase):
    def load(self, text, model=ControlSettings):
        with TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json5"
            path.write_text(text)
            return load_settings(path, model)

    def test_the_annotated_examples_are_valid(self):
        for name, model in [("control", ControlSettings), ("entry", EntrySettings)]:
            load_settings(EXAMPLES / f"{name}.json5", model).unwrap()

    def test_the_examples_and_the_defaults_are_the_documented_client_limits(self):
        cfg = load_settings(EXAMPLES / "entry.json5", EntrySettings).unwrap()
        self.assertEqual(ClientLimits(), cfg.client_limits.limits())
        self.assertEqual(ClientLimits(), ClientLimitSettings().limits())

    def test_each_error_is_one_line_with_its_path(self):
        text = (EXAMPLES / "control.json5").read_text()
        for old, new, path, word in INVALID:
            self.assertIn(old, text)
            result = self.load(text.replace(old, new, 1))
            self.assertIsInstance(result, Failure, new)
            lines = [str(error) for error in result.failure()]
            matching = [line for line in lines if path in line and word in line]
            self.assertTrue(matching, (new, lines))
            self.assertNotIn("\n", lines[0])

    def test_all_errors_are_reported_at_once(self):
        result = self.load("{}")
        self.assertGreater(len(result.failure()), 5)

    def test_secrets_are_not_shown(self):
        text = (EXAMPLES / "control.json5").read_text()
        result = self.load(text.replace("a-long-shared-key-of-16-or-more", "short"))
        self.assertNotIn("short'", str(result.failure()[0]))
