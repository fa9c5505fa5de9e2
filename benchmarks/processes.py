"""Memory and CPU time of processes, read from ``/proc``."""

import os
from pathlib import Path

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB, or 0 if it is not reported."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    # The name before the last parenthesis may contain spaces.
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
