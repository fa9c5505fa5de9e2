"""Crowds at the default limits: each process stays within its machine, and answers.

The bounds are what the smallest machines have (`machine.py`). Every test starts its own
processes. Crowds and bounds were fixed before the limits that keep them
(docs/design/17).
"""

import pytest
import urllib3

from .crowds import Crowd
from .installation import (
    CALL_SECONDS,
    CONTROL,
    ENTRY,
    METRICS_PATH,
    Installation,
    call,
    memory_mb,
    wait,
)
from .load_crowds import (
    CALLER_CHANNELS,
    CALLER_FLOODS,
    MANY_STEPS_JOB,
    OPERATOR_CHANNELS,
    OPERATOR_FLOODS,
    ORDINARY_JOB,
    PEER_CHANNELS_HELD,
    job_path,
    send_all,
)
from .machine import DISK_MB, MAX_FILES, MEMORY_MB, SETTINGS, MachineWatch, folder_mb

ANSWERED = ("callers", "readiness", "entry metrics", "control", "control metrics")
ORDINARY_ID = 1 << 60
ORDINARY_SECONDS = 30.0
"""How long a caller tries: many times the time that it usually has."""

RESTART_SECONDS = 60.0


class Watched:
    """An installation on the smallest machines, and what its processes take."""

    def __init__(self, folder):
        self.installation = Installation(folder, SETTINGS)
        self.installation.start()
        self.watches = {}
        self.found = []
        for host in (CONTROL, ENTRY):
            self.watch(host)

    def watch(self, host):
        process = self.installation.processes[host]
        self.watches[host] = (process, MachineWatch(process, host))

    def check(self, ordinary_job=True):
        """Note servers that do not answer and processes beyond their machines."""
        silent = [name for name in ANSWERED if not self.installation.answers(name)]
        self.found += [f"no answer from {name}" for name in silent]
        if ordinary_job and not self.accepts_a_job():
            self.found.append("an ordinary job is not accepted")
        for host in list(self.watches):
            self.check_process(host)

    def check_process(self, host):
        process, watch = self.watches.pop(host)
        watch.stop()
        role = ENTRY if host == ENTRY else CONTROL
        if process.poll() is not None:
            self.found.append(f"{host} ended with {process.returncode}")
            return
        peak = max(watch.peak_mb, memory_mb(process, "VmHWM"))
        if peak > MEMORY_MB[role]:
            self.found.append(f"{host}: {peak:.0f} MB")
        if watch.peak_files > MAX_FILES:
            self.found.append(f"{host}: {watch.peak_files} descriptors")
        if role == CONTROL:
            disk = folder_mb(self.installation.data_folder(host))
            if disk > DISK_MB:
                self.found.append(f"{host}: {disk:.0f} MB on disk")

    def has_caught_up(self, host):
        """Return whether a replica has applied what the first node has committed."""
        index = metric(CONTROL, self.installation, "commit_index")
        return index > 0 and metric(host, self.installation, "commit_index") >= index

    def accepts_a_job(self):
        url = f"http://{self.installation.addresses['callers']}{job_path(ORDINARY_ID)}"
        return wait(lambda: call("POST", url, ORDINARY_JOB) == 200, ORDINARY_SECONDS)


def metric(host, installation, name):
    """Return a gauge of a control node; -1 without an answer."""
    port = installation.addresses["control metrics"].port
    url = f"http://{host}:{port}/{METRICS_PATH}"
    try:
        text = urllib3.request("GET", url, retries=False, timeout=CALL_SECONDS).data
    except urllib3.exceptions.HTTPError:
        return -1.0
    rows = [line.split() for line in text.decode().splitlines()]
    return next((float(row[1]) for row in rows if row[0].endswith(name)), -1.0)


@pytest.fixture
def watched(tmp_path):
    watched = Watched(tmp_path)
    yield watched
    watched.installation.kill()


def hold(watched, name, act):
    """Let a crowd hold channels to a server while the processes are checked."""
    crowd = Crowd(watched.installation.addresses[name])
    try:
        act(crowd)
        watched.check()
    finally:
        crowd.end()
    assert not watched.found, watched.found


@pytest.mark.parametrize("name", CALLER_CHANNELS)
def test_channels_of_callers(watched, name):
    hold(watched, "callers", CALLER_CHANNELS[name])


@pytest.mark.parametrize("name", OPERATOR_CHANNELS)
def test_channels_of_operators(watched, name):
    hold(watched, "control", OPERATOR_CHANNELS[name])


@pytest.mark.parametrize("name", PEER_CHANNELS_HELD)
def test_channels_of_peers(watched, name):
    hold(watched, "peers", PEER_CHANNELS_HELD[name])


@pytest.mark.parametrize("name", CALLER_FLOODS)
def test_requests_of_callers(watched, name):
    counts = send_all(watched.installation.addresses["callers"], CALLER_FLOODS[name]())
    watched.check()
    assert not watched.found, (watched.found, counts)


@pytest.mark.parametrize("name", OPERATOR_FLOODS)
def test_requests_of_operators(watched, name):
    counts = send_all(
        watched.installation.addresses["control"], OPERATOR_FLOODS[name]()
    )
    watched.check()
    assert not watched.found, (watched.found, counts)


@pytest.mark.parametrize("body", [MANY_STEPS_JOB, ORDINARY_JOB], ids=["long", "short"])
def test_one_job_at_a_time_is_accepted(watched, body):
    url = f"http://{watched.installation.addresses['callers']}{job_path(1)}"
    assert call("POST", url, body) == 200
    assert call("GET", url) == 200


@pytest.mark.parametrize("name", ["jobs of 700 steps", "jobs of 10,000 tasks"])
def test_a_restart_and_a_new_replica_after_a_flood(watched, name):
    installation = watched.installation
    send_all(installation.addresses["callers"], CALLER_FLOODS[name]())
    watched.check_process(CONTROL)
    installation.kill_process(CONTROL)
    installation.start_process(CONTROL, first_start=False)
    watched.watch(CONTROL)
    if not wait(lambda: installation.answers("control"), RESTART_SECONDS):
        watched.found.append("no answer after the restart")
    replica = installation.add_replica()
    watched.watch(replica)
    if not wait(lambda: watched.has_caught_up(replica), RESTART_SECONDS):
        watched.found.append("the new replica does not catch up")
    watched.check()
    assert not watched.found, watched.found
