"""Crowds at the default limits: many channels, and many well-formed requests.

None of them breaks a limit on a single request. The number of channels and of requests
is fixed, so that what a process takes does not depend on the speed of the machine.
"""

import itertools
import json
import struct
import threading
import time
from collections.abc import Callable, Iterator

import urllib3
from thrift.transport.TTransport import TMemoryBuffer

from arbutuscleat.wire import Address, Credentials
from arbutuscleat.wire.framing import make_protocol
from arbutuscleat.wire.gen import Handshake
from examples.berthline import CONFIG, HOST

from .crowds import CHUNKED, CONFIGURE, GET, Crowd, length_head, repeat

CHANNELS = 1_000
PEER_CHANNELS = 1_100
"""More than the port of peers holds open."""

MIXED_CHANNELS = 240
UNREAD_CHANNELS = 200
THREADS = 8
REQUEST_SECONDS = 5.0
"""How long a client waits for an answer: longer than ordinary callers do."""

MAX_SECONDS = 240.0
"""After this time no more requests are sent; a process that hangs holds each one."""

LONG_JOBS = 300
WIDE_JOBS = 300
REPEATED = 1_500
CONFIGURATIONS = 60
WAVES = 60
ANNOUNCEMENTS = 1_500
LOOK_UPS = 20_000
LARGE_FRAMES = 60
CLUSTER = "berthline"
"""The name that all processes of an installation present to each other."""

TEXT = "x" * 1_000
"""The longest text that most fields may have."""


def body_of(tree: dict) -> bytes:
    """Return an object as the body of a request."""
    return json.dumps(tree, separators=(",", ":")).encode()


STEP = {"count": 1, "cpu": 500, "mem-mb": 256, "estimated-ms": 900}
ORDINARY_JOB = body_of({"spec": "approve", "steps": [STEP]})
LARGE_JOB = body_of(
    {
        "spec": "x" * 4_000,
        "steps": [
            {**STEP, "image": TEXT, "requirements": TEXT, "data-rack": TEXT}
            for _ in range(62)
        ],
    }
)
"""A submission of about 200,000 bytes."""

MANY_STEPS_JOB = body_of({"spec": "", "steps": [STEP] * 700})
MANY_TASKS_JOB = body_of({"spec": "", "steps": [{**STEP, "count": 10_000}]})
MANY_OCCURRENCES_JOB = body_of(
    {"spec": "", "steps": [STEP], "repeat-count": 100_000, "interval-ms": 1}
)
MANY_DEPENDENCIES_JOB = body_of(
    {"spec": "", "steps": [STEP, {**STEP, "after": [0] * 90_000}]}
)
LASTING_JOB = body_of(
    {"spec": "", "steps": [{**STEP, "count": 10_000, "long-running": True}]}
)

ROUTE = CONFIG["routes"][0]


def configuration(version: int) -> bytes:
    """Return a configuration of over 2.5 MB."""
    others = [
        {**ROUTE, "name": f"r-{number}", "path-prefix": f"/route-{number:06d}/"}
        for number in range(12_000)
    ]
    return body_of({**CONFIG, "version": version, "routes": [ROUTE, *others]})


def wave(number: int) -> bytes:
    """Return an order of upkeep for 50,000 machines with long names."""
    machines = [f"m-{number:04d}-{machine:070d}" for machine in range(50_000)]
    return body_of({"wave": number, "machines": machines, "duration-s": 20, "cap": 1})


def announcement(number: int) -> bytes:
    """Return the announcement of a worker with as many labels as it may have."""
    return body_of(
        {
            "service": "karachi",
            "address": f"127.0.0.9:{1_000 + number}",
            "zone": "west",
            "state": "ready",
            "capacity": {"cpu": 64_000, "mem-mb": 131_072, "gpu": 0},
            "labels": [f"{label:04d}{TEXT[4:]}" for label in range(100)],
            "sequence": 1,
            "born": 1,
        }
    )


Request = tuple[str, str, bytes | None]
"""Method, path and body."""


def send_all(address: Address, requests: Iterator[Request]) -> dict[int, int]:
    """Send requests, a few at a time; return how often each status came.

    Status 0 stands for no answer.
    """
    counts: dict[int, int] = {}
    lock = threading.Lock()
    ends_at = time.monotonic() + MAX_SECONDS

    def run() -> None:
        with urllib3.PoolManager(retries=False, timeout=REQUEST_SECONDS) as http:
            while time.monotonic() < ends_at:
                with lock:
                    request = next(requests, None)
                if request is None:
                    return
                method, path, body = request
                try:
                    url = f"http://{address}{path}"
                    headers = {"Host": HOST}
                    status = http.request(
                        method, url, body=body, headers=headers
                    ).status
                except urllib3.exceptions.HTTPError:
                    status = 0
                with lock:
                    counts[status] = counts.get(status, 0) + 1

    threads = [threading.Thread(target=run, daemon=True) for _ in range(THREADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return counts


def job_path(number: int) -> str:
    """Return the path of a job."""
    return f"/approvals/{number:016x}"


def _submissions(body: bytes, count: int) -> Callable[[], Iterator[Request]]:
    return lambda: (("POST", job_path(1 + number), body) for number in range(count))


def _cancelled(body: bytes, count: int) -> Iterator[Request]:
    for number in range(count):
        yield "POST", job_path(1 + number), body
        yield "DELETE", job_path(1 + number), None


CALLER_FLOODS: dict[str, Callable[[], Iterator[Request]]] = {
    "jobs of 700 steps": _submissions(MANY_STEPS_JOB, LONG_JOBS),
    "jobs of 10,000 tasks": _submissions(MANY_TASKS_JOB, WIDE_JOBS),
    "jobs of 100,000 occurrences": _submissions(MANY_OCCURRENCES_JOB, 60),
    "jobs of long texts": _submissions(LARGE_JOB, REPEATED),
    "steps with many dependencies": _submissions(MANY_DEPENDENCIES_JOB, LONG_JOBS),
    "lasting jobs": _submissions(LASTING_JOB, WIDE_JOBS),
    "cancelled jobs": lambda: _cancelled(MANY_TASKS_JOB, WIDE_JOBS),
    "one id again and again": lambda: itertools.repeat(
        ("POST", job_path(1), LARGE_JOB), REPEATED
    ),
    "unknown jobs": lambda: (
        ("GET", job_path(1 + number), None) for number in range(LOOK_UPS)
    ),
}
"""Requests of callers, each of them within the limits."""

OPERATOR_FLOODS: dict[str, Callable[[], Iterator[Request]]] = {
    "configurations of megabytes": lambda: (
        ("PUT", "/v1/configuration", configuration(2 + number))
        for number in range(CONFIGURATIONS)
    ),
    "waves of 50,000 machines": lambda: (
        ("POST", "/v1/wave-start", wave(1 + number)) for number in range(WAVES)
    ),
    "workers with many labels": lambda: (
        ("PUT", f"/v1/instances/i-{number}", announcement(number))
        for number in range(ANNOUNCEMENTS)
    ),
}
"""The same at the port of operators and workers."""


def mixed(crowd: Crowd) -> None:
    """Let clients of several kinds act at once."""
    crowd.hold(length_head("200000") + b"{", MIXED_CHANNELS)
    crowd.hold(CHUNKED + b"30d40\r\n{", MIXED_CHANNELS)
    crowd.hold(length_head(str(len(LARGE_JOB))) + LARGE_JOB, MIXED_CHANNELS)
    crowd.hold(GET, MIXED_CHANNELS)
    crowd.flood(lambda: repeat(b"", GET))


CALLER_CHANNELS: dict[str, Callable[[Crowd], None]] = {
    "large submissions": lambda crowd: crowd.hold(
        length_head(str(len(LARGE_JOB))) + LARGE_JOB, CHANNELS
    ),
    "a byte of a body": lambda crowd: crowd.hold(
        length_head("200000") + b"{", CHANNELS
    ),
    "a byte of a chunk": lambda crowd: crowd.hold(CHUNKED + b"30d40\r\n{", CHANNELS),
    "most of a body": lambda crowd: crowd.hold(
        length_head("200000") + b"{" * 150_000, CHANNELS
    ),
    "an unfinished trailer": lambda crowd: crowd.hold(
        CHUNKED + b"2\r\n{}\r\n0\r\nX-A: " + b"b" * 100_000, CHANNELS
    ),
    "clients of several kinds": mixed,
}
"""Channels of callers."""


def _leave_unread(crowd: Crowd) -> None:
    """Ask for a large configuration on many channels, and read no answer."""
    put = ("PUT", "/v1/configuration", configuration(2))
    assert send_all(crowd.address, iter((put,))) == {200: 1}
    crowd.hold(
        b"GET /v1/configuration HTTP/1.1\r\nHost: berth.example\r\n\r\n",
        UNREAD_CHANNELS,
    )


OPERATOR_CHANNELS: dict[str, Callable[[Crowd], None]] = {
    "a byte of a configuration": lambda crowd: crowd.hold(
        length_head("4000000", CONFIGURE) + b"{", CHANNELS
    ),
    "part of a configuration": lambda crowd: crowd.hold(
        length_head("4000000", CONFIGURE) + b"{" * 400_000, CHANNELS
    ),
    "configurations left unread": _leave_unread,
}
"""Channels of operators and workers."""


def hello() -> bytes:
    """Return the message that opens a connection between processes."""
    buffer = TMemoryBuffer()
    credentials = Credentials(CLUSTER, "", "127.0.0.7", "1")
    Handshake.Client(make_protocol(buffer)).send_hello(credentials.hello())
    return buffer.getvalue()


PEER_CHANNELS_HELD: dict[str, Callable[[Crowd], None]] = {
    "silent after the handshake": lambda crowd: crowd.hold(hello(), PEER_CHANNELS),
    "most of a frame after the handshake": lambda crowd: crowd.hold(
        hello() + struct.pack("!i", 8_000_000) + b"b" * 6_000_000, LARGE_FRAMES
    ),
}
"""Channels to the port of other processes, which all present the right handshake."""
