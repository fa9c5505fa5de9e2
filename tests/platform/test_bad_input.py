"""Invalid bodies are rejected with a `FormatError`."""

import copy
import json

from berthline.capacity_format import MAX_CPU, MAX_GPU, MAX_MEM_MB
from berthline.config_format import parse_config
from berthline.fields import FormatError
from berthline.job_format import MAX_OCCURRENCE_TASKS, MAX_SPEC_BYTES, parse_job
from berthline.worker_format import parse_announcement
from testtools import TestCase

from arbutuscleat.wire import decode, encode
from arbutuscleat.wire.gen_jobs.ttypes import JobRecord
from examples.berthline import CONFIG

ANNOUNCEMENT = {
    "service": "karachi",
    "address": "10.0.0.9:8080",
    "zone": "west",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-remaining-ms": 0,
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
    "labels": ["a", "r1"],
    "clock-ms": 1,
    "sequence": 4,
    "born": 7,
}
JOB = {"spec": "text", "steps": [{"count": 2, "cpu": 500}, {"count": 1, "after": [0]}]}
MISSING = object()
LONE_SURROGATE = "a\ud800"
NESTED = json.loads("[" * 100 + "]" * 100)


def changed(tree, path, value):
    """Return a copy of `tree`, as JSON, with one value replaced or removed."""
    result = copy.deepcopy(tree)
    parent = result
    for key in path[:-1]:
        parent = parent[key]
    if value is MISSING:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return json.dumps(result).encode()


class BadInputTest(TestCase):
    def assert_rejected(self, parse, tree, cases):
        parse(json.dumps(tree).encode())
        for body in (b"", b"{", b"[]", b"\xff\xfe", b"null", b"[" * 5000):
            self.assertRaises(FormatError, parse, body)
        for path, value in cases:
            body = changed(tree, path, value)
            self.assertRaises(FormatError, parse, body)

    def test_announcements(self):
        cases = [
            (["service"], MISSING),
            (["service"], 7),
            (["address"], MISSING),
            (["address"], "somewhere"),
            (["address"], "10.0.0.300:80"),
            (["address"], "10.0.0.3:0"),
            (["address"], "host.example:80"),
            (["state"], "resting"),
            (["state"], MISSING),
            (["capacity"], MISSING),
            (["capacity"], []),
            (["capacity", "cpu"], "many"),
            (["capacity", "cpu"], -1),
            (["labels"], "a"),
            (["labels"], [1]),
            (["sequence"], MISSING),
            (["sequence"], True),
            (["sequence"], 1.5),
            (["born"], "now"),
            (["address"], "10.0.0.3:\u00b2"),
            (["address"], "10.0.0.3:8\u0660"),
            (["address"], "10.0.0.\u0663:80"),
            (["address"], "10.0.0.3:65536"),
            (["address"], "10.0.0.3:" + "9" * 5_000),
            (["address"], "10.0.0.3:80\n"),
            (["service"], LONE_SURROGATE),
            (["zone"], LONE_SURROGATE),
            (["machine"], LONE_SURROGATE),
            (["labels"], ["a", LONE_SURROGATE]),
            (["labels"], ["a"] * 1_000),
            (["machine"], ["m-1"]),
            (["zone"], "z" * 100_000),
            (["capacity", "cpu"], True),
            (["capacity", "cpu"], MAX_CPU + 1),
            (["capacity", "mem-mb"], MAX_MEM_MB + 1),
            (["capacity", "gpu"], MAX_GPU + 1),
            (["capacity", "mem-mb"], 10**30),
            (["capacity", "gpu"], {}),
            (["capacity", "gpu"], float("inf")),
            (["sequence"], 1 << 62),
            (["sequence"], float("nan")),
            (["born"], 1 << 64),
            (["born"], -1),
            (["version"], NESTED),
        ]
        self.assert_rejected(
            lambda body: parse_announcement("i-1", body), ANNOUNCEMENT, cases
        )

    def test_ids_of_workers(self):
        """Guards against an id that cannot be sent in a header of the calls."""
        body = json.dumps(ANNOUNCEMENT).encode()
        for name in ("", "i\r\nX: y", "i 1", "\u00e4", "\ud800", "i" * 1_000, "i\x00"):
            self.assertRaises(FormatError, parse_announcement, name, body)
        self.assertEqual("i-1:a_b", parse_announcement("i-1:a_b", body).worker_id)

    def test_configurations(self):
        route = ["routes", 0]
        cases = [
            (["version"], MISSING),
            (["version"], "1"),
            (["version"], -1),
            (["routes"], MISSING),
            (["services"], {}),
            ([*route, "service"], "nobody"),
            ([*route, "timeout-ms"], 0),
            ([*route, "timeout-ms"], MISSING),
            ([*route, "host"], None),
            ([*route, "stretch"], "long"),
            ([*route, "max-attempts"], 0),
            (["routes"], CONFIG["routes"] * 2),
            (["services"], CONFIG["services"] * 2),
            (["limits"], 3),
            (["version"], 1 << 62),
            (["version"], True),
            ([*route, "stretch"], float("nan")),
            ([*route, "stretch"], float("inf")),
            ([*route, "stretch"], 1e300),
            ([*route, "stretch"], 10**400),
            ([*route, "stretch"], -1),
            ([*route, "stretch"], True),
            ([*route, "priority"], 10**30),
            ([*route, "max-attempts"], 10**30),
            ([*route, "target-latency-ms"], 1 << 40),
            ([*route, "name"], LONE_SURROGATE),
            ([*route, "name"], ["a"]),
            ([*route, "host"], LONE_SURROGATE),
            ([*route, "path-prefix"], LONE_SURROGATE),
            ([*route, "service"], {"name": "karachi"}),
            (["services", 0, "name"], LONE_SURROGATE),
            (["services", 0, "standby"], 1),
            (["routes"], [CONFIG["routes"]]),
            (["limits", "other"], NESTED),
        ]
        self.assert_rejected(parse_config, CONFIG, cases)

    def test_two_queues_with_one_host_and_path_prefix(self):
        tree = copy.deepcopy(CONFIG)
        tree["routes"].append({**CONFIG["routes"][0], "name": "other"})
        body = json.dumps(tree).encode()
        self.assertRaises(FormatError, parse_config, body)

    def test_jobs(self):
        cases = [
            (["spec"], MISSING),
            (["spec"], "x" * (MAX_SPEC_BYTES + 1)),
            (["steps"], []),
            (["steps"], MISSING),
            (["steps", 0], 3),
            (["steps", 0, "count"], 0),
            (["steps", 0, "count"], 1_000_000),
            (["steps", 0, "cpu"], "2"),
            (["steps", 1, "after"], [1]),
            (["steps", 1, "after"], [5]),
            (["steps", 0, "gang"], "yes"),
            (["repeat-count"], "twice"),
            (["spec"], LONE_SURROGATE),
            (["spec"], 10**30),
            (["steps", 0], [["count", 1]]),
            (["steps", 0, "count"], True),
            (["steps", 0, "count"], 10**30),
            (["steps", 0, "count"], float("inf")),
            (["steps", 0, "cpu"], 1 << 31),
            (["steps", 0, "mem-mb"], 1 << 31),
            (["steps", 0, "gpu"], 1 << 31),
            (["steps", 0, "estimated-ms"], 1 << 31),
            (["steps", 0, "estimated-ms"], float("nan")),
            (["steps", 0, "anti-affinity"], 1 << 31),
            (["steps", 0, "target-ms"], 1 << 31),
            (["steps", 0, "may-miss"], 1 << 31),
            (["steps", 0, "requirements"], LONE_SURROGATE),
            (["steps", 0, "data-rack"], LONE_SURROGATE),
            (["steps", 0, "image"], LONE_SURROGATE),
            (["steps", 0, "image"], ["a"]),
            (["steps", 0, "other"], NESTED),
            (["steps", 1, "after"], [False]),
            (["steps", 1, "after"], [0.5]),
            (["steps", 1, "after"], [[0]]),
            (["steps", 1, "after"], {"0": 0}),
            (["repeat-count"], 1 << 31),
            (["repeat-count"], True),
            (["repeat-count"], MAX_OCCURRENCE_TASKS),
            (["start-at-ms"], 1 << 62),
            (["interval-ms"], 10**30),
            (["interval-ms"], -1),
        ]
        self.assert_rejected(parse_job, {**JOB, "repeat-count": 0}, cases)

    def test_the_largest_values_of_a_job_can_be_logged(self):
        """Guards against a job that is accepted and ends the process that logs it."""
        names = ("cpu", "mem-mb", "gpu", "estimated-ms", "anti-affinity", "may-miss")
        largest = dict.fromkeys((*names, "target-ms"), (1 << 31) - 1)
        tree = {
            "spec": "x" * MAX_SPEC_BYTES,
            "steps": [{"count": 10, **largest}, {"count": 1, "after": [0, 0]}],
            "repeat-count": MAX_OCCURRENCE_TASKS // 11,
            "start-at-ms": (1 << 62) - 1,
            "interval-ms": (1 << 62) - 1,
        }
        record = parse_job(json.dumps(tree).encode())
        self.assertEqual(record, decode(JobRecord, encode(record)))
