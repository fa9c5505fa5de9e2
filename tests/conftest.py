"""Marks the tests that KNOWN-RED.txt lists as expected failures, and no others.

A listed test must exist and must fail.  If it passes, the run fails until the entry is
removed.
"""

import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# `platform` is not a package, because it would shadow the standard library's module.
sys.path.append(str(ROOT / "platform"))
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PREFIX = "test:"


def known_red() -> list[str]:
    """Return the node ids of the tests that KNOWN-RED.txt lists."""
    lines = KNOWN_RED.read_text().splitlines()
    return [line[len(PREFIX) :].strip() for line in lines if line.startswith(PREFIX)]


def pytest_collection_modifyitems(config, items):
    """Mark the listed tests; a run of all tests also checks that they exist."""
    listed = known_red()
    found = {item.nodeid: item for item in items}
    whole_run = not config.args or config.args == config.getini("testpaths")
    for name in listed:
        if name in found:
            mark = pytest.mark.xfail(reason="KNOWN-RED.txt", strict=True)
            found[name].add_marker(mark)
        elif whole_run:
            raise pytest.UsageError(f"KNOWN-RED.txt lists {name}, which does not exist")


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests, for CI."""
    for name in known_red():
        terminalreporter.write_line(f"KNOWN-RED: {name}")
