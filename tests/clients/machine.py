"""What the smallest machines of the platform have, and what a process takes of it."""

import os
import threading
from pathlib import Path
from subprocess import Popen

from .installation import CONTROL, ENTRY, memory_mb, open_files

MEMORY_MB = {ENTRY: 160, CONTROL: 296}
MAX_FILES = 4_096
DISK_MB = 128
SAMPLE_SECONDS = 0.05
LISTENING = "0A"
"""State of a listening socket in /proc/net/tcp, whose queue counts no bytes."""

SETTINGS = {
    host: f"""
[limits]
memory-mb = {megabytes}
max-fds = {MAX_FILES}
disk-mb = {DISK_MB if host == CONTROL else 0}
"""
    for host, megabytes in MEMORY_MB.items()
}
"""The machines' limits, as the platform writes them; those on clients are the
defaults."""


class MachineWatch:
    """Samples what a process takes of its machine, until it is stopped.

    Parameters
    ----------
    process : Popen
        The process.
    host : str
        Its address, at which no other process listens.
    """

    def __init__(self, process: Popen, host: str):
        self._process = process
        self._host = host
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.peak_mb = 0.0
        """Peak of the resident set and of the bytes that wait to be read, in MB."""
        self.peak_files = 0
        self._thread.start()

    def stop(self) -> None:
        """End the samples, after a last one."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while self._process.poll() is None:
            is_last = self._stopping.wait(SAMPLE_SECONDS)
            try:
                resident = memory_mb(self._process, "VmRSS")
                files = open_files(self._process)
            except (OSError, ValueError):
                return  # The process has ended.
            unread = unread_bytes(self._host) / 1024 / 1024
            self.peak_mb = max(self.peak_mb, resident + unread)
            self.peak_files = max(self.peak_files, files)
            if is_last:
                return


def unread_bytes(host: str) -> int:
    """Return the bytes that have arrived at a loopback address and are not read."""
    address = "".join(f"{int(part):02X}" for part in reversed(host.split(".")))
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].startswith(address) and fields[3] != LISTENING:
            total += int(fields[4].partition(":")[2], 16)
    return total


def folder_mb(folder: Path) -> float:
    """Return the size of the files in a folder, in MB."""
    total = 0
    for path in folder.iterdir():
        try:
            total += os.stat(path).st_size
        except FileNotFoundError:
            continue  # A file that was about to replace another one.
    return total / 1024 / 1024
