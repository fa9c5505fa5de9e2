"""Test doubles for the interfaces of the package."""

from .clock import ManualClock
from .control import FakeControl
from .disk import MemoryDisk
from .endpoints import FakeEndpoints
from .entry import (
    ENDPOINT,
    OPERATOR,
    FakeEntry,
    make_instance,
    member_report,
    pool_change,
    report,
)

__all__ = [
    "ENDPOINT",
    "OPERATOR",
    "FakeControl",
    "FakeEndpoints",
    "FakeEntry",
    "ManualClock",
    "MemoryDisk",
    "make_instance",
    "member_report",
    "pool_change",
    "report",
]
