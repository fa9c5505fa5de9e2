"""Passes over the tests that KNOWN-RED.txt lists, and over nothing else.

A listed test must exist and must fail; one that passes again fails the run until
its entry is removed.
"""

import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# The adapter's folder is no package: it would hide the standard library's module.
sys.path.append(str(ROOT / "platform"))
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PREFIX = "test:"


def known_red() -> list[str]:
    lines = KNOWN_RED.read_text().splitlines()
    return [line[len(PREFIX) :].strip() for line in lines if line.startswith(PREFIX)]


def pytest_collection_modifyitems(config, items):
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
    for name in known_red():
        terminalreporter.write_line(f"KNOWN-RED: {name}")
