"""Clients that nobody controls: no process ends or hangs, and each stays bounded.

The crowds and bounds were fixed before the limits existed (docs/design/17).
"""

import tempfile
from pathlib import Path

import pytest

from .crowds import HTTP_CROWDS, PEER_CROWDS, Crowd
from .installation import (
    CONTROL,
    ENTRY,
    Installation,
    memory_mb,
    open_files,
    reset_peak,
    wait,
)

GROWTH_MB = 48.0
"""Bound on the peak of the memory above its level before the crowd: less than any
crowd sends."""

GROWTH_FILES = {ENTRY: 350, CONTROL: 300}
"""Bound on descriptors above those before: 100 for each listening address, 40 for the
port of the peers, and 50 or 60 for the processes' own connections."""

CLOSE_SECONDS = 10.0
"""How long descriptors may stay above their bound: many times the lowered limits."""

HTTP_SERVERS = ("callers", "readiness", "entry metrics", "control", "control metrics")


@pytest.fixture(scope="module")
def running():
    """Hold the installation that serves all tests, until one of them fails."""
    with tempfile.TemporaryDirectory() as folder:
        holder = {"folder": Path(folder)}
        yield holder
        if "installation" in holder:
            holder["installation"].kill()


@pytest.fixture
def installation(running):
    if "installation" not in running:
        count = len(list(running["folder"].iterdir()))
        running["installation"] = Installation(running["folder"] / str(count))
        running["installation"].start()
    return running["installation"]


def play(running, installation, servers, act):
    """Let a crowd act on servers at once, and check both processes afterwards."""
    processes = installation.processes
    bounds = {}
    for host, process in processes.items():
        reset_peak(process)
        bounds[host] = (
            memory_mb(process, "VmRSS") + GROWTH_MB,
            open_files(process) + GROWTH_FILES[host],
        )
    crowds = [Crowd(installation.addresses[name]) for name in servers]
    found = []
    try:
        for crowd in crowds:
            act(crowd)
        for crowd in crowds:
            crowd.wait()
        names = (*servers, "peers")
        silent = next((name for name in names if not installation.answers(name)), None)
        if silent:
            found.append(f"no answer from {silent}")
        for host, process in processes.items():
            memory, files = bounds[host]
            if process.poll() is not None:
                found.append(f"{host} ended with {process.returncode}")
                continue
            if memory_mb(process, "VmHWM") > memory:
                peak = memory_mb(process, "VmHWM") - memory + GROWTH_MB
                found.append(f"{host}: memory grew by {peak:.0f} MB")
            if not wait(lambda p=process, f=files: open_files(p) <= f, CLOSE_SECONDS):
                grown = open_files(process) - files + GROWTH_FILES[host]
                found.append(f"{host}: {grown} more descriptors")
    finally:
        for crowd in crowds:
            crowd.end()
        if found:
            running.pop("installation").kill()
    assert not found, found


@pytest.mark.parametrize("name", HTTP_CROWDS)
def test_http_servers_stay_bounded_and_answer(running, installation, name):
    play(running, installation, HTTP_SERVERS, HTTP_CROWDS[name])


@pytest.mark.parametrize("name", PEER_CROWDS)
def test_the_port_of_peers_stays_bounded_and_answers(running, installation, name):
    play(running, installation, ("peers",), PEER_CROWDS[name])
