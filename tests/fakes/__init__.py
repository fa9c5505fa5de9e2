"""Fakes at the interfaces."""

from .clock import ManualClock
from .disk import MemoryDisk

__all__ = ["ManualClock", "MemoryDisk"]
