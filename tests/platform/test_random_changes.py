"""Random changes of valid messages: parsers raise only `FormatError`, or nothing.

The runs are derandomized, so the verdict is the same each time.
"""

import copy
import json
from unittest import mock

from berthline.config_format import parse_config
from berthline.fields import FormatError
from berthline.http_calls import HttpCalls
from berthline.job_format import parse_job
from berthline.provider_calls import parse_machines
from berthline.worker_format import parse_announcement, parse_clock, parse_hold
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from arbutuscleat.jobs import JobTable
from arbutuscleat.scheduling.objective import objective_at_ms
from arbutuscleat.wire import Address, decode, encode
from arbutuscleat.wire.gen_jobs.ttypes import (
    AnnounceRequest,
    EndRecord,
    JobCommand,
    JobRecord,
    RunEnds,
    SetConfig,
    SubmitRequest,
    WorkerRecord,
)
from examples.berthline import CONFIG
from tests.fakes.jobs import JOB as JOB_ID
from tests.fakes.jobs import worker
from tests.platform.test_bad_input import ANNOUNCEMENT, JOB
from tests.platform.test_machine_list import ROW
from tests.platform.test_worker_answers import FINISHED, HOLD, RUNNING

EXAMPLES = settings(
    max_examples=300,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
FULL_JOB = {
    **JOB,
    "steps": [
        {
            "count": 2,
            "cpu": 500,
            "mem-mb": 256,
            "gpu": 1,
            "estimated-ms": 900,
            "data-rack": "r1",
            "requirements": "a",
            "image": "i",
            "anti-affinity": 1,
            "target-ms": 5,
            "may-miss": 1,
            "gang": True,
        },
        {"count": 1, "after": [0], "checkpointing": True},
    ],
    "repeat-count": 3,
    "start-at-ms": 5,
    "interval-ms": 1_000,
}

NUMBERS = st.one_of(
    st.sampled_from([2**31 - 1, 2**31, 2**61, 2**62, 2**63, 10**30, 10**400]),
    st.sampled_from([-1, 0, 1, 1e300, -0.0, float("nan"), float("inf"), 0.5]),
    st.integers(),
    st.floats(),
)
TEXTS = st.one_of(
    st.sampled_from(["\ud800", "\u00b2", "10.0.0.1:\u0661", "x" * 5_000, "\x00"]),
    st.text(st.characters(codec=None), max_size=6),
)
SCALARS = st.one_of(st.none(), st.booleans(), NUMBERS, TEXTS)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=4), inner, max_size=3),
    ),
    max_leaves=6,
) | st.sampled_from([30, 90]).map(lambda depth: json.loads("[" * depth + "]" * depth))


def paths(tree, path=()):
    """Return the paths of all values within a tree."""
    found = [path] if path else []
    items = ()
    if isinstance(tree, dict):
        items = tree.items()
    elif isinstance(tree, list):
        items = enumerate(tree)
    for key, value in items:
        found += paths(value, (*path, key))
    return found


def like(value):
    """Return the values that may replace one of the same type."""
    if isinstance(value, str):
        return TEXTS
    if isinstance(value, int | float) and not isinstance(value, bool):
        return NUMBERS
    return VALUES


@st.composite
def changed(draw, tree, changes=2):
    """Return a copy of `tree` in which some values were replaced or removed."""
    result = copy.deepcopy(tree)
    for _ in range(draw(st.integers(1, changes))):
        path = draw(st.sampled_from(paths(result) or [()]))
        if not path:
            break
        parent = result
        for key in path[:-1]:
            parent = parent[key]
        how = draw(st.integers(0, 5))
        if how == 0:
            del parent[path[-1]]
        elif how == 1:
            parent[path[-1]] = draw(VALUES)
        else:  # Of the same type, which gets further.
            parent[path[-1]] = draw(like(parent[path[-1]]))
    return result


def parse(function, *args):
    """Return the result of a parser, or None if it raises a `FormatError`."""
    try:
        return function(*args)
    except FormatError:
        return None


def to_json(tree):
    return json.dumps(tree).encode()


class RandomChangesTest(TestCase):
    def assert_kept(self, struct):
        """Check that a struct can be encoded, and is the same once decoded."""
        self.assertEqual(struct, decode(type(struct), encode(struct)))

    def assert_applied(self, table, command):
        """Check that a command is applied without an error, and the state is kept."""
        table.index = getattr(table, "index", 0) + 1
        with mock.patch("absl.logging.error") as error:
            table.apply(table.index, encode(command))
        error.assert_not_called()
        restored = JobTable(parse_config)
        restored.restore(table.image())
        self.assertEqual(table.image(), restored.image())

    @EXAMPLES
    @given(changed(ANNOUNCEMENT), st.text(max_size=5))
    def test_announcements(self, tree, name):
        for worker_id in ("i-1", name):
            record = parse(parse_announcement, worker_id, to_json(tree))
            if record is not None:
                self.assert_kept(AnnounceRequest(worker=record, leaving=False))
                table = JobTable(parse_config)
                self.assert_applied(table, JobCommand(worker=worker(worker_id)))
                self.assert_applied(table, JobCommand(worker=record))
                self.assertIsInstance(record, WorkerRecord)

    @EXAMPLES
    @given(changed(FULL_JOB, 3))
    def test_jobs(self, tree):
        record = parse(parse_job, to_json(tree))
        if record is None:
            return
        self.assert_kept(SubmitRequest(host="h", path="/p", job=record))
        record.job_id, record.queue, record.service_name = (
            JOB_ID,
            "approvals",
            "karachi",
        )
        record.accepted_at_ms = 1_000
        self.assert_kept(record)
        self.assertIsInstance(record, JobRecord)
        table = JobTable(parse_config)
        self.assert_applied(table, JobCommand(accept=record))
        objective_at_ms(table.jobs[JOB_ID], 0, None)

    @EXAMPLES
    @given(changed(CONFIG, 3))
    def test_configurations(self, tree):
        body = to_json(tree)
        config = parse(parse_config, body)
        if config is None:
            return
        command = SetConfig(version=config.version, content=body)
        table = JobTable(parse_config)
        self.assert_applied(table, JobCommand(config=command))
        self.assertEqual(config.version, table.config.version)
        table.apply(2, encode(JobCommand(accept=parse_accepted())))
        for queue in config.queues.values():
            objective_at_ms(table.jobs[JOB_ID], 0, queue)
            config.find(queue.host, queue.path_prefix + JOB_ID)

    @EXAMPLES
    @given(changed({"rows": [ROW]}, 3))
    def test_machines(self, tree):
        odd = tree.get("rows")
        odd = odd if isinstance(odd, list) else [odd]
        sound = [{**ROW, "machine": f"sound-{number}"} for number in range(2)]
        # As it is received.
        rows = json.loads(json.dumps([sound[0], *odd, sound[1]]))
        found = {item.machine: item for item in parse_machines(rows)}
        for name in ("sound-0", "sound-1"):
            self.assertTrue(found[name].is_up)
            self.assertEqual(16_000, found[name].cpu)
        for item in found.values():
            self.assert_kept(worker(item.worker_id, machine=item.machine, cpu=item.cpu))

    @EXAMPLES
    @given(changed(HOLD, 3), changed([RUNNING]), changed([FINISHED]))
    def test_answers_to_holds(self, tree, running, finished):
        received = json.loads(json.dumps(tree))
        parse(parse_hold, received)
        parse_clock(received)
        lists = {"running": [*running, RUNNING], "finished": [FINISHED, *finished]}
        answer = parse_hold({**HOLD, **json.loads(json.dumps(lists))})
        self.assertEqual(2, answer.running[-1].number)
        self.assertEqual(58, answer.finished[0].position)
        ends = []
        for end in answer.finished:
            run = end.key.run_record(end.number, ("i-1", answer.born_ms))
            ends.append(EndRecord(run, int(end.outcome), end.checkpoint))
        command = JobCommand(ends=RunEnds(ends=ends, at_ms=1))
        self.assert_kept(command)
        table = JobTable(parse_config)
        self.assert_applied(table, JobCommand(accept=parse_accepted()))
        self.assert_applied(table, command)

    @EXAMPLES
    @given(st.binary(max_size=60), st.integers(0, 10_000), st.integers(1, 8))
    def test_bytes(self, garbage, position, count):
        calls = HttpCalls(Address("127.0.0.1", 1), {})
        for tree in (ANNOUNCEMENT, FULL_JOB, CONFIG):
            body = to_json(tree)
            at = position % len(body)
            for data in (garbage, body[:at] + garbage + body[at + count :]):
                parse(parse_config, data)
                parse(parse_job, data)
                parse(parse_announcement, "i-1", data)
                self.assertIsInstance(calls._parse(data, "/"), dict)


def parse_accepted():
    """Return a job as it is accepted into the log."""
    record = parse_job(to_json({**FULL_JOB, "repeat-count": 0}))
    record.job_id, record.queue, record.service_name = JOB_ID, "approvals", "karachi"
    record.accepted_at_ms = 1_000
    return record
